package framing

import (
	"fmt"

	"berylpass/header"
)

// maxChunkDigits is the maximum number of hexadecimal digits in a chunk size.
const maxChunkDigits = 8

// chunkSize reads the line before a chunk's data and continues with what follows it.
func (f *Framer) chunkSize(data []byte) (Part, []byte, error) {
	line, rest, done, err := f.line(data, maxChunkLine)
	if err != nil || !done {
		return Part{}, nil, err
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return Part{}, nil, err
	}
	f.bodyLength += size
	if f.bodyLength > f.maxBody {
		return Part{}, nil, ErrBodyTooLarge
	}
	f.remaining = size
	f.state = inChunkData
	if size == 0 {
		f.state = inTrailer
	}
	return f.Next(rest)
}

// chunkEnd reads the line end after a chunk's data and continues with what follows it.
func (f *Framer) chunkEnd(data []byte) (Part, []byte, error) {
	line, rest, done, err := f.line(data, len(lineEnd))
	if err != nil || !done {
		return Part{}, nil, err
	}
	if len(line) != 0 {
		return Part{}, nil, fmt.Errorf("%w: chunk data is longer than the chunk size", ErrMalformed)
	}
	f.state = inChunkSize
	return f.Next(rest)
}

// trailerLine checks and drops the trailer fields after the last chunk. The trailer
// is bounded by maxHeader, in bytes.
func (f *Framer) trailerLine(data []byte) (Part, []byte, error) {
	for {
		line, rest, done, err := f.line(data, f.maxHeader-f.trailerLength)
		if err != nil || !done {
			return Part{}, nil, err
		}
		if len(line) == 0 {
			f.state = atEnd
			return f.Next(rest)
		}
		if _, _, err := parseField(line); err != nil {
			return Part{}, nil, err
		}
		f.trailerLength += len(line) + len(lineEnd)
		data = rest
	}
}

// line returns the next line without its line end, and the data after it; done is
// false while the line is incomplete. A line of more than bound bytes is an error.
func (f *Framer) line(data []byte, bound int) (line, rest []byte, done bool, err error) {
	if len(data) == 0 {
		return nil, nil, false, nil
	}
	whole, rest, found := f.collect(data, lineEnd)
	if len(whole) > bound {
		return nil, nil, false, fmt.Errorf("%w: chunk line or trailer is too long", ErrMalformed)
	}
	if !found {
		return nil, nil, false, nil
	}
	f.pending = nil
	return whole[:len(whole)-len(lineEnd)], rest, true, nil
}

// parseChunkSize parses a chunk size in hexadecimal, and checks the optional
// extensions after it.
func parseChunkSize(line []byte) (int64, error) {
	size, digits := int64(0), 0
	for digits < len(line) && isHex(line[digits]) {
		if digits == maxChunkDigits {
			return 0, fmt.Errorf("%w: chunk size has more than %d digits", ErrMalformed, maxChunkDigits)
		}
		size = size<<4 | hexValue(line[digits])
		digits++
	}
	extension := trim(line[digits:])
	if digits == 0 || len(extension) > 0 && extension[0] != ';' {
		return 0, fmt.Errorf("%w: chunk size must be hexadecimal", ErrMalformed)
	}
	if !header.IsValue(string(extension)) {
		return 0, fmt.Errorf("%w: control character in a chunk extension", ErrMalformed)
	}
	return size, nil
}

func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

func hexValue(c byte) int64 {
	switch {
	case c <= '9':
		return int64(c - '0')
	case c >= 'a':
		return int64(c-'a') + 10
	}
	return int64(c-'A') + 10
}
