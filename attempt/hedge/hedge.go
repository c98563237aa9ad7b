// Package hedge decides after how long a repeatable request is worth a second
// attempt elsewhere: past a high percentile of the route's recent answer times
// ("The Tail at Scale", Dean and Barroso, 2013).
//
// Times are counted in buckets that grow by an eighth of an octave, in two
// windows that take turns, so that the percentile follows the last ten to twenty
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
	// Percentile is the share of answers that come before the delay.
	Percentile = 0.95
	// MinSamples is the number of answers below which there is no delay.
	MinSamples = 40
	// Window is the length of one of the two windows.
	Window = 10 * time.Second

	smallest   = 100 * time.Microsecond
	perOctave  = 8
	bucketsLen = 20 * perOctave
)

type window struct {
	counts [bucketsLen]uint32
	total  uint32
}

// Hedge tracks the answer times of one route. It is not safe for concurrent use.
type Hedge struct {
	current, last window
	began         time.Time
}

// New returns a tracker without answers.
func New() *Hedge { return &Hedge{} }

// Observe notes the time that an answer took.
func (h *Hedge) Observe(now time.Time, took time.Duration) {
	h.turn(now)
	h.current.counts[bucket(took)]++
	h.current.total++
}

// Delay returns the time after which a second attempt is worth while. It reports
// false while there are too few answers to tell.
func (h *Hedge) Delay(now time.Time) (time.Duration, bool) {
	h.turn(now)
	total := h.current.total + h.last.total
	if total < MinSamples {
		return 0, false
	}
	wanted := uint32(math.Ceil(Percentile * float64(total)))
	seen := uint32(0)
	for i := range bucketsLen {
		seen += h.current.counts[i] + h.last.counts[i]
		if seen >= wanted {
			return upperEdge(i), true
		}
	}
	return upperEdge(bucketsLen - 1), true
}

// turn starts a new window when the current one is over.
func (h *Hedge) turn(now time.Time) {
	age := now.Sub(h.began)
	switch {
	case age < Window:
		return
	case age < 2*Window:
		h.last = h.current
	default:
		h.last = window{}
	}
	h.current, h.began = window{}, now
}

func bucket(took time.Duration) int {
	if took <= smallest {
		return 0
	}
	octaves := math.Log2(float64(took) / float64(smallest))
	return min(bucketsLen-1, int(octaves*perOctave))
}

func upperEdge(i int) time.Duration {
	return time.Duration(float64(smallest) * math.Exp2(float64(i+1)/perOctave))
}
