// Package framing splits a caller's byte stream into HTTP/1.x requests and rejects
// those that a second parser could read differently (request smuggling).
//
// Only a strict subset of RFC 9112 is accepted: lines end with CR LF, header lines
// aren't folded, no space precedes a colon, there are no control characters, HTTP/1.1
// requests have exactly one Host, Content-Length occurs at most once, the only
// Transfer-Encoding is chunked, never together with Content-Length, and the headers
// with the caller's key occur at most once each. Sizes are bounded. The head of an
// accepted request is rewritten in a normalized form, so that a parser behind this one
// reads it in the same way. Chunk extensions and trailer fields are dropped.
//
// # Usage
//
//	f := framing.New(64<<10, 16<<20)
//	for len(data) > 0 {
//		part, rest, err := f.Next(data) // err wraps ErrMalformed, ErrHeaderTooLarge, ...
//		switch part.Kind {
//		case framing.Head: // part.Bytes is the head, part.Length the body's length
//		case framing.Body: // part.Bytes is a piece of the body
//		case framing.End:  // the request is complete
//		}
//		data = rest
//	}
package framing

import (
	"bytes"
	"errors"
)

var (
	// ErrMalformed is returned for a request that is malformed or ambiguous.
	ErrMalformed = errors.New("malformed request")
	// ErrHeaderTooLarge is returned for a head that is too long or has too many fields.
	ErrHeaderTooLarge = errors.New("request header is too large")
	// ErrBodyTooLarge is returned for a body that is too long.
	ErrBodyTooLarge = errors.New("request body is too large")
	// ErrExpectation is returned for an Expect header other than 100-continue.
	ErrExpectation = errors.New("unsupported expectation")
)

// Kind is the kind of a Part.
type Kind uint8

// The kinds of parts.
const (
	// None means that more bytes are needed.
	None Kind = iota
	// Head is the complete head of a request: request line and header fields.
	Head
	// Body is a piece of a request's body, without chunk framing.
	Body
	// End marks the end of a request. Every Head is followed by one, after the body if any.
	End
)

// UnknownLength is the Length of a chunked body, whose length isn't known in advance.
const UnknownLength = -1

// Part is a piece of a request. Its Bytes are valid until the next call of Next.
type Part struct {
	Kind  Kind
	Bytes []byte
	// Length is the body's length in bytes, or UnknownLength; set for a Head.
	Length int64
	// ExpectsContinue is whether the caller waits for 100 Continue; set for a Head.
	ExpectsContinue bool
}

type state uint8

const (
	inHead state = iota
	inBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
	atEnd
)

// maxChunkLine is the maximum length of the line with a chunk's size and extensions, in bytes.
const maxChunkLine = 1024

// Framer splits the byte stream of one connection into requests. It must not be used
// again after an error, nor concurrently.
type Framer struct {
	maxHeader int
	maxBody   int64
	state     state
	// pending is an incomplete head or line.
	pending []byte
	// remaining is the number of bytes still to come of the body or of the chunk.
	remaining int64
	// bodyLength is the sum of the chunk sizes of the body so far, in bytes.
	bodyLength int64
	// trailerLength is the length of the trailer so far, in bytes.
	trailerLength int
}

// New returns a framer at the start of a request, with the maximum length of a head
// and of a body, in bytes.
func New(maxHeader int, maxBody int64) Framer { return Framer{maxHeader: maxHeader, maxBody: maxBody} }

// Idle reports whether the framer is between two requests.
func (f *Framer) Idle() bool { return f.state == inHead && len(f.pending) == 0 }

// Pending returns the number of bytes that the framer holds of a head or line that hasn't ended.
func (f *Framer) Pending() int { return cap(f.pending) }

// Next returns the first part of data and the rest of data. A part may follow even if
// the rest is empty: call Next until it returns a part of kind None.
func (f *Framer) Next(data []byte) (Part, []byte, error) {
	switch f.state {
	case inHead:
		return f.head(data)
	case inBody, inChunkData:
		return f.body(data)
	case inChunkSize:
		return f.chunkSize(data)
	case inChunkEnd:
		return f.chunkEnd(data)
	case inTrailer:
		return f.trailerLine(data)
	}
	f.state = inHead
	return Part{Kind: End}, data, nil
}

func (f *Framer) head(data []byte) (Part, []byte, error) {
	if len(data) == 0 {
		return Part{}, nil, nil
	}
	whole, rest, found := f.collect(data, headEnd)
	if len(whole) > f.maxHeader {
		return Part{}, nil, ErrHeaderTooLarge
	}
	if !found {
		return Part{}, nil, nil
	}
	head, err := parseHead(whole)
	if err != nil {
		return Part{}, nil, err
	}
	if head.length > f.maxBody {
		return Part{}, nil, ErrBodyTooLarge
	}
	f.pending = nil
	f.beginBody(head.length)
	return Part{Kind: Head, Bytes: head.normalized, Length: head.length, ExpectsContinue: head.expectsContinue}, rest, nil
}

// beginBody sets the state after a head. The length is that of the body in bytes, or UnknownLength.
func (f *Framer) beginBody(length int64) {
	f.remaining, f.bodyLength, f.trailerLength = length, 0, 0
	switch {
	case length == UnknownLength:
		f.state = inChunkSize
	case length > 0:
		f.state = inBody
	default:
		f.state = atEnd
	}
}

var (
	headEnd = []byte("\r\n\r\n")
	lineEnd = []byte("\r\n")
)

// collect returns the pending bytes and data up to and including the delimiter, and
// the data after it. If the delimiter isn't found, all of data becomes pending.
func (f *Framer) collect(data, delimiter []byte) (whole, rest []byte, found bool) {
	if len(f.pending) == 0 {
		if at := bytes.Index(data, delimiter); at >= 0 {
			end := at + len(delimiter)
			return data[:end], data[end:], true
		}
	}
	from := max(0, len(f.pending)-len(delimiter)+1)
	before := len(f.pending)
	f.pending = append(f.pending, data...)
	at := bytes.Index(f.pending[from:], delimiter)
	if at < 0 {
		return f.pending, nil, false
	}
	end := from + at + len(delimiter)
	return f.pending[:end], data[end-before:], true
}

func (f *Framer) body(data []byte) (Part, []byte, error) {
	if len(data) == 0 {
		return Part{}, nil, nil
	}
	n := min(f.remaining, int64(len(data)))
	f.remaining -= n
	if f.remaining == 0 && f.state == inBody {
		f.state = atEnd
	}
	if f.remaining == 0 && f.state == inChunkData {
		f.state = inChunkEnd
	}
	return Part{Kind: Body, Bytes: data[:n]}, data[n:], nil
}
