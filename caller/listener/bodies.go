package listener

import (
	"errors"
	"sync/atomic"
)

// errBodiesFull is returned for a body that would exceed the bound on the bytes of all
// bodies.
var errBodiesFull = errors.New("request bodies in memory have reached their bound")

// bodyBudget bounds the bytes of all request bodies that a listener holds.
type bodyBudget struct {
	reserved atomic.Int64
	limit    int64
}

// reserve reserves n bytes. It returns false if that would exceed the limit.
func (b *bodyBudget) reserve(n int64) bool {
	if b.reserved.Add(n) <= b.limit {
		return true
	}
	b.reserved.Add(-n)
	return false
}

func (b *bodyBudget) release(n int64) { b.reserved.Add(-n) }

// bodyReservations holds the bytes reserved for the bodies of one connection. It is
// guarded by the connection's mu.
type bodyReservations struct {
	// receiving is the number of bytes reserved for the body that is being read.
	// complete holds those of the unanswered requests' bodies, in order.
	receiving int64
	complete  []int64
}

// reserveBody reserves n bytes for the body that is being read, or nothing if the
// connection is closed: nothing would release them.
func (c *conn) reserveBody(n int64) error {
	if !c.listener.bodies.reserve(n) {
		return errBodiesFull
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.listener.bodies.release(n)
		return nil
	}
	c.bodies.receiving += n
	return nil
}

// completeBody records that the body being read is complete. The caller holds c.mu.
func (c *conn) completeBody() {
	c.bodies.complete = append(c.bodies.complete, c.bodies.receiving)
	c.bodies.receiving = 0
}

// releaseBody releases the body of the oldest unanswered request. The caller holds c.mu.
func (c *conn) releaseBody() {
	if len(c.bodies.complete) == 0 {
		return
	}
	c.listener.bodies.release(c.bodies.complete[0])
	c.bodies.complete = c.bodies.complete[1:]
}

// releaseBodies releases all bodies of a closed connection. The caller holds c.mu.
func (c *conn) releaseBodies() {
	for len(c.bodies.complete) > 0 {
		c.releaseBody()
	}
	c.listener.bodies.release(c.bodies.receiving)
	c.bodies.receiving = 0
}
