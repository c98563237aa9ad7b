package listener

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
)

// serve runs the handler. It completes the response if the handler returns, and aborts
// the connection if the handler panics.
func (l *Listener) serve(c *conn, r *http.Request) {
	if !l.beginHandler() {
		return
	}
	defer l.endHandler()
	if c.isClosing() {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	request := r.WithContext(ctx)
	w := newWriter(c, r.Method, r.ProtoAtLeast(1, 1), http.Header{})
	w.closeAfter = r.Close
	defer c.answered()
	if !l.run(w, request) {
		c.abort()
		return
	}
	w.end()
}

// run calls the handler and reports whether it returned without a panic. Panics other
// than http.ErrAbortHandler are passed to settings.onPanic.
func (l *Listener) run(w http.ResponseWriter, r *http.Request) (returned bool) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		returned = false
		err, ok := value.(error)
		if !ok || !errors.Is(err, http.ErrAbortHandler) {
			l.settings.onPanic(value, debug.Stack())
		}
	}()
	l.handler.ServeHTTP(w, r)
	return true
}

// beginHandler counts a running handler. It returns false if the listener is closed.
func (l *Listener) beginHandler() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.handlers++
	return true
}

func (l *Listener) endHandler() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers--
	l.ended.Broadcast()
}

// answered updates the connection's state after a request's handler has ended.
func (c *conn) answered() {
	c.mu.Lock()
	c.unanswered--
	c.releaseBody()
	c.mu.Unlock()
	c.expectRequest()
}

// decideLast decides whether the response that begins is the last one on the connection,
// and returns the decision: it is if a close was requested, or if the listener is
// draining and no other request has arrived. No request is read after the decision.
func (c *conn) decideLast(closeRequested bool) bool {
	draining := c.listener.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	if closeRequested || draining && c.unanswered == 1 && !c.reading {
		c.closing = true
	}
	return c.closing
}
