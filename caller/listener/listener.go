// Package listener takes callers' HTTP/1.x requests with nbio's nbhttp, and
// holds what that library leaves open.
//
// Each byte passes the checks of package framing before the library's parser
// sees it. Refused requests get an answer and their connection is closed in such
// a way that the caller can read it. The request's context ends when the caller
// leaves, also while its handler runs. Answers are framed here: a handler that
// writes less than the Content-Length it promised, or that panics, has its
// connection cut, so that the caller can't take the answer for whole.
//
// A caller that closes its sending side counts as having left.
//
// # Usage
//
//	l, err := listener.New("127.0.0.1:8080", handler, listener.WithMaxBody(16<<20))
//	l.Address()
//	err = l.Shutdown(ctx) // takes no new connections, finishes what is in flight
//	l.Close()             // cuts what is left
//
// A handler that finds half way that it can't complete an answer panics with
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
	"time"

	"github.com/lesismal/nbio"
)

// Default bounds.
const (
	DefaultMaxHeader      = 64 << 10
	DefaultMaxBody        = 16 << 20
	DefaultMaxBodies      = 128 << 20
	DefaultMaxConnections = 20_000
	DefaultIdleTimeout    = 75 * time.Second
	// DefaultShutdownGrace is how long Shutdown leaves idle connections open, so
	// that a request that is under way on one is answered.
	DefaultShutdownGrace = time.Second
)

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

// Listener serves callers on one address.
type Listener struct {
	settings settings
	bodies   bodies
	handler  http.Handler
	engine   *engine
	tcp      *net.TCPListener
	base     context.Context
	cancel   context.CancelFunc
	accepter sync.WaitGroup

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	closed   bool
	// handlers counts the handlers that run; ended is signalled when one returns
	// and when a connection closes.
	handlers int
	ended    sync.Cond
	// emptied is closed once the listener drains and has no connection left.
	emptied chan struct{}
}

// New listens on the address, host:port, and serves until Shutdown or Close.
func New(address string, handler http.Handler, options ...Option) (*Listener, error) {
	engine, err := sharedEngine()
	if err != nil {
		return nil, fmt.Errorf("start the engine for callers: %w", err)
	}
	// Multipath TCP sockets take no filter, which Shutdown needs.
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
		emptied:  make(chan struct{}),
	}
	l.ended.L = &l.mu
	for _, option := range options {
		option(&l.settings)
	}
	l.bodies.limit = l.settings.maxBodies
	l.base, l.cancel = context.WithCancel(context.Background())
	l.accepter.Go(l.accept)
	return l, nil
}

// Address returns host:port on which the listener accepts.
func (l *Listener) Address() string { return l.tcp.Addr().String() }

// Connections returns the number of open connections.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// accept adds connections to the engine until the socket is closed.
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
	if !l.track(c) {
		_ = nbc.Close()
		return
	}
	if err := l.engine.add(c); err != nil {
		l.untrack(c)
		return
	}
	c.expectRequest()
}

// track notes a connection and reports whether there is room for it.
func (l *Listener) track(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.conns) >= l.settings.maxConnections {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Listener) untrack(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.ended.Broadcast()
	l.checkEmptied()
}

// checkEmptied is called with the lock held.
func (l *Listener) checkEmptied() {
	if !l.draining || len(l.conns) > 0 {
		return
	}
	select {
	case <-l.emptied:
	default:
		close(l.emptied)
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
