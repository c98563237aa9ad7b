package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// linkFaults are the faults that a proxy injects into its connections.
type linkFaults struct {
	// Delay is the delay of each chunk, in both directions.
	Delay time.Duration
	// HoldUpstream holds back what the connecting side sends, and HoldDownstream what
	// the target sends. It is delivered once the fault has ended, as TCP does.
	HoldUpstream, HoldDownstream bool
	// Refuse makes the proxy reset new connections.
	Refuse bool
	// Duplicate sends what arrives on new connections to the target a second time, and
	// Corrupt changes a byte of each chunk that the target sends. No daemon can mask
	// these faults; they test the oracle.
	Duplicate, Corrupt bool
}

// proxy forwards TCP connections to a target on loopback, and injects faults.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	link    linkFaults
	changed *sync.Cond
	conns   map[*net.TCPConn]struct{}
	closed  bool
}

func newProxy(t *testing.T, listen, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, conns: map[*net.TCPConn]struct{}{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setFaults(l linkFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	p.changed.Broadcast()
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		// Errors mean that the connection has ended already.
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.mu.Unlock()
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *proxy) serve(client *net.TCPConn) {
	p.mu.Lock()
	refuse := p.link.Refuse || p.closed
	p.mu.Unlock()
	if refuse {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	server := c.(*net.TCPConn)
	var duplicate net.Conn
	if p.currentFaults().Duplicate {
		if duplicate, err = net.Dial("tcp", p.target); err != nil {
			duplicate = nil
		} else {
			go func() { _, _ = io.Copy(io.Discard, duplicate) }()
			defer func() { _ = duplicate.Close() }()
		}
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() {
		p.copy(server, client, func(l linkFaults) bool { return l.HoldUpstream }, func(chunk []byte) {
			if duplicate != nil {
				// A failure of the duplicate doesn't affect the original connection.
				_, _ = duplicate.Write(chunk)
			}
		})
	})
	wait.Go(func() {
		p.copy(client, server, func(l linkFaults) bool { return l.HoldDownstream }, func(chunk []byte) {
			if p.currentFaults().Corrupt {
				chunk[len(chunk)-2] ^= 1
			}
		})
	})
	wait.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

func (p *proxy) currentFaults() linkFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// copy forwards one direction of a connection until it ends, including the FIN or reset
// at its end. handle is called with each chunk of more than one byte, and may change it.
func (p *proxy) copy(to, from *net.TCPConn, hold func(linkFaults) bool, handle func(chunk []byte)) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		for hold(p.link) && !p.closed {
			p.changed.Wait()
		}
		delay := p.link.Delay
		p.mu.Unlock()
		time.Sleep(delay)
		if n > 1 {
			handle(buffer[:n])
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
