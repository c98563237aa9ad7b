package listener

import (
	"bytes"

	"berylpass/caller/memory"
)

// pipelineFull reports whether the connection has as many unanswered requests as it may.
func (c *conn) pipelineFull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered >= maxPipelined
}

// hold keeps bytes until a request is answered. It returns errPipelined if they are more than maxHeld, and
// errMemoryFull if there is no memory for them.
func (c *conn) hold(data []byte) error {
	if len(data) > maxHeld {
		return errPipelined
	}
	if c.holder.TryReserve(memory.Exchanges, int64(len(data))) != nil {
		return errMemoryFull
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.held = bytes.Clone(data)
	return nil
}

// unhold returns the held bytes, which the caller then holds no longer.
func (c *conn) unhold() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.takeHeld()
}

// takeHeld is unhold for a caller that holds c.mu.
func (c *conn) takeHeld() []byte {
	held := c.held
	c.held = nil
	c.holder.Release(memory.Exchanges, int64(len(held)))
	return held
}

// resume processes the held bytes once fewer than maxPipelined requests are unanswered.
func (c *conn) resume() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.mu.Lock()
	due := len(c.held) > 0 && c.unanswered < maxPipelined && !c.closing
	c.mu.Unlock()
	if !due {
		return
	}
	c.process(nil)
	c.endReading()
}
