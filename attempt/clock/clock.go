// Package clock computes a lower bound of a guard's clock without synchronised
// clocks.
//
// A guard's clock counts the time since the guard started, and each of the guard's
// answers and heartbeats carries a reading of it. Between readings it advances at
// least as fast as the local clock less MaxDrift. An ingress computes the deadline
// of an attempt on the guard's clock from this lower bound, so that the guard starts
// to refuse the attempt no later than the ingress intends.
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

// MaxDrift is the fraction by which the rates of two clocks may differ. Time
// synchronisation changes a clock's rate by up to 0.0005.
const MaxDrift = 0.002

// resolution is how much the rounding of a reading may add or remove.
const resolution = time.Nanosecond

// Clock is the lower bound of one guard's clock. The zero value has no reading.
type Clock struct {
	incarnation uint64
	reading     time.Duration
	receivedAt  time.Time
}

// WithReading returns a copy of c that takes a reading into account, which was received
// at the given local time. Readings of an earlier incarnation, and readings that would
// not raise the bound, change nothing.
func (c Clock) WithReading(incarnation uint64, reading time.Duration, receivedAt time.Time) Clock {
	known := !c.receivedAt.IsZero()
	if known && incarnation < c.incarnation {
		return c
	}
	if known && incarnation == c.incarnation && reading <= c.lowerBound(receivedAt) {
		return c
	}
	return Clock{incarnation: incarnation, reading: reading, receivedAt: receivedAt}
}

// Deadline returns the guard's incarnation and a deadline on its clock, as a duration
// since the guard's start. The guard's clock reaches the deadline by the time that the
// given time left has passed, apart from the drift during that time. Deadline reports
// false while there is no reading.
func (c Clock) Deadline(now time.Time, left time.Duration) (incarnation uint64, deadline time.Duration, ok bool) {
	if c.receivedAt.IsZero() {
		return 0, 0, false
	}
	return c.incarnation, c.lowerBound(now) + left, true
}

// lowerBound returns the least reading that the guard's clock can show at the local time now.
func (c Clock) lowerBound(now time.Time) time.Duration {
	elapsed := max(0, now.Sub(c.receivedAt))
	drift := time.Duration(math.Ceil(float64(elapsed) * MaxDrift))
	return c.reading + elapsed - drift - resolution
}
