// Package clock bounds from below what a guard's clock shows, without
// synchronised clocks.
//
// A guard's clock counts the time since the guard started, and each of its
// answers and heartbeats carries a reading. Between readings it advances at
// least as fast as the local clock less MaxDrift. An ingress gives each attempt
// a deadline on the guard's clock, counted from this bound, so that the guard
// refuses the attempt no later than the ingress means it to.
//
// # Usage
//
//	c = c.WithReading(incarnation, reading, receivedAt)
//	incarnation, deadline, ok := c.Deadline(now, left)
package clock

import (
	"math"
	"time"
)

// MaxDrift is the share by which two clocks may differ in rate. Time
// synchronisation steers a clock by up to 0.0005.
const MaxDrift = 0.002

// resolution is how much of a reading may be lost to rounding.
const resolution = time.Nanosecond

// Clock is the estimate of one guard's clock. The zero value knows nothing.
type Clock struct {
	incarnation uint64
	reading     time.Duration
	receivedAt  time.Time
}

// WithReading returns a copy that takes a reading into account which was
// received at the given time. Readings of earlier incarnations, and such as give
// a lower bound, change nothing.
func (c Clock) WithReading(incarnation uint64, reading time.Duration, receivedAt time.Time) Clock {
	known := !c.receivedAt.IsZero()
	if known && incarnation < c.incarnation {
		return c
	}
	if known && incarnation == c.incarnation && reading <= c.at(receivedAt) {
		return c
	}
	return Clock{incarnation: incarnation, reading: reading, receivedAt: receivedAt}
}

// Deadline returns the guard's incarnation and the time on its clock, as a
// duration since its start, by which the given time left has passed at the
// latest. It reports false while there is no reading.
func (c Clock) Deadline(now time.Time, left time.Duration) (incarnation uint64, deadline time.Duration, ok bool) {
	if c.receivedAt.IsZero() {
		return 0, 0, false
	}
	return c.incarnation, c.at(now) + left, true
}

func (c Clock) at(now time.Time) time.Duration {
	elapsed := max(0, now.Sub(c.receivedAt))
	drift := time.Duration(math.Ceil(float64(elapsed) * MaxDrift))
	return c.reading + elapsed - drift - resolution
}
