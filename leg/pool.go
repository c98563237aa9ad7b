package leg

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxIdleConns is the largest number of idle connections kept for one backend server.
	// No more connections than its slots are ever in use.
	maxIdleConns = 16
	// defaultIdleTimeout is how long a connection may be idle and still be reused if the
	// backend server sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is the least time between the reuse of an idle connection and the moment
	// at which the backend server would close it.
	idleMargin = time.Second
	// keepAliveInterval is the interval of the TCP keep-alive probes that detect dead
	// connections.
	keepAliveInterval = 5 * time.Second
	// earlyDropMemory is how long the reuse time stays shortened after a backend server has
	// dropped an idle connection early: such faults last for seconds.
	earlyDropMemory = 30 * time.Second
)

// conn is a connection to a backend server. It counts the bytes written to it.
type conn struct {
	net.Conn
	in      *bufio.Reader
	written atomic.Int64
	// writtenBefore is the value of written at the start of the current request.
	writtenBefore int64
	// idleSince is the end of the last request, idleTimeout how long after it the connection
	// may be reused.
	idleSince   time.Time
	idleTimeout time.Duration
	// reused reports whether the connection was taken from the pool for the current request,
	// idleFor how long it was idle before that.
	reused  bool
	idleFor time.Duration
}

// earlyDrop records that a backend server drops idle connections without notice: a request
// sent on such a connection is reset and may have run.
type earlyDrop struct {
	// idleTimeout is how long connections to the backend server may be idle and still be
	// reused, until is when the record is forgotten.
	idleTimeout time.Duration
	until       time.Time
}

// Write counts the bytes before it writes them, so that a count that hasn't changed proves
// that none was written.
func (c *conn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// pool keeps idle connections by address as stacks, the last used on top. It is safe for
// concurrent use.
type pool struct {
	dialer net.Dialer
	dials  atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn
	// earlyDrops holds the backend servers that drop idle connections early, by address.
	earlyDrops map[string]earlyDrop
}

func newPool() *pool {
	return &pool{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval},
		idle:   map[string][]*conn{}, earlyDrops: map[string]earlyDrop{},
	}
}

// dial returns a new connection to address.
func (p *pool) dial(ctx context.Context, address string) (*conn, error) {
	p.dials.Add(1)
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, in: bufio.NewReader(raw), idleTimeout: defaultIdleTimeout}, nil
}

// take removes the last used connection that can carry another request from the pool and
// returns it, or nil if there is none. It closes those that can't.
func (p *pool) take(address string, now time.Time) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		c.idleFor = now.Sub(c.idleSince)
		if c.idleFor < p.reuseTime(address, c, now) && isReusable(c.Conn) {
			c.writtenBefore, c.reused = c.written.Load(), true
			return c
		}
		_ = c.Close()
	}
}

// reuseTime returns how long c, a connection to address, may be idle and still be reused.
func (p *pool) reuseTime(address string, c *conn, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	learned, ok := p.earlyDrops[address]
	if ok && !now.Before(learned.until) {
		delete(p.earlyDrops, address)
		ok = false
	}
	if ok {
		return min(learned.idleTimeout, c.idleTimeout)
	}
	return c.idleTimeout
}

// recordEarlyDrop records that the backend server at address dropped c while it was idle, so
// that the request sent on it next got no answer. For earlyDropMemory, connections to the
// address are only reused if they have been idle for less than half as long as c had.
func (p *pool) recordEarlyDrop(address string, c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.earlyDrops[address] = earlyDrop{idleTimeout: c.idleFor / 2, until: now.Add(earlyDropMemory)}
}

// pop removes the last used connection to address and returns it, or nil if there is none.
func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return c
}

// put adds a connection on which nothing is left to read to the pool. If there are then
// more than maxIdleConns for the address, it closes the one that was used least recently.
func (p *pool) put(address string, c *conn, now time.Time) {
	c.idleSince = now
	p.mu.Lock()
	kept := append(p.idle[address], c)
	var oldest *conn
	if len(kept) > maxIdleConns {
		oldest, kept = kept[0], kept[1:]
	}
	p.idle[address] = kept
	p.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
}

func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, kept := range p.idle {
		for _, c := range kept {
			_ = c.Close()
		}
	}
	p.idle = map[string][]*conn{}
}
