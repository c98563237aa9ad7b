package answer

import (
	"bufio"
	"errors"
	"io"
)

const (
	// firstGrowth is the memory in bytes first taken for a body of unknown length.
	firstGrowth = 4 << 10
	// growthPiece is the number of bytes that are read at once: what a chunk's size announces
	// may never come.
	growthPiece = 64 << 10
)

// growing is a body whose length isn't known. Its memory is reserved before it is taken.
type growing struct {
	bytes   []byte
	reserve func(bytes int64) error
}

// read reads size bytes behind the body. Its errors are those of in, io.EOF if nothing came of a piece, and of reserve.
func (g *growing) read(in *bufio.Reader, size int64) error {
	for size > 0 {
		piece := min(size, growthPiece)
		if err := g.makeRoom(piece); err != nil {
			return err
		}
		n, err := io.ReadFull(in, g.bytes[len(g.bytes):int64(len(g.bytes))+piece])
		g.bytes = g.bytes[:len(g.bytes)+n]
		if err != nil {
			return err
		}
		size -= piece
	}
	return nil
}

// readAll reads until in ends, at most size bytes.
func (g *growing) readAll(in *bufio.Reader, size int64) error {
	err := g.read(in, size)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}

// makeRoom takes memory for n more bytes, twice as much as before if it has to.
func (g *growing) makeRoom(n int64) error {
	need := int64(len(g.bytes)) + n
	if need <= int64(cap(g.bytes)) {
		return nil
	}
	grown := max(2*int64(cap(g.bytes)), need, firstGrowth)
	// The earlier buffer is free once it is copied, so its memory serves for the larger one.
	if err := g.reserve(grown - int64(cap(g.bytes))); err != nil {
		return err
	}
	g.bytes = append(make([]byte, 0, grown), g.bytes...)
	return nil
}
