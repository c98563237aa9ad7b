// Package link dials TCP connections that fail when the peer goes silent. A peer
// that has lost power or is cut off by a network partition sends neither
// acknowledgements nor resets.
//
// # Usage
//
//	dialer := link.New(500 * time.Millisecond).Dialer()
//	conn, err := dialer.DialContext(ctx, "tcp", address)
package link

import (
	"net"
	"time"
)

const (
	// ackTimeout is the time without acknowledgement of sent bytes after which a
	// connection fails. The slowest path between data centres takes 35 ms one way.
	ackTimeout = 1500 * time.Millisecond
	// keepAliveIdle is the idle time after which the first keep-alive probe is sent,
	// keepAliveInterval the time between probes, and keepAliveProbes the number of
	// unanswered probes after which the connection fails.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// Link holds the settings with which connections are dialled.
type Link struct {
	dialTimeout time.Duration
}

// New returns a Link for connections whose set-up may take up to dialTimeout.
func New(dialTimeout time.Duration) Link { return Link{dialTimeout: dialTimeout} }

// Dialer returns a dialer of connections with keep-alive probes and ackTimeout.
func (l Link) Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: l.dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: setAckTimeout,
	}
}
