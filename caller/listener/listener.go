// Package listener serves callers' HTTP/1.x requests with the event loops of nbio's
// nbhttp, and adds what that library lacks: strict request framing, bounds and
// timeouts, response framing, and graceful shutdown.
//
// Package framing checks each byte before the library's parser sees it. A refused
// request gets a response, after which the connection is closed in such a way that
// the caller can read the response. A request's context ends when the caller
// disconnects, also while the handler runs. Responses are framed in this package: if a
// handler writes less than its Content-Length, or panics, the connection is closed
// before the response is complete, so that the caller can't take it for a whole one.
//
// A caller that closes its sending side counts as disconnected.
//
// # Usage
//
//	l, err := listener.New("127.0.0.1:8080", handler, listener.WithMaxBody(16<<20))
//	l.Address()
//	err = l.Shutdown(ctx) // stops accepting, completes the requests in flight
//	l.Close()             // closes the remaining connections
//
// A handler that can't complete a response that it has begun panics with
// http.ErrAbortHandler. Handlers may use the request and its body after they
// return; the ResponseWriter must not be used then.
package listener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"berylpass/caller/memory/holder"
)

// Defaults of the options. Sizes are in bytes.
const (
	DefaultMaxHeader      = 64 << 10
	DefaultMaxBody        = 16 << 20
	DefaultMaxTotalBody   = 128 << 20
	DefaultMaxConnections = 20_000
	DefaultIdleTimeout    = 75 * time.Second
	// DefaultHeadTimeout is the longest time from the first byte of a head to its end.
	DefaultHeadTimeout = 10 * time.Second
	// DefaultShutdownGrace is how long Shutdown leaves idle connections open, so
	// that a request on its way on one of them is still answered.
	DefaultShutdownGrace = time.Second
)

// acceptRetryDelay is the pause after an accept has failed.
const acceptRetryDelay = 20 * time.Millisecond

// Listener serves callers on one address. It is safe for concurrent use.
type Listener struct {
	settings settings
	handler  http.Handler
	engine   *engine
	tcp      *net.TCPListener
	base     context.Context
	cancel   context.CancelFunc
	accepter sync.WaitGroup

	// head and idle are the timeouts in force, as durations.
	head, idle atomic.Int64

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	closed   bool
	// handlers is the number of running handlers. ended is signalled when a handler
	// returns and when a connection closes.
	handlers int
	ended    sync.Cond
	// drained is closed once the listener is draining and has no connection left.
	drained chan struct{}
}

// New listens on the address, host:port, and serves until Shutdown or Close.
func New(address string, handler http.Handler, options ...Option) (*Listener, error) {
	engine, err := sharedEngine()
	if err != nil {
		return nil, fmt.Errorf("start event loops for callers: %w", err)
	}
	// Shutdown attaches a socket filter, which Multipath TCP sockets don't support.
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	tcp, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	l := &Listener{
		settings: defaults(),
		handler:  handler,
		engine:   engine,
		tcp:      tcp.(*net.TCPListener),
		conns:    map[*conn]struct{}{},
		drained:  make(chan struct{}),
	}
	l.ended.L = &l.mu
	for _, option := range options {
		option(&l.settings)
	}
	if l.settings.memory == nil {
		l.settings.memory = holder.NewBook(wholeFor(DefaultMaxTotalBody))
	}
	l.SetTimeouts(l.settings.headTimeout, l.settings.idleTimeout)
	l.base, l.cancel = context.WithCancel(context.Background())
	l.accepter.Go(l.accept)
	return l, nil
}

// Address returns the address, host:port, on which the listener accepts connections.
func (l *Listener) Address() string { return l.tcp.Addr().String() }

// SetTimeouts sets how long a head may take from its first byte to its end, and how long a
// connection stays open without a request. Timers that run already aren't changed.
func (l *Listener) SetTimeouts(head, idle time.Duration) {
	l.head.Store(int64(head))
	l.idle.Store(int64(idle))
}

func (l *Listener) headTimeout() time.Duration { return time.Duration(l.head.Load()) }

func (l *Listener) idleTimeout() time.Duration { return time.Duration(l.idle.Load()) }

// Connections returns the number of open connections.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// accept adds connections to the engine until the socket is closed or its deadline passes.
func (l *Listener) accept() {
	for {
		accepted, err := l.tcp.Accept()
		if err == nil {
			l.add(accepted)
			continue
		}
		var timeout net.Error
		if errors.Is(err, net.ErrClosed) || errors.As(err, &timeout) && timeout.Timeout() {
			return
		}
		time.Sleep(acceptRetryDelay)
	}
}

func (l *Listener) add(accepted net.Conn) {
	nbc, err := nbio.NBConn(accepted)
	if err != nil {
		_ = accepted.Close()
		return
	}
	c := newConn(l, nbc)
	evicted, ok := l.track(c)
	if evicted != nil {
		l.settings.onEvicted()
		evicted.abort()
	}
	if !ok {
		c.holder.Leave()
		_ = nbc.Close()
		return
	}
	if err := l.engine.add(c); err != nil {
		c.holder.Leave()
		l.untrack(c)
		return
	}
	c.expectRequest()
}

// track adds c to the open connections. If there are as many as there may be, it takes the place of a
// quiet one, which the caller of track then closes. It returns false if there is none, or if the listener is closed.
func (l *Listener) track(c *conn) (evicted *conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, false
	}
	if len(l.conns) >= l.settings.maxConnections {
		if evicted = l.evict(); evicted == nil {
			return nil, false
		}
	}
	l.conns[c] = struct{}{}
	return evicted, true
}

func (l *Listener) untrack(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.ended.Broadcast()
	l.checkDrained()
}

// checkDrained closes drained if that is due. The caller holds l.mu.
func (l *Listener) checkDrained() {
	if !l.draining || len(l.conns) > 0 {
		return
	}
	select {
	case <-l.drained:
	default:
		close(l.drained)
	}
}

func (l *Listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

func (l *Listener) snapshot() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}
