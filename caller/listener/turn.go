package listener

import "context"

// turn is the place of a response in the order of a connection's requests.
type turn struct {
	// number counts the requests of the connection that have started.
	number uint64
	// previous is closed when the response before has been sent; nil for the first.
	previous <-chan struct{}
	// sent is closed when this response has been sent.
	sent chan struct{}
	// connection ends when the connection is closed.
	connection context.Context
}

// begin starts a request and returns its turn, unless no further one may start. After a request that asks for the
// connection to be closed, none does.
func (c *conn) begin(last bool) (turn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.lastBegun {
		return turn{}, false
	}
	c.lastBegun = last
	c.begun++
	t := turn{number: c.begun, previous: c.lastSent, sent: make(chan struct{}), connection: c.ctx}
	c.lastSent = t.sent
	return t, true
}

// awaitSent waits until the responses to all requests that have started have been sent. It returns the error of the
// connection's context if the connection is closed first.
func (c *conn) awaitSent() error {
	c.mu.Lock()
	t := turn{previous: c.lastSent, connection: c.ctx}
	c.mu.Unlock()
	return t.await()
}

// await waits until the responses before have been sent. It returns the error of the connection's context if the
// connection is closed first.
func (t turn) await() error {
	if t.previous == nil {
		return t.connection.Err()
	}
	select {
	case <-t.previous:
		return nil
	case <-t.connection.Done():
		return t.connection.Err()
	}
}

// end lets the next response be sent.
func (t turn) end() { close(t.sent) }
