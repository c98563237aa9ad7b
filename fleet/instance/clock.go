package instance

import "time"

// clock reads the time of day without following one that is set back: a removal would seem to come
// before the start of the process that it concerns.
type clock struct {
	last time.Time
	// latest is the last result of advance.
	latest time.Time
}

// read returns the time of day at now.
func (c *clock) read(now time.Time) time.Time {
	elapsed := time.Duration(0)
	if !c.last.IsZero() {
		elapsed = now.Sub(c.last)
	}
	c.last = now
	return c.advance(now.Round(0), elapsed)
}

// advance returns the time of day, or, if that has been set back, the one before plus the time that has
// elapsed since.
func (c *clock) advance(timeOfDay time.Time, elapsed time.Duration) time.Time {
	c.latest = c.latest.Add(elapsed)
	if timeOfDay.After(c.latest) {
		c.latest = timeOfDay
	}
	return c.latest
}
