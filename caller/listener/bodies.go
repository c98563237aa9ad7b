package listener

import (
	"errors"
	"sync/atomic"
)

// errBodiesFull refuses a request whose body finds no room beside those of others.
var errBodiesFull = errors.New("no room for the body at present")

// bodies bounds the bytes of all bodies that a listener holds.
type bodies struct {
	held  atomic.Int64
	limit int64
}

// take holds n bytes more, if there is room.
func (b *bodies) take(n int64) bool {
	if b.held.Add(n) <= b.limit {
		return true
	}
	b.held.Add(-n)
	return false
}

func (b *bodies) free(n int64) { b.held.Add(-n) }

// holdings are the bodies of one connection, guarded by its lock.
type holdings struct {
	// receiving is the body that is being read; complete are those that wait for
	// their answers, in order.
	receiving int64
	complete  []int64
}

// hold counts bytes of the body that is being read.
func (c *conn) hold(n int64) error {
	if !c.listener.bodies.take(n) {
		return errBodiesFull
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.listener.bodies.free(n)
		return nil
	}
	c.bodies.receiving += n
	return nil
}

// completeBody notes that the body which was being read is whole. The caller holds c.mu.
func (c *conn) completeBody() {
	c.bodies.complete = append(c.bodies.complete, c.bodies.receiving)
	c.bodies.receiving = 0
}

// freeBody lets go of the body of the request that was answered. The caller holds c.mu.
func (c *conn) freeBody() {
	if len(c.bodies.complete) == 0 {
		return
	}
	c.listener.bodies.free(c.bodies.complete[0])
	c.bodies.complete = c.bodies.complete[1:]
}

// freeBodies lets go of all bodies of a connection that has closed. The caller holds c.mu.
func (c *conn) freeBodies() {
	for len(c.bodies.complete) > 0 {
		c.freeBody()
	}
	c.listener.bodies.free(c.bodies.receiving)
	c.bodies.receiving = 0
}
