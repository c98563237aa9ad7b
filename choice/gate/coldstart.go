package gate

import "time"

// coldBurst is the capacity of the token bucket, in requests.
const coldBurst = 2

// coldStart is the token bucket that limits the request rate of a cold backend server.
type coldStart struct {
	// rate is in requests per second; 0 means no limit.
	rate       float64
	tokens     float64
	refilledAt time.Time
}

// allows reports whether one more request may start.
func (c *coldStart) allows(now time.Time) bool {
	if c.rate <= 0 {
		return true
	}
	c.refill(now)
	return c.tokens >= 1
}

// take takes a token for a request that starts. It is also called while the backend server is warm, and the
// bucket may then run empty, so that a return to the cold state starts without saved tokens.
func (c *coldStart) take(now time.Time) {
	if c.rate <= 0 {
		return
	}
	c.refill(now)
	c.tokens = max(c.tokens-1, 0)
}

func (c *coldStart) refill(now time.Time) {
	if c.refilledAt.IsZero() {
		c.refilledAt = now
	}
	c.tokens = min(c.tokens+c.rate*now.Sub(c.refilledAt).Seconds(), coldBurst)
	c.refilledAt = now
}
