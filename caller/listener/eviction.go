package listener

import "time"

// maxCompared is the number of connections among which the one to close is chosen.
const maxCompared = 64

// evict removes a connection without a complete request, if there is one, to make room for
// another, and returns it. Of maxCompared connections it is the one that has been quiet for
// longest. The caller holds l.mu.
func (l *Listener) evict() *conn {
	var oldest *conn
	var quietSince time.Time
	compared := 0
	for c := range l.conns {
		if compared++; compared > maxCompared && oldest != nil {
			break
		}
		since, evictable := c.quiet()
		if evictable && (oldest == nil || since.Before(quietSince)) {
			oldest, quietSince = c, since
		}
	}
	if oldest == nil || !oldest.stopIfQuiet() {
		return nil
	}
	delete(l.conns, oldest)
	return oldest
}

// quiet returns since when the connection has had neither a request nor a body, and whether it has none now.
func (c *conn) quiet() (since time.Time, evictable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quietSince, c.isQuiet()
}

func (c *conn) isQuiet() bool {
	return c.unanswered == 0 && !c.closing && c.unsent == 0 && (!c.reading || c.partialHead)
}

// stopIfQuiet stops reading requests if the connection has none.
func (c *conn) stopIfQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	quiet := c.isQuiet()
	c.closing = c.closing || quiet
	return quiet
}
