// Package hedge computes the delay after which a repeatable request is hedged, that is,
// sent to a second backend server as well: a high percentile of the route's recent
// answer times ("The Tail at Scale", Dean and Barroso, 2013).
//
// Times are counted in a histogram with eight buckets per octave, over the current
// and the previous window, so that the percentile follows the last ten to twenty
// seconds.
//
// # Usage
//
//	h := hedge.New()
//	h.Observe(now, took)
//	if delay, ok := h.Delay(now); ok { }
package hedge

import (
	"math"
	"time"
)

const (
	// Percentile is the share of recent answers that took no longer than the delay.
	Percentile = 0.95
	// MinSamples is the number of recent answers that Delay needs.
	MinSamples = 40
	// Window is the length of each of the two windows.
	Window = 10 * time.Second

	minTracked       = 100 * time.Microsecond
	bucketsPerOctave = 8
	bucketCount      = 20 * bucketsPerOctave
)

type window struct {
	counts [bucketCount]uint32
	total  uint32
}

// Hedge tracks the answer times of one route. It is not safe for concurrent use.
type Hedge struct {
	current, previous window
	currentStart      time.Time
}

// New returns a Hedge that has observed no answers.
func New() *Hedge { return &Hedge{} }

// Observe records the time that an answer took.
func (h *Hedge) Observe(now time.Time, took time.Duration) {
	h.rotate(now)
	h.current.counts[bucket(took)]++
	h.current.total++
}

// Delay returns the time after which the request should be hedged. It reports false
// if there are fewer than MinSamples recent answers.
func (h *Hedge) Delay(now time.Time) (time.Duration, bool) {
	h.rotate(now)
	total := h.current.total + h.previous.total
	if total < MinSamples {
		return 0, false
	}
	rank := uint32(math.Ceil(Percentile * float64(total)))
	seen := uint32(0)
	for i := range bucketCount {
		seen += h.current.counts[i] + h.previous.counts[i]
		if seen >= rank {
			return upperEdge(i), true
		}
	}
	return upperEdge(bucketCount - 1), true
}

// rotate starts a new window when the current one is over. It discards the current window
// if that ended more than one window ago.
func (h *Hedge) rotate(now time.Time) {
	age := now.Sub(h.currentStart)
	switch {
	case age < Window:
		return
	case age < 2*Window:
		h.previous = h.current
	default:
		h.previous = window{}
	}
	h.current, h.currentStart = window{}, now
}

// bucket returns the index of the bucket that counts the given time.
func bucket(took time.Duration) int {
	if took <= minTracked {
		return 0
	}
	octaves := math.Log2(float64(took) / float64(minTracked))
	return min(bucketCount-1, int(octaves*bucketsPerOctave))
}

// upperEdge returns the upper bound of the times in bucket i.
func upperEdge(i int) time.Duration {
	return time.Duration(float64(minTracked) * math.Exp2(float64(i+1)/bucketsPerOctave))
}
