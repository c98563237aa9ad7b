// Package mesh carries control calls between the daemons of a fleet, as net/rpc
// over mutually authenticated TLS.
//
// A mesh listens on the daemon's control address and dials a peer at the first
// call to it. It keeps one connection per peer and replaces it when it breaks.
// net/rpc has neither deadlines nor size bounds of its own: therefore Call takes a
// context, and a message larger than MaxMessageBytes closes its connection.
//
// # Usage
//
//	m, err := mesh.New("127.0.0.1:7001", key, directory)
//	m.Register("Ledger", receiver)
//	m.Serve()
//	err = m.Call(ctx, "vm-17", "Ledger.Cancel", request, &reply)
//	defer m.Close()
//
// A call that ends with an error may have run at the peer; see Call.
package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"berylpass/fleet/member"
	"berylpass/mesh/crossing"
	"berylpass/mesh/link"
	"berylpass/mesh/meshkey"
)

// The bounds of the mesh.
const (
	// MaxMessageBytes is the largest control message in bytes.
	MaxMessageBytes = 4 << 20
	// DialTimeout bounds the set-up of a connection, TLS handshake included.
	DialTimeout = time.Second
	// maxTimeoutsInRow is the number of calls in a row that must time out before the mesh
	// drops their connection as dead.
	maxTimeoutsInRow = 2
	// dialRetryDelay is the time after a failed dial during which calls fail at once.
	dialRetryDelay = 200 * time.Millisecond
)

var (
	// ErrUnknownMember is the error of a call to a member without a known control address.
	ErrUnknownMember = errors.New("no control address for member")
	// ErrClosed is the error of a call on a mesh that has been closed.
	ErrClosed = errors.New("mesh is closed")
	// ErrUnreachable is the error of a call to a member to which no connection could be
	// made. The call has not run.
	ErrUnreachable = errors.New("member cannot be reached")
)

// Directory holds the control addresses of members.
type Directory interface {
	// ControlAddress returns the control address of a member, host:port, if it is known.
	ControlAddress(id member.ID) (string, bool)
}

// Mesh makes and serves the control calls of one daemon. It is safe for concurrent use.
type Mesh struct {
	directory Directory
	// serverTLS and clientTLS are shared by all connections, so that sessions are resumed.
	serverTLS *tls.Config
	clientTLS *tls.Config
	listener  net.Listener
	server    *rpc.Server
	onPanic   func(method, stack string)
	dialTCP   crossing.DialFunc
	// sent and received count bytes.
	sent     atomic.Int64
	received atomic.Int64

	mu     sync.Mutex
	closed bool
	// peers holds the outgoing connections by control address.
	peers map[string]*peer
	// conns holds the accepted connections.
	conns map[net.Conn]struct{}
	wait  sync.WaitGroup
}

// peer holds the outgoing connection to one address.
type peer struct {
	mu sync.Mutex
	// client is nil while there is no connection.
	client *rpc.Client
	// failedAt is the time of the last failed dial.
	failedAt time.Time
	// timeouts is the number of calls that have timed out since the last answer.
	timeouts int
}

// New returns a mesh that listens on the address, host:port. The caller registers all
// receivers before it calls Serve.
func New(address string, key *meshkey.MeshKey, directory Directory, options ...Option) (*Mesh, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for control calls: %w", err)
	}
	m := &Mesh{
		directory: directory,
		serverTLS: key.ServerTLS(),
		clientTLS: key.ClientTLS(),
		listener:  listener,
		server:    rpc.NewServer(),
		peers:     map[string]*peer{},
		conns:     map[net.Conn]struct{}{},
		onPanic:   func(string, string) {},
		dialTCP:   link.New(DialTimeout).Dialer().DialContext,
	}
	for _, option := range options {
		option(m)
	}
	return m, nil
}

// Option configures a Mesh.
type Option func(*Mesh)

// WithPanicHandler sets a function that is called with the method and the stack of each call that panicked.
func WithPanicHandler(panicked func(method, stack string)) Option {
	return func(m *Mesh) { m.onPanic = panicked }
}

// WithTraffic returns an Option that counts the bytes on the connections that the mesh dials.
func WithTraffic(c *crossing.Counter) Option {
	return func(m *Mesh) { m.dialTCP = c.Dial(crossing.Control, m.dialTCP) }
}

// Address returns the address on which the mesh listens.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Register makes the exported methods of receiver callable under name, by the rules of net/rpc.
func (m *Mesh) Register(name string, receiver any) error {
	return m.server.RegisterName(name, receiver)
}

// Serve starts to accept connections of peers and returns at once.
func (m *Mesh) Serve() {
	m.wait.Go(func() {
		for {
			conn, err := m.listener.Accept()
			if err != nil {
				return
			}
			m.wait.Go(func() { m.serveConn(conn) })
		}
	})
}

