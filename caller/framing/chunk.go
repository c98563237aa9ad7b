package framing

import "fmt"

// maxChunkDigits bounds the hexadecimal digits of a chunk's size.
const maxChunkDigits = 8

func (f *Framer) chunkSize(data []byte) (Part, []byte, error) {
	line, rest, done, err := f.line(data, maxChunkLine)
	if err != nil || !done {
		return Part{}, nil, err
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return Part{}, nil, err
	}
	f.taken += size
	if f.taken > f.maxBody {
		return Part{}, nil, ErrBodyTooLarge
	}
	f.left = size
	f.state = inChunkData
	if size == 0 {
		f.state = inTrailer
	}
	return f.Next(rest)
}

func (f *Framer) chunkEnd(data []byte) (Part, []byte, error) {
	line, rest, done, err := f.line(data, len(lineEnd))
	if err != nil || !done {
		return Part{}, nil, err
	}
	if len(line) != 0 {
		return Part{}, nil, fmt.Errorf("%w: chunk is longer than its size", ErrMalformed)
	}
	f.state = inChunkSize
	return f.Next(rest)
}

// trailerLine drops the fields after the last chunk.
func (f *Framer) trailerLine(data []byte) (Part, []byte, error) {
	for {
		line, rest, done, err := f.line(data, f.maxHeader-f.trailer)
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
		f.trailer += len(line) + len(lineEnd)
		data = rest
	}
}

// line returns the next line without its end, once it is complete.
func (f *Framer) line(data []byte, bound int) (line, rest []byte, done bool, err error) {
	if len(data) == 0 {
		return nil, nil, false, nil
	}
	whole, rest, found := f.until(data, lineEnd)
	if len(whole) > bound {
		return nil, nil, false, fmt.Errorf("%w: line in the body's framing is too long", ErrMalformed)
	}
	if !found {
		return nil, nil, false, nil
	}
	f.pending = nil
	return whole[:len(whole)-len(lineEnd)], rest, true, nil
}

// parseChunkSize reads a size in hexadecimal, followed by extensions or nothing.
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
	if !isValue(extension) {
		return 0, fmt.Errorf("%w: control byte in a chunk extension", ErrMalformed)
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
