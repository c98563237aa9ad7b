// Package crossing counts the bytes that a daemon exchanges over the connections that it
// dials, by kind of traffic and by the VM at the other end.
//
// The counts answer what crosses the link between two regions, which is slow and dear: the
// region of a VM may become known, or change, after the connection to it was opened, so the
// counts are kept by address and added up when they are asked for. Each connection between
// two daemons is counted by the one that dialled it, in both directions, so the sum over the
// fleet counts each byte once. TLS is included; the headers of TCP and IP are not.
//
// # Usage
//
//	c := crossing.New()
//	dial := c.Dial(crossing.Control, dialer.DialContext)
//	totals := c.Totals(func(host string) bool { return regionOf(host) != own })
//	totals[crossing.Control].Sent // bytes
package crossing

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Kind is a kind of traffic.
type Kind uint8

// The kinds of traffic.
const (
	// Control is calls of the mesh: membership, configuration, limits, notices.
	Control Kind = iota
	// Requests are callers' requests and calls of backend servers on their way to a guard,
	// with their answers.
	Requests
	// Store is calls to the platform's store.
	Store
	kindCount
)

var kinds = [...]string{"control", "requests", "store"}

// String returns the kebab-case name of the kind.
func (k Kind) String() string { return kinds[k] }

// Traffic is the number of connections that were opened and of the bytes on them.
type Traffic struct {
	Connections, Sent, Received int64
}

// Bytes returns the number of bytes in both directions.
func (t Traffic) Bytes() int64 { return t.Sent + t.Received }

// DialFunc dials a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Counter holds the counts of one daemon. It is safe for concurrent use.
type Counter struct {
	mu    sync.Mutex
	hosts map[string]*counts
}

// counts are the counts for one host.
type counts [kindCount]struct{ connections, sent, received atomic.Int64 }

// New returns a Counter of which all counts are zero.
func New() *Counter { return &Counter{hosts: map[string]*counts{}} }

// Dial returns a function that dials with dial and counts the bytes on the connection.
func (c *Counter) Dial(k Kind, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			host = address
		}
		of := &c.host(host)[k]
		of.connections.Add(1)
		return countedConn{Conn: conn, sent: &of.sent, received: &of.received}, nil
	}
}

// host returns the counts of a host and creates them if necessary.
func (c *Counter) host(host string) *counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	of := c.hosts[host]
	if of == nil {
		of = &counts{}
		c.hosts[host] = of
	}
	return of
}

// Totals returns the sums, by kind, over the hosts for which include returns true.
func (c *Counter) Totals(include func(host string) bool) map[Kind]Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := map[Kind]Traffic{}
	for host, of := range c.hosts {
		if !include(host) {
			continue
		}
		for k := range kindCount {
			t := totals[k]
			t.Connections += of[k].connections.Load()
			t.Sent += of[k].sent.Load()
			t.Received += of[k].received.Load()
			totals[k] = t
		}
	}
	return totals
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	sent, received *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}
