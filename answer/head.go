package answer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"berylpass/header"
)

// ReadHead reads the status line and the fields of one answer, of at most maxBytes bytes,
// and the empty line behind them. Its errors wrap ErrMalformed or ErrTooLarge or are those
// of in.
func ReadHead(in *bufio.Reader, maxBytes int) (Head, error) {
	line, err := readLine(in, &maxBytes)
	if err != nil {
		return Head{}, err
	}
	minor, status, err := parseStatusLine(string(line))
	if err != nil {
		return Head{}, err
	}
	fields, err := readFields(in, &maxBytes)
	if err != nil {
		return Head{}, err
	}
	h := Head{Status: status, Header: fields, length: unknownLength, Close: isLast(minor, fields)}
	if err := h.parseFraming(minor); err != nil {
		return Head{}, err
	}
	return h, nil
}

// readLine returns the next line without its line end, and takes its size from left.
func readLine(in *bufio.Reader, left *int) ([]byte, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		*left -= len(part)
		if *left < 0 {
			return nil, ErrTooLarge
		}
		line = append(line, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, unexpected(err)
		}
		text, ended := bytes.CutSuffix(line, []byte("\r\n"))
		if !ended {
			return nil, fmt.Errorf("%w: line doesn't end with CR LF", ErrMalformed)
		}
		return text, nil
	}
}

// parseStatusLine returns the minor version and the status of a status line.
func parseStatusLine(line string) (minor byte, status int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	if len(version) != len("HTTP/1.1") || !strings.HasPrefix(version, "HTTP/1.") || !isDigit(version[len(version)-1]) {
		return 0, 0, fmt.Errorf("%w: version must be HTTP/1.x", ErrMalformed)
	}
	code, reason, _ := strings.Cut(rest, " ")
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return 0, 0, fmt.Errorf("%w: status must have three digits", ErrMalformed)
	}
	status, _ = strconv.Atoi(code)
	if status < minStatus || status > maxStatus {
		return 0, 0, fmt.Errorf("%w: status %s", ErrMalformed, code)
	}
	if !header.IsValue(reason) {
		return 0, 0, fmt.Errorf("%w: control character in the reason", ErrMalformed)
	}
	return version[len(version)-1], status, nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// readFields reads the fields up to and including the empty line behind them.
func readFields(in *bufio.Reader, left *int) (http.Header, error) {
	fields := http.Header{}
	for {
		line, err := readLine(in, left)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return fields, nil
		}
		name, value, err := header.ParseField(line)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		canonical := textproto.CanonicalMIMEHeaderKey(string(name))
		fields[canonical] = append(fields[canonical], string(value))
	}
}

// checkField returns an error if a line is no field.
func checkField(line []byte) error {
	if _, _, err := header.ParseField(line); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// isLast reports whether the sender of an answer closes its connection after it.
func isLast(minor byte, fields http.Header) bool {
	options := strings.Join(fields["Connection"], ",")
	for option := range strings.SplitSeq(options, ",") {
		switch option = strings.TrimSpace(option); {
		case strings.EqualFold(option, "close"):
			return true
		case minor == '0' && strings.EqualFold(option, "keep-alive"):
			return false
		}
	}
	return minor == '0'
}

// parseFraming sets length and chunked (RFC 9112, section 6.3).
func (h *Head) parseFraming(minor byte) error {
	lengths, codings := h.Header["Content-Length"], h.Header["Transfer-Encoding"]
	if len(codings) > 0 {
		if len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") || len(lengths) > 0 || minor == '0' {
			return fmt.Errorf("%w: Transfer-Encoding must be chunked, without Content-Length and in HTTP/1.1", ErrMalformed)
		}
		h.chunked = true
		return nil
	}
	for _, text := range lengths {
		length, err := parseLength(text)
		if err != nil {
			return err
		}
		if h.length != unknownLength && h.length != length {
			return fmt.Errorf("%w: Content-Length differs from another one", ErrMalformed)
		}
		h.length = length
	}
	if len(lengths) > 1 {
		h.Header["Content-Length"] = lengths[:1]
	}
	return nil
}
