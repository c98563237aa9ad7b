package answer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"berylpass/header"
)

const (
	// maxChunkLine is the largest size in bytes of a chunk's size line with its extensions.
	maxChunkLine = 4 << 10
	// maxTrailer is the largest size in bytes of a trailer.
	maxTrailer = 64 << 10
	// maxChunkDigits is the largest number of digits of a chunk's size: 15 fit an int64.
	maxChunkDigits = 15
)

// readChunks reads a body in chunks, of at most maxBytes bytes, and the trailer behind it.
func readChunks(in *bufio.Reader, maxBytes int64, reserve func(int64) error) ([]byte, error) {
	body := growing{reserve: reserve}
	for {
		left := maxChunkLine
		line, err := readLine(in, &left)
		if err != nil {
			return nil, err
		}
		size, err := parseChunkSize(line)
		if err != nil {
			return nil, err
		}
		if size > maxBytes-int64(len(body.bytes)) {
			return nil, ErrTooLarge
		}
		if size == 0 {
			break
		}
		if err := body.read(in, size); err != nil {
			return nil, unexpected(err)
		}
		var end [2]byte
		if _, err := io.ReadFull(in, end[:]); err != nil {
			return nil, unexpected(err)
		}
		if string(end[:]) != "\r\n" {
			return nil, fmt.Errorf("%w: chunk is longer than its size", ErrMalformed)
		}
	}
	left := maxTrailer
	if _, err := readFields(in, &left); err != nil {
		return nil, err
	}
	return body.bytes, nil
}

// parseChunkSize parses the size in hexadecimal and checks the extensions behind it.
func parseChunkSize(line []byte) (int64, error) {
	text, extension, _ := bytes.Cut(line, []byte(";"))
	text = bytes.TrimRight(text, " \t")
	if len(text) == 0 || len(text) > maxChunkDigits || text[0] == '+' || text[0] == '-' {
		return 0, fmt.Errorf("%w: chunk size must have 1 to %d hexadecimal digits", ErrMalformed, maxChunkDigits)
	}
	size, err := strconv.ParseInt(string(text), 16, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: chunk size must be hexadecimal", ErrMalformed)
	}
	if !header.IsValue(string(extension)) {
		return 0, fmt.Errorf("%w: control character in a chunk extension", ErrMalformed)
	}
	return size, nil
}
