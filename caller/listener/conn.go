package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	nbtls "github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"berylpass/caller/framing"
)

// Bounds of a connection.
const (
	// headTimeout bounds the time from the first byte of a head to its end.
	headTimeout = 10 * time.Second
	// bodyTimeout and minBodyRate, in bytes a second, bound the time that a body may take.
	bodyTimeout = 20 * time.Second
	minBodyRate = 64 << 10
	// lingerTimeout is how long a closing connection waits for the caller to close too.
	lingerTimeout = 2 * time.Second
	// stallTimeout closes a connection on which the caller reads nothing.
	stallTimeout = 20 * time.Second
	// maxUnsent is how many bytes wait for a slow caller before its handler has to wait.
	maxUnsent = 1 << 20
	// maxPipelined bounds the requests that a caller sends before it was answered.
	maxPipelined = 32
)

// conn is a caller's connection. It is the net.Conn that the library's parser knows.
type conn struct {
	*nbio.Conn
	listener *Listener
	parser   *nbhttp.Parser
	tls      *nbtls.Conn
	ctx      context.Context
	cancel   context.CancelFunc

	// framer, length, inHead and refused belong to the goroutine that reads.
	framer  framing.Framer
	length  int64
	inHead  bool
	refused bool

	mu      sync.Mutex
	changed sync.Cond
	// unanswered counts the requests that were read and not yet answered.
	unanswered int
	bodies     holdings
	// reading tells that a part of a request has arrived.
	reading bool
	// unsent counts the bytes that the system has not taken yet.
	unsent int
	// progress counts the bytes that the system has taken.
	progress int
	// closing tells that no request is read any more; finishing that the
	// connection closes as soon as nothing is unsent.
	closing   bool
	finishing bool
	closed    bool
	stall     *time.Timer

	// deadline is held while the read deadline follows the state; it comes before mu.
	deadline sync.Mutex
}

func newConn(l *Listener, nbc *nbio.Conn) *conn {
	c := &conn{Conn: nbc, listener: l, framer: framing.New(l.settings.maxHeader, l.settings.maxBody)}
	c.changed.L = &c.mu
	c.ctx, c.cancel = context.WithCancel(l.base)
	c.parser = nbhttp.NewParser(c, l.engine.Engine, nbhttp.NewServerProcessor(), false, nbc.Execute)
	if l.settings.tls != nil {
		c.tls = nbtls.NewConn(transport{c}, l.settings.tls, false, true)
	}
	return c
}

// transport is a connection as TLS sees it.
type transport struct{ *conn }

// Write implements net.Conn.
func (t transport) Write(p []byte) (int, error) { return t.send(p) }

// Close implements net.Conn.
func (t transport) Close() error { return t.Conn.Close() }

// Write implements net.Conn: it sends to the caller, through TLS if that is in use.
func (c *conn) Write(p []byte) (int, error) {
	if c.tls != nil {
		return c.tls.Write(p)
	}
	return c.send(p)
}

// send hands bytes to the library and counts them until the system has taken them.
func (c *conn) send(p []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.unsent += len(p)
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		return max(0, n), err
	}
	c.watchStall()
	return n, nil
}

// awaitRoom waits until the caller has read enough for more to be written.
func (c *conn) awaitRoom() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.unsent > maxUnsent && !c.closed {
		c.changed.Wait()
	}
	if c.closed {
		return net.ErrClosed
	}
	return nil
}

// sent notes that the system has taken n bytes. The library calls it with the connection locked.
func (c *conn) sent(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent -= n
	c.progress += n
	c.changed.Broadcast()
	if c.unsent == 0 && c.finishing && !c.closed {
		go c.linger()
	}
}

// watchStall starts to watch a caller that reads too slowly, if none is watching.
func (c *conn) watchStall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unsent == 0 || c.closed || c.stall != nil {
		return
	}
	seen := c.progress
	c.stall = time.AfterFunc(stallTimeout, func() { c.checkStall(seen) })
}

func (c *conn) checkStall(seen int) {
	c.mu.Lock()
	c.stall = nil
	stalled := c.unsent > 0 && c.progress == seen
	c.mu.Unlock()
	if stalled {
		c.abort()
		return
	}
	c.watchStall()
}

// finish closes the connection once all that was written has left.
func (c *conn) finish() {
	c.mu.Lock()
	c.closing, c.finishing = true, true
	sent := c.unsent == 0
	c.mu.Unlock()
	if sent {
		c.linger()
	}
}

// linger closes the sending side and leaves it to the caller to close the other,
// since closing it here could destroy an answer that the caller has not read yet.
func (c *conn) linger() {
	c.Lock()
	if gone, _ := c.IsClosed(); !gone {
		_ = syscall.Shutdown(c.Hash(), syscall.SHUT_WR)
	}
	c.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// abort cuts the connection.
func (c *conn) abort() { _ = c.Conn.Close() }

// Close implements net.Conn for the library's parser, which closes after its last answer.
func (c *conn) Close() error {
	c.finish()
	return nil
}

// left ends the requests of a caller that has left.
func (c *conn) left() {
	c.cancel()
	c.mu.Lock()
	c.closed = true
	c.freeBodies()
	if c.stall != nil {
		c.stall.Stop()
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	c.MustExecute(func() { c.parser.CloseAndClean(net.ErrClosed) })
	c.listener.untrack(c)
}

// expectRequest gives a connection without a request in hand the time to send one.
func (c *conn) expectRequest() {
	c.deadline.Lock()
	defer c.deadline.Unlock()
	c.mu.Lock()
	free, reading := c.unanswered == 0 && !c.closing, c.reading
	c.mu.Unlock()
	if !free {
		return
	}
	wait := c.listener.settings.idleTimeout
	if reading {
		wait = c.bodyTime(framing.Unbounded)
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
}

// closeIfIdle closes a connection that holds no part of a request.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := c.unanswered == 0 && !c.reading && !c.closing
	c.closing = c.closing || idle
	c.mu.Unlock()
	if idle {
		c.finish()
	}
}

var errPipelined = errors.New("too many requests without waiting for answers")

// statusOf returns the status and the reason for a request that can't be read.
func statusOf(err error) (int, string) {
	switch {
	case errors.Is(err, framing.ErrHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge, "header-too-large"
	case errors.Is(err, framing.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge, "body-too-large"
	case errors.Is(err, framing.ErrExpectation):
		return http.StatusExpectationFailed, "unsupported-expectation"
	case errors.Is(err, errBodiesFull):
		return http.StatusServiceUnavailable, "bodies-full"
	case errors.Is(err, errPipelined):
		return http.StatusBadRequest, "too-many-pipelined-requests"
	}
	return http.StatusBadRequest, "malformed-request"
}

// refuse answers a request that can't be read, after the answers before it, and closes.
func (c *conn) refuse(err error) {
	c.refused = true
	status, reason := statusOf(err)
	c.Execute(func() {
		header, body := c.listener.settings.refusal(status, reason)
		header = header.Clone()
		if header == nil {
			header = http.Header{}
		}
		header.Set("Connection", "close")
		w := newWriter(c, http.MethodGet, true, header)
		w.WriteHeader(status)
		_, _ = w.Write(body)
		w.end()
	})
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}
