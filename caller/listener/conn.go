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
	"berylpass/caller/memory"
	"berylpass/caller/memory/holder"
)

// Timeouts and bounds of a connection.
const (
	// A body must arrive within bodyTimeout plus the time that its length takes at
	// minBodyRate, in bytes per second.
	bodyTimeout = 20 * time.Second
	minBodyRate = 64 << 10
	// lingerTimeout is how long a closing connection waits for the caller to close too.
	lingerTimeout = 2 * time.Second
	// stallTimeout is how long a caller may read nothing of a response before its
	// connection is closed.
	stallTimeout = 20 * time.Second
	// maxUnsent is the number of unsent bytes, for a slow caller, above which the
	// handler blocks.
	maxUnsent = maxBuffered
	// maxPipelined is the maximum number of unanswered requests on a connection. What arrives behind them is kept
	// unread, up to maxHeld bytes: the library can't stop to receive from a single connection.
	maxPipelined = 32
	maxHeld      = 256 << 10
)

// conn is a caller's connection. The library's parser uses it as its net.Conn.
type conn struct {
	*nbio.Conn
	listener *Listener
	parser   *nbhttp.Parser
	tls      *nbtls.Conn
	ctx      context.Context
	cancel   context.CancelFunc
	holder   *holder.Holder

	// readMu is held while bytes are processed: by the event loop, or by the handler whose end lets held bytes be
	// processed. It guards framer, length, body, reserved.head, inHead and refused, and is locked before all others.
	readMu sync.Mutex
	framer framing.Framer
	// body is what has been read of the body.
	body []byte
	// length is the length of the body being read, in bytes, or framing.UnknownLength.
	length int64
	// inHead is whether the data read so far ends within a head.
	inHead bool
	// refused is whether a request was refused; what follows it is ignored.
	refused bool

	mu      sync.Mutex
	changed sync.Cond
	// unanswered is the number of requests that were read and not yet answered.
	unanswered int
	// begun is the number of requests that have started, lastSent the channel of the last one's turn, and lastBegun
	// is whether that one asked for the connection to be closed.
	begun     uint64
	lastSent  chan struct{}
	lastBegun bool
	// held are bytes that were read while maxPipelined requests were unanswered. They count as bodies in memory.
	held     []byte
	reserved reservations
	// quietSince is when the connection was opened, or last ended reading or answering.
	quietSince time.Time
	// lastWritten is when the operating system last accepted bytes, or when the first of those unsent were passed to
	// the library.
	lastWritten time.Time
	// reading is whether a part of a request has arrived, or data is being processed; partialHead is whether that
	// part ends within a head.
	reading     bool
	partialHead bool
	// unsent is the number of bytes that the operating system has not accepted yet.
	unsent int
	// written is the number of bytes that the operating system has accepted.
	written int
	// closing is whether reading of requests has stopped. finishing is whether the
	// connection closes as soon as nothing is unsent.
	closing    bool
	finishing  bool
	closed     bool
	stallTimer *time.Timer

	// deadlineMu is held while the read deadline is set according to the state under
	// mu. It is locked before mu.
	deadlineMu sync.Mutex
}

func newConn(l *Listener, nbc *nbio.Conn) *conn {
	c := &conn{Conn: nbc, listener: l, framer: framing.New(l.settings.maxHeader, l.settings.maxBody), quietSince: time.Now()}
	c.holder = l.settings.memory.Add(c.abort)
	c.changed.L = &c.mu
	c.ctx, c.cancel = context.WithCancel(l.base)
	c.parser = nbhttp.NewParser(c, l.engine.Engine, nbhttp.NewServerProcessor(), false, nbc.Execute)
	if l.settings.tls != nil {
		c.tls = nbtls.NewConn(tlsTransport{c}, l.settings.tls, false, true)
	}
	return c
}

// tlsTransport is the unencrypted connection beneath a TLS connection.
type tlsTransport struct{ *conn }

// Write implements net.Conn.
func (t tlsTransport) Write(p []byte) (int, error) { return t.send(p) }

// Close implements net.Conn.
func (t tlsTransport) Close() error { return t.Conn.Close() }

// Write implements net.Conn. It sends to the caller, through TLS if that is in use.
func (c *conn) Write(p []byte) (int, error) {
	if c.tls != nil {
		return c.tls.Write(p)
	}
	return c.send(p)
}

