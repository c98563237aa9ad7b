package listener

import (
	"bytes"
	"errors"

	"berylpass/caller/framing"
	"berylpass/caller/memory"
	"berylpass/caller/memory/holder"
)

var (
	// errMemoryFull is returned for a request for which there is no memory.
	errMemoryFull = errors.New("memory for requests is full")
	// errHeadsFull is returned for a head that hasn't ended and for which there is no memory.
	errHeadsFull = errors.New("memory for unfinished heads is full")
)

const (
	// A request takes requestBytes and parsedHeads times the length of its head until it is answered.
	requestBytes = 16 << 10
	parsedHeads  = 3
	// firstBodyBytes is the memory first taken for a body of unknown length. It doubles as the body grows.
	firstBodyBytes = 4 << 10
)

// reservations holds the bytes reserved for the requests of one connection, as they were
// reserved. It is guarded by the connection's mu.
type reservations struct {
	// receiving are those for the request that is being read, complete those of requests that haven't started, in order.
	receiving []int64
	complete  [][]int64
	// head is the number of bytes reserved for a head that hasn't ended.
	head int64
	// unsent are those for responses that are queued for a slow caller.
	unsent []int64
}

// reserve reserves n bytes for the request that is being read.
func (c *conn) reserve(n int64) error {
	if c.holder.TryReserve(memory.Exchanges, n) != nil {
		return errMemoryFull
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved.receiving = append(c.reserved.receiving, n)
	return nil
}

// reserveHead reserves what an unfinished head takes, or releases it once that has ended.
func (c *conn) reserveHead() error {
	pending := int64(c.framer.Pending())
	if c.refused || pending == c.reserved.head {
		return nil
	}
	if pending > c.reserved.head {
		if c.holder.TryReserve(memory.Heads, pending-c.reserved.head) != nil {
			return errHeadsFull
		}
	} else {
		c.holder.Release(memory.Heads, c.reserved.head-pending)
	}
	c.reserved.head = pending
	return nil
}

// completeRequest records that the request being read is complete. The caller holds c.mu.
func (c *conn) completeRequest() {
	c.reserved.complete = append(c.reserved.complete, c.reserved.receiving)
	c.reserved.receiving = nil
}

// beginRequest hands what is reserved for the oldest request that hasn't started to its holder.Request.
func (c *conn) beginRequest() *holder.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reserved []int64
	if len(c.reserved.complete) > 0 {
		reserved = c.reserved.complete[0]
		c.reserved.complete = c.reserved.complete[1:]
	}
	return c.holder.NewRequest(reserved...)
}

// reserveUnsent reserves n bytes that are about to be sent, in short pieces, and waits until there is room.
func (c *conn) reserveUnsent(n int) error {
	for n > 0 {
		piece := min(n, memory.ShortBytes)
		n -= piece
		if err := c.holder.Reserve(c.ctx, int64(piece)); err != nil {
			return err
		}
		c.mu.Lock()
		c.reserved.unsent = append(c.reserved.unsent, int64(piece))
		c.mu.Unlock()
	}
	return nil
}

// releaseUnsent releases what was reserved for sent bytes. The caller holds c.mu.
func (c *conn) releaseUnsent() {
	for _, n := range c.reserved.unsent {
		c.holder.Release(memory.Exchanges, n)
	}
	c.reserved.unsent = nil
}

// beginBody takes note of the length of the body that follows a head. The memory of one of
// known length is reserved at once, so that bodies that arrive at the same time don't all fail
// half way.
func (c *conn) beginBody(length int64) error {
	c.length, c.body = length, nil
	if length == framing.UnknownLength {
		c.holder.Due(firstBodyBytes)
		return nil
	}
	c.holder.Due(length)
	if length == 0 {
		return nil
	}
	return c.reserve(length)
}

// appendBody adds a piece to the body that is being read.
func (c *conn) appendBody(piece []byte) error {
	c.holder.Moved(int64(len(piece)))
	if c.length != framing.UnknownLength {
		if c.body == nil {
			c.body = make([]byte, 0, c.length)
		}
		c.body = append(c.body, piece...)
		return nil
	}
	c.holder.Due(int64(len(piece)))
	if need := len(c.body) + len(piece); need > cap(c.body) {
		grown := max(2*cap(c.body), need, firstBodyBytes)
		// The earlier buffer is free once it is copied, so its memory serves for the larger one.
		if err := c.reserve(int64(grown - cap(c.body))); err != nil {
			return err
		}
		c.body = append(make([]byte, 0, grown), c.body...)
	}
	c.body = append(c.body, piece...)
	return nil
}

// endBody returns the body that has been read.
func (c *conn) endBody() *body {
	if c.length == framing.UnknownLength {
		c.holder.Moved(firstBodyBytes)
	}
	whole := c.body
	c.body = nil
	return &body{Reader: bytes.NewReader(whole), whole: whole}
}

// body is the body of a request, which is in memory as a whole.
type body struct {
	*bytes.Reader
	whole []byte
}

// Close implements io.Closer.
func (*body) Close() error { return nil }

// Bytes returns the whole body, for handlers that need no copy of it.
func (b *body) Bytes() []byte { return b.whole }
