// Package answer reads HTTP/1.x answers (RFC 9112) and decides which bytes are one.
//
// An answer is taken only in the strict form that leaves one reading: a status of three
// digits from 100 to 599, lines that end with CR LF and aren't folded, names and values of
// fields by RFC 9110, and one framing of the body. A repeated Content-Length must be equal;
// chunks are the only transfer coding and don't come with a Content-Length or in HTTP/1.0.
// All else is ErrMalformed: nothing of it may be passed on, and its connection carries
// nothing further. Trailer fields are checked and dropped.
//
// A body that ends with its connection is whole only if the connection ended in order and
// the request had been sent whole. A reset is reported once for each connection, to the
// read or to a write that is still under way, so a clean end of the read alone is no
// proof: the caller of ReadBody must know how the write ended as well.
//
// # Usage
//
//	head, err := answer.ReadHead(in, 64<<10) // in is a *bufio.Reader
//	body, err := head.ReadBody(in, request.Method, 16<<20)
//	if head.Ending(request.Method) == answer.ByClose && !sentWhole {
//		// the body may be cut short
//	}
//
//	response, err := transport.RoundTrip(request) // net/http accepts more than this package
//	err = answer.Check(response)
package answer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

var (
	// ErrMalformed reports bytes that are no answer.
	ErrMalformed = errors.New("malformed answer")
	// ErrTooLarge reports a head or a body over its bound.
	ErrTooLarge = errors.New("answer is too large")
)

// The range of a status.
const (
	minStatus = 100
	maxStatus = 599
)

// Ending is what marks the end of an answer's body.
type Ending uint8

// The endings.
const (
	// NoBody means that the answer ends with its head.
	NoBody Ending = iota
	// ByLength means that the body has the length of the Content-Length.
	ByLength
	// ByChunks means that the last chunk and the trailer end the body.
	ByChunks
	// ByClose means that the end of the connection ends the body.
	ByClose
)

// Head is the head of an answer.
type Head struct {
	Status int
	// Header holds the fields under their canonical names.
	Header http.Header
	// Close reports whether the connection carries no further answer.
	Close bool
	// length is the Content-Length, unknownLength if there is none.
	length  int64
	chunked bool
	// reserve is called with the number of bytes before memory for a body is taken; nil for none.
	reserve func(bytes int64) error
}

// WithReserve returns a copy whose ReadBody calls reserve with a number of bytes before it takes
// memory for them, and returns its error.
func (h Head) WithReserve(reserve func(bytes int64) error) Head {
	h.reserve = reserve
	return h
}

// unknownLength is the length of a body without a Content-Length.
const unknownLength = -1

// Ending returns how the body of an answer to a request with the method ends.
func (h Head) Ending(method string) Ending {
	switch {
	case method == http.MethodHead, h.Status < http.StatusOK, h.Status == http.StatusNoContent, h.Status == http.StatusNotModified:
		return NoBody
	case h.chunked:
		return ByChunks
	case h.length != unknownLength:
		return ByLength
	}
	return ByClose
}

// ReadBody reads the whole body of an answer to a request with the method, of at most
// maxBytes bytes. Its errors wrap ErrMalformed or ErrTooLarge or are those of in or of reserve; a body that
// ends early is io.ErrUnexpectedEOF.
func (h Head) ReadBody(in *bufio.Reader, method string, maxBytes int64) ([]byte, error) {
	if h.reserve == nil {
		h.reserve = func(int64) error { return nil }
	}
	switch h.Ending(method) {
	case ByLength:
		if h.length > maxBytes {
			return nil, ErrTooLarge
		}
		if err := h.reserve(h.length); err != nil {
			return nil, err
		}
		body := make([]byte, h.length)
		if _, err := io.ReadFull(in, body); err != nil {
			return nil, unexpected(err)
		}
		return body, nil
	case ByChunks:
		return readChunks(in, maxBytes, h.reserve)
	case ByClose:
		body := growing{reserve: h.reserve}
		if err := body.readAll(in, maxBytes+1); err != nil {
			return nil, err
		}
		if int64(len(body.bytes)) > maxBytes {
			return nil, ErrTooLarge
		}
		return body.bytes, nil
	}
	return nil, nil
}

// Check returns an error that wraps ErrMalformed if the head of an answer that net/http has
// parsed is none for this package. Net/http accepts any three digits as a status and a blank
// in a name.
func Check(response *http.Response) error {
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %d", ErrMalformed, response.StatusCode)
	}
	for name, values := range response.Header {
		line := []byte(name + ":")
		for _, value := range values {
			line = append(append(line[:len(name)+1], ' '), value...)
			if err := checkField(line); err != nil {
				return err
			}
		}
	}
	return nil
}

// IsDelimited reports whether the framing of an answer that net/http has parsed shows where
// its body ends, so that a lost connection can't be taken for its end.
func IsDelimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

// parseLength parses a Content-Length.
func parseLength(text string) (int64, error) {
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil || text[0] == '+' {
		return 0, fmt.Errorf("%w: Content-Length must be a decimal number", ErrMalformed)
	}
	return int64(n), nil
}

// unexpected returns io.ErrUnexpectedEOF for the end of a connection within an answer.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
