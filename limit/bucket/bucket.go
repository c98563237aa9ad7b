// Package bucket provides a token bucket that counts tokens in use elsewhere
// against its capacity.
//
// A bucket holds a level and knows how many tokens are outstanding: lent, or
// drawn and not yet known to have run. It refills only while level plus
// outstanding is below the capacity. A token leaves outstanding no earlier than
// the run that it allowed, so the runs themselves, not the draws, stay within
// capacity + rate*t in any window of t, without any part of the burst held back.
//
// # Usage
//
//	b := bucket.New(now, rate, capacity)
//	b.Refill(now, outstanding)
//	if b.Take(1) { ... }
package bucket

import (
	"math"
	"time"

	"berylpass/limit/term"
)

// precision absorbs rounding: a level this close below a whole token counts as whole.
const precision = 1e-9

// Bucket is a token bucket. The zero value holds nothing and never refills.
type Bucket struct {
	// Level is the number of tokens that can be taken at the time of the last Refill.
	Level float64
	// Rate is the refill in tokens per second.
	Rate float64
	// Capacity bounds level plus outstanding, in tokens.
	Capacity float64

	at time.Time
}

// New returns an empty bucket that refills from now on.
func New(now time.Time, rate, capacity float64) Bucket {
	return Bucket{Rate: rate, Capacity: capacity, at: now}
}

// Refill adds what has accrued since the last Refill, with outstanding tokens in
// use elsewhere over that whole time. The rate is lowered by the clock's possible error.
func (b *Bucket) Refill(now time.Time, outstanding float64) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.at = now
	room := b.Capacity - outstanding - b.Level
	if room <= 0 {
		return
	}
	b.Level += min(room, elapsed*b.Rate*(1-term.Drift))
}

// Set changes rate and capacity; a level that no longer fits beside the outstanding tokens is cut.
// Call Refill first.
func (b *Bucket) Set(rate, capacity, outstanding float64) {
	b.Rate, b.Capacity = rate, capacity
	b.Level = max(0, min(b.Level, capacity-outstanding))
}

// Take removes n tokens if the bucket has them.
func (b *Bucket) Take(n float64) bool {
	if b.Level < n-precision {
		return false
	}
	b.Level = max(0, b.Level-n)
	return true
}

// Whole returns the number of whole tokens in the bucket.
func (b *Bucket) Whole() int { return int(math.Floor(b.Level + precision)) }

// Next returns the time until one whole token is in the bucket, at most limit.
func (b *Bucket) Next(limit time.Duration) time.Duration {
	missing := 1 - b.Level
	if missing <= precision {
		return 0
	}
	if b.Rate*limit.Seconds() <= missing {
		return limit
	}
	return time.Duration(missing/(b.Rate*(1-term.Drift))*float64(time.Second)) + time.Microsecond
}

// Skip lets the time up to now pass without refill.
func (b *Bucket) Skip(now time.Time) { b.at = now }
