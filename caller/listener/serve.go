package listener

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
)

// serve runs the handler and sees that its answer is whole or cut.
func (l *Listener) serve(c *conn, r *http.Request) {
	if !l.enter() {
		return
	}
	defer l.leave()
	if c.isClosing() {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	own := r.WithContext(ctx)
	out := newWriter(c, r.Method, r.ProtoAtLeast(1, 1), http.Header{})
	out.close = r.Close
	defer c.answered()
	if !l.run(out, own) {
		c.abort()
		return
	}
	out.end()
}

// run calls the handler and reports whether it returned.
func (l *Listener) run(w http.ResponseWriter, r *http.Request) (returned bool) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		returned = false
		err, ok := value.(error)
		if !ok || !errors.Is(err, http.ErrAbortHandler) {
			l.settings.panicked(value, debug.Stack())
		}
	}()
	l.handler.ServeHTTP(w, r)
	return true
}

// enter counts a handler, unless the listener has been closed.
func (l *Listener) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.handlers++
	return true
}

func (l *Listener) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers--
	l.ended.Broadcast()
}

// answered notes that a request has had its turn.
func (c *conn) answered() {
	c.mu.Lock()
	c.unanswered--
	c.freeBody()
	c.mu.Unlock()
	c.expectRequest()
}

// isLast decides whether the answer that begins is the connection's last one. No
// request is read after it.
func (c *conn) isLast(wanted bool) bool {
	draining := c.listener.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	if wanted || draining && c.unanswered == 1 && !c.reading {
		c.closing = true
	}
	return c.closing
}
