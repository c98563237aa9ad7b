// Package httpport serves HTTP/1.1 on one of a daemon's inner ports: the data
// port between daemons, the announcement port for backend servers and the
// operators' port.
//
// Callers' traffic, which can't be trusted to be well formed, has a listener of its own.
//
// # Usage
//
//	p, err := httpport.New("127.0.0.1:7003", handler, httpport.WithTLS(key.NonBlockingServerTLS()))
//	p.Address()
//	p.Close()
package httpport

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	nbtls "github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
)

// Default bounds of a port.
const (
	DefaultMaxBody = 32 << 20
	// handlersPerCore bounds the handlers that wait at once.
	handlersPerCore = 2048
	// maxConnections bounds the open connections.
	maxConnections = 100_000
	idleTimeout    = 2 * time.Minute
)

// quietLibrary turns off the library's own log lines; events are logged by the daemon.
var quietLibrary = sync.OnceFunc(func() { logging.SetLevel(logging.LevelNone) })

// Port is a listening HTTP port.
type Port struct {
	engine  *nbhttp.Engine
	address string
}

// Option changes how a port is set up.
type Option func(*nbhttp.Config)

// WithTLS serves TLS only.
func WithTLS(config *nbtls.Config) Option {
	return func(c *nbhttp.Config) {
		c.TLSConfig = config
		c.AddrsTLS, c.Addrs = c.Addrs, nil
	}
}

// WithMaxBody bounds a request's body in bytes.
func WithMaxBody(bytes int) Option {
	return func(c *nbhttp.Config) { c.MaxHTTPBodySize, c.ReadLimit = bytes, bytes+(1<<20) }
}

// New listens on the address, host:port, and serves until Close.
func New(address string, handler http.Handler, options ...Option) (*Port, error) {
	quietLibrary()
	p := &Port{}
	config := nbhttp.Config{
		Network:                 "tcp",
		Addrs:                   []string{address},
		Handler:                 handler,
		MaxLoad:                 maxConnections,
		KeepaliveTime:           idleTimeout,
		MessageHandlerPoolSize:  runtime.NumCPU() * handlersPerCore,
		ReleaseWebsocketPayload: true,
		Listen: func(network, addr string) (net.Listener, error) {
			l, err := net.Listen(network, addr)
			if err == nil {
				p.address = l.Addr().String()
			}
			return l, err
		},
	}
	WithMaxBody(DefaultMaxBody)(&config)
	for _, option := range options {
		option(&config)
	}
	p.engine = nbhttp.NewEngine(config)
	if err := p.engine.Start(); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return p, nil
}

// Address returns host:port on which the port listens.
func (p *Port) Address() string { return p.address }

// Close stops listening and cuts the open connections.
func (p *Port) Close() { p.engine.Stop() }
