// Package framing checks byte by byte that what a caller sends is an HTTP/1.x
// request with one meaning only, and tells where it ends.
//
// The checks are a strict subset of RFC 9112: lines end with CR LF, no folded
// header lines, no space before a colon, no control bytes, exactly one Host on
// HTTP/1.1, at most one Content-Length, no Transfer-Encoding but chunked and
// never both, a key named once. Sizes are bounded. What passes is written anew
// in one plain form, so that a parser behind it can't read it otherwise. Chunk
// extensions and trailer fields are dropped.
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
	// ErrMalformed reports a request that is not well formed or has two meanings.
	ErrMalformed = errors.New("malformed request")
	// ErrHeaderTooLarge reports a head over the bound.
	ErrHeaderTooLarge = errors.New("request header is too large")
	// ErrBodyTooLarge reports a body over the bound.
	ErrBodyTooLarge = errors.New("request body is too large")
	// ErrExpectation reports an Expect header other than 100-continue.
	ErrExpectation = errors.New("unsupported expectation")
)

// Kind tells what a Part is.
type Kind uint8

// The kinds.
const (
	// None means that more bytes are needed.
	None Kind = iota
	// Head is the whole head of a request.
	Head
	// Body is a piece of its body.
	Body
	// End ends the request; it follows each Head.
	End
)

// Unbounded is the Length of a body that comes in chunks.
const Unbounded = -1

// Part is a piece of a request. Bytes are valid until the next call of Next.
type Part struct {
	Kind  Kind
	Bytes []byte
	// Length is the body's length in bytes, or Unbounded; set in a Head.
	Length int64
	// Expects tells that the caller waits for 100 Continue; set in a Head.
	Expects bool
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

// maxChunkLine bounds the line with a chunk's size and extensions, in bytes.
const maxChunkLine = 1024

// Framer follows the requests of one connection. After an error it must not be used again.
type Framer struct {
	maxHeader int
	maxBody   int64
	state     state
	// pending holds an incomplete head or line.
	pending []byte
	// left is what is missing of the body or of the chunk, in bytes.
	left int64
	// taken is the length of the body so far, in bytes.
	taken int64
	// trailer is the length of the trailer so far, in bytes.
	trailer int
}

// New returns a framer at the start of a request. It bounds heads and bodies, in bytes.
func New(maxHeader int, maxBody int64) Framer { return Framer{maxHeader: maxHeader, maxBody: maxBody} }

// Idle reports whether the framer stands between two requests.
func (f *Framer) Idle() bool { return f.state == inHead && len(f.pending) == 0 }

// Next takes the first part from data and returns it with the rest of data. The
// rest may be empty while a part is still to come: call Next until it returns None.
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
	whole, rest, found := f.until(data, headEnd)
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
	f.begin(head.length)
	return Part{Kind: Head, Bytes: head.plain, Length: head.length, Expects: head.expects}, rest, nil
}

func (f *Framer) begin(length int64) {
	f.left, f.taken, f.trailer = length, 0, 0
	switch {
	case length == Unbounded:
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

// until collects bytes up to and with the mark. It keeps what it was given
// while the mark is missing.
func (f *Framer) until(data, mark []byte) (whole, rest []byte, found bool) {
	if len(f.pending) == 0 {
		if at := bytes.Index(data, mark); at >= 0 {
			end := at + len(mark)
			return data[:end], data[end:], true
		}
	}
	from := max(0, len(f.pending)-len(mark)+1)
	before := len(f.pending)
	f.pending = append(f.pending, data...)
	at := bytes.Index(f.pending[from:], mark)
	if at < 0 {
		return f.pending, nil, false
	}
	end := from + at + len(mark)
	return f.pending[:end], data[end-before:], true
}

func (f *Framer) body(data []byte) (Part, []byte, error) {
	if len(data) == 0 {
		return Part{}, nil, nil
	}
	n := min(f.left, int64(len(data)))
	f.left -= n
	if f.left == 0 && f.state == inBody {
		f.state = atEnd
	}
	if f.left == 0 && f.state == inChunkData {
		f.state = inChunkEnd
	}
	return Part{Kind: Body, Bytes: data[:n]}, data[n:], nil
}