// send passes p to the library, and counts its bytes as unsent until the operating
// system has accepted them.
func (c *conn) send(p []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if c.unsent == 0 {
		c.lastWritten = time.Now()
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

// awaitWritable blocks while more than maxUnsent bytes are unsent. It returns
// net.ErrClosed if the connection is closed.
func (c *conn) awaitWritable() error {
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

// noteWritten records that the operating system has accepted n bytes. The library
// calls it with its connection locked, so linger, which locks it too, runs in a goroutine.
func (c *conn) noteWritten(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent -= n
	c.written += n
	c.lastWritten = time.Now()
	c.holder.Moved(int64(n))
	if c.unsent <= 0 {
		c.releaseUnsent()
	}
	c.changed.Broadcast()
	if c.unsent == 0 && c.finishing && !c.closed {
		go c.linger()
	}
}

// watchStall starts the stall timer if bytes are unsent and no timer is running.
func (c *conn) watchStall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unsent == 0 || c.closed || c.stallTimer != nil {
		return
	}
	writtenBefore := c.written
	c.stallTimer = time.AfterFunc(stallTimeout, func() { c.checkStall(writtenBefore) })
}

// checkStall aborts the connection if bytes are unsent and none were written since the
// timer was started, when writtenBefore bytes had been.
func (c *conn) checkStall(writtenBefore int) {
	c.mu.Lock()
	c.stallTimer = nil
	stalled := c.unsent > 0 && c.written == writtenBefore
	c.mu.Unlock()
	if stalled {
		c.abort()
		return
	}
	c.watchStall()
}

// finish stops reading requests, and closes the connection once nothing is unsent.
func (c *conn) finish() {
	c.mu.Lock()
	c.closing, c.finishing = true, true
	flushed := c.unsent == 0
	c.mu.Unlock()
	if flushed {
		c.linger()
	}
}

// linger closes the sending side and waits for the caller to close the other one, for
// lingerTimeout at most. Closing both at once could send a reset, which destroys a
// response that the caller has not read yet.
func (c *conn) linger() {
	c.Lock()
	if gone, _ := c.IsClosed(); !gone {
		_ = syscall.Shutdown(c.Hash(), syscall.SHUT_WR)
	}
	c.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// abort closes the connection at once.
func (c *conn) abort() { _ = c.Conn.Close() }

// Close implements net.Conn for the library's parser, which calls it after its last
// response.
func (c *conn) Close() error {
	c.finish()
	return nil
}

// handleClose cancels the requests of a closed connection and releases what it holds.
func (c *conn) handleClose() {
	c.cancel()
	c.mu.Lock()
	c.closed = true
	c.held = nil
	if c.stallTimer != nil {
		c.stallTimer.Stop()
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	c.holder.Leave()
	c.MustExecute(func() { c.parser.CloseAndClean(net.ErrClosed) })
	c.listener.untrack(c)
}

// expectRequest sets the read deadline of a connection that has no unanswered request:
// the idle timeout, or, if a request has arrived in part, that of a head or, if the part ends in the body, the time
// limit of a body of the maximum length.
func (c *conn) expectRequest() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.mu.Lock()
	idle, reading, partialHead := c.unanswered == 0 && !c.closing, c.reading, c.partialHead
	c.mu.Unlock()
	if !idle {
		return
	}
	wait := c.listener.idleTimeout()
	switch {
	case partialHead:
		wait = c.listener.headTimeout()
	case reading:
		wait = c.bodyTimeLimit(framing.UnknownLength)
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
}

// closeIfIdle closes the connection if it has no unanswered request and no part of one.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := c.unanswered == 0 && !c.reading && !c.closing
	c.closing = c.closing || idle
	c.mu.Unlock()
	if idle {
		c.finish()
	}
}

var errPipelined = errors.New("too many bytes of pipelined requests")

// statusOf returns the HTTP status and the reason with which a request is refused
// because of err.
func statusOf(err error) (int, string) {
	switch {
	case errors.Is(err, framing.ErrHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge, "header-too-large"
	case errors.Is(err, framing.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge, "body-too-large"
	case errors.Is(err, framing.ErrExpectation):
		return http.StatusExpectationFailed, "unsupported-expectation"
	case errors.Is(err, errMemoryFull), errors.Is(err, errHeadsFull):
		return http.StatusServiceUnavailable, "memory-full"
	case errors.Is(err, errPipelined):
		return http.StatusBadRequest, "too-many-pipelined-requests"
	}
	return http.StatusBadRequest, "malformed-request"
}

// refuse responds to a request that failed with err, after the responses to earlier
// requests, and closes the connection.
func (c *conn) refuse(err error) {
	c.refused = true
	c.framer, c.body = framing.Framer{}, nil
	c.holder.Release(memory.Heads, c.reserved.head)
	c.reserved.head = 0
	c.mu.Lock()
	for _, n := range c.reserved.receiving {
		c.holder.Release(memory.Exchanges, n)
	}
	c.reserved.receiving = nil
	c.mu.Unlock()
	status, reason := statusOf(err)
	c.Execute(func() {
		if c.awaitSent() != nil {
			return
		}
		turn, ok := c.begin(true)
		if !ok {
			return
		}
		header, body := c.listener.settings.refusal(status, reason)
		header = header.Clone()
		if header == nil {
			header = http.Header{}
		}
		header.Set("Connection", "close")
		w := newWriter(c, turn, http.MethodGet, true, header)
		w.WriteHeader(status)
		_, _ = w.Write(body)
		w.end()
	})
}
