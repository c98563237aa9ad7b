package leg

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

var errSealed = errors.New("connection is sealed")

// sealableConn counts the bytes written and refuses to write once it is sealed.
type sealableConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
	// notAfter is when writing may no longer begin; zero for never.
	notAfter time.Time
}

// Write implements net.Conn. Bytes are counted before they leave.
func (c *sealableConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.written == 0 && !c.notAfter.IsZero() && time.Now().After(c.notAfter) {
		c.sealed = true
	}
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *sealableConn) limit(notAfter time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notAfter = notAfter
}

func (c *sealableConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops all writing if nothing was written since the count was mark, and reports whether it did.
func (c *sealableConn) seal(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != mark {
		return false
	}
	c.sealed = true
	return true
}

// use is the use of one connection for one request.
type use struct {
	conn *sealableConn
	mark int64
}

// tracker notes the connections that a request was given.
type tracker struct {
	notAfter time.Time

	mu   sync.Mutex
	uses []use
}

func (t *tracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*sealableConn)
	if !ok {
		return
	}
	conn.limit(t.notAfter)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.uses = append(t.uses, use{conn: conn, mark: conn.count()})
}

// seal reports whether no byte of the request has left, and makes sure that none will.
func (t *tracker) seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.uses {
		if !u.conn.seal(u.mark) {
			return false
		}
	}
	return true
}