// Traffic returns the number of bytes sent and received over all connections since the
// start, TLS overhead included.
func (m *Mesh) Traffic() (sent, received int64) { return m.sent.Load(), m.received.Load() }

// Call calls a method of a member and waits for its reply or the end of ctx. The
// argument reply is a pointer; Call writes to it only if it returns nil.
// If the error wraps ErrUnknownMember, ErrUnreachable or ErrClosed, the call has not
// run; after any other error it may have run.
func (m *Mesh) Call(ctx context.Context, to member.ID, method string, args, reply any) error {
	address, ok := m.directory.ControlAddress(to)
	if !ok {
		return fmt.Errorf("%w %q", ErrUnknownMember, to)
	}
	return m.CallAddress(ctx, address, method, args, reply)
}

// CallAddress is like Call for a peer of which only the control address, host:port, is known.
func (m *Mesh) CallAddress(ctx context.Context, address, method string, args, reply any) error {
	p, err := m.peer(address)
	if err != nil {
		return err
	}
	client, err := m.connect(ctx, p, address)
	if err != nil {
		return err
	}
	// The answer is decoded into a separate value: if it arrives after CallAddress has
	// returned, the caller may already use reply.
	callReply := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, args, callReply.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.countTimeout(client)
		}
		return fmt.Errorf("call %s at %s: %w", method, address, ctx.Err())
	case done := <-call.Done:
		var serverErr rpc.ServerError
		if done.Error != nil && !errors.As(done.Error, &serverErr) {
			p.drop(client)
		}
		p.resetTimeouts()
		if done.Error == nil {
			reflect.ValueOf(reply).Elem().Set(callReply.Elem())
		}
		return done.Error
	}
}

// Close stops listening, closes all connections and waits until the goroutines that serve
// them have ended.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	for _, p := range m.peers {
		if client := p.currentClient(); client != nil {
			_ = client.Close()
		}
	}
	for conn := range m.conns {
		_ = conn.Close()
	}
	m.mu.Unlock()
	_ = m.listener.Close()
	m.wait.Wait()
}

// peer returns the peer of an address, which may have no connection yet.
func (m *Mesh) peer(address string) (*peer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, ErrClosed
	}
	p, ok := m.peers[address]
	if !ok {
		p = &peer{}
		m.peers[address] = p
	}
	return p, nil
}

// connect returns the client of the peer's connection, which it dials if there is none.
// Other calls to the same peer wait for the dial.
func (m *Mesh) connect(ctx context.Context, p *peer, address string) (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil {
		return p.client, nil
	}
	if time.Since(p.failedAt) < dialRetryDelay {
		return nil, fmt.Errorf("%w: the last dial of %s failed within the retry delay", ErrUnreachable, address)
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := m.dial(ctx, address)
	if err != nil {
		p.failedAt = time.Now()
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	client := rpc.NewClientWithCodec(newClientCodec(conn))
	p.client = client
	return client, nil
}

func (m *Mesh) dial(ctx context.Context, address string) (net.Conn, error) {
	raw, err := m.dialTCP(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(m.countBytes(raw), m.clientTLS)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// serveConn serves the calls of one accepted connection until it is closed.
func (m *Mesh) serveConn(raw net.Conn) {
	if !m.track(raw) {
		return
	}
	defer m.untrack(raw)
	conn := tls.Server(m.countBytes(raw), m.serverTLS)
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	err := conn.HandshakeContext(ctx)
	cancel()
	if err != nil {
		return
	}
	m.server.ServeCodec(panicCodec{newServerCodec(conn), m.onPanic})
}

func (m *Mesh) countBytes(conn net.Conn) net.Conn {
	return countingConn{Conn: conn, sent: &m.sent, received: &m.received}
}

// track registers an accepted connection, which Close then closes. It returns false if
// the mesh is closed already.
func (m *Mesh) track(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		_ = conn.Close()
		return false
	}
	m.conns[conn] = struct{}{}
	return true
}

func (m *Mesh) untrack(conn net.Conn) {
	_ = conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, conn)
}

func (p *peer) currentClient() *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.client
}

// resetTimeouts resets the count of timeouts after a call that has not timed out.
func (p *peer) resetTimeouts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeouts = 0
}

// countTimeout counts a call that timed out, and drops the connection after
// maxTimeoutsInRow of them.
func (p *peer) countTimeout(client *rpc.Client) {
	p.mu.Lock()
	p.timeouts++
	silent := p.client == client && p.timeouts >= maxTimeoutsInRow
	if silent {
		p.timeouts = 0
	}
	p.mu.Unlock()
	if silent {
		p.drop(client)
	}
}

// drop closes a connection, so that the next call dials a new one.
func (p *peer) drop(client *rpc.Client) {
	_ = client.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == client {
		p.client = nil
	}
}
