package listener

import (
	"time"

	"berylpass/caller/memory"
)

// maxCompared is the number of connections among which the one to close is chosen.
const maxCompared = 64

// rest says whether a connection may be closed to make room for another.
type rest uint8

const (
	// busy is a connection with a request.
	busy rest = iota
	// stalled is one whose caller has read nothing of a response for memory.Grace.
	stalled
	// quiet is one without a complete request or a response.
	quiet
)

// evict removes a connection that isn't busy, if there is one, to make room for another, and
// returns it. Of maxCompared connections it is the one that has been quiet for longest, or else
// stalled for longest. The caller holds l.mu.
func (l *Listener) evict() *conn {
	now := time.Now()
	var chosen *conn
	var since time.Time
	state, compared := busy, 0
	for c := range l.conns {
		if compared++; compared > maxCompared && chosen != nil {
			break
		}
		its, itsSince := c.rest(now)
		if its > state || its == state && state != busy && itsSince.Before(since) {
			chosen, state, since = c, its, itsSince
		}
	}
	if chosen == nil || !chosen.stopIfAtRest(now) {
		return nil
	}
	delete(l.conns, chosen)
	return chosen
}

// rest returns the state of the connection and since when it has been in it.
func (c *conn) rest(now time.Time) (rest, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restLocked(now)
}

// restLocked is rest for a caller that holds c.mu.
func (c *conn) restLocked(now time.Time) (rest, time.Time) {
	switch {
	case c.closing && !c.finishing:
		return busy, time.Time{}
	case c.unsent > 0 && now.Sub(c.lastWritten) > memory.Grace:
		return stalled, c.lastWritten
	case c.unanswered == 0 && !c.closing && c.unsent == 0 && (!c.reading || c.partialHead):
		return quiet, c.quietSince
	}
	return busy, time.Time{}
}

// stopIfAtRest stops reading requests if the connection isn't busy, and reports whether that is so.
func (c *conn) stopIfAtRest(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, _ := c.restLocked(now)
	c.closing = c.closing || state != busy
	return state != busy
}
