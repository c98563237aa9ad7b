package listener

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"time"

	"berylpass/caller/memory/holder"
)

// serve starts the handler of a request. It returns at once if the method is safe, so that the safe requests behind it
// start too (RFC 9112, section 9.3.2); their responses are sent in the order of the requests. Any other request starts
// when all before it are answered, and those behind it wait until it is.
func (l *Listener) serve(c *conn, r *http.Request) {
	safe := isSafe(r.Method)
	if !safe && c.awaitSent() != nil {
		return
	}
	turn, ok := c.begin(r.Close)
	if !ok || !l.beginHandler() {
		return
	}
	// The library reuses r after serve has returned.
	ctx, cancel := context.WithCancel(c.ctx)
	reserved := c.beginRequest()
	request := r.WithContext(holder.WithRequest(ctx, reserved))
	handle := func() {
		defer l.endHandler()
		defer reserved.End()
		defer cancel()
		l.handle(c, turn, request)
	}
	if safe {
		go handle()
		return
	}
	handle()
}

// handle runs the handler. It completes the response if the handler returns, and aborts
// the connection if the handler panics.
func (l *Listener) handle(c *conn, turn turn, r *http.Request) {
	w := newWriter(c, turn, r.Method, r.ProtoAtLeast(1, 1), http.Header{})
	w.closeAfter = r.Close
	if !l.run(w, r) {
		c.abort()
		return
	}
	w.end()
	c.answered()
	turn.end()
}

func isSafe(method string) bool { return method == http.MethodGet || method == http.MethodHead }

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
	c.quietSince = time.Now()
	c.mu.Unlock()
	c.resume()
	c.expectRequest()
}

// decideLast decides whether the response that begins is the last one on the connection,
// and returns the decision: it is if a close was requested, or if the listener is
// draining and no other request has arrived. No request starts after the decision, but those that have started
// are answered before the connection closes: their callers would otherwise send them again.
func (c *conn) decideLast(t turn, closeRequested bool) bool {
	draining := c.listener.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	if closeRequested || draining && c.unanswered == 1 && !c.reading {
		c.closing = true
	}
	return c.closing && c.begun == t.number
}
