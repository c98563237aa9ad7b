package limiter_test

import (
	"math"
	"time"

	"berylpass/limit/limiter"
)

// scaled is a change of the largest configured scale of the limits in force at any node.
type scaled struct {
	at    time.Duration
	scale float64
}

// changeTail is how long what was lent under an earlier configuration may be used.
const changeTail = 4100 * time.Millisecond

// configure puts all limits times scale in force at one node.
func (f *fleet) configure(n *node, scale float64) {
	n.scale = scale
	n.limits = map[string]limit{}
	for name, l := range f.limits {
		n.limits[name] = l.times(scale)
	}
	f.noteScale()
	if !n.down {
		f.feed(n, limiter.Configured{Limits: n.limitsOf()})
	}
}

// noteScale records the largest scale in force at any node.
func (f *fleet) noteScale() {
	largest := 0.0
	for _, n := range f.nodes {
		largest = max(largest, n.scale)
	}
	f.scales = append(f.scales, scaled{at: f.now, scale: largest})
}

func (l limit) times(scale float64) limit {
	return limit{rate: l.rate * scale, burst: int(math.Ceil(float64(l.burst) * scale))}
}

// scaleAt returns the largest scale in force at t or up to the tail before it, and until
// when that surely holds.
func (f *fleet) scaleAt(t time.Duration) (float64, time.Duration) {
	scale, until := 0.0, time.Duration(math.MaxInt64)
	for i, s := range f.scales {
		end := time.Duration(math.MaxInt64)
		if i+1 < len(f.scales) {
			end = f.scales[i+1].at + changeTail
		}
		if s.at <= t && t < end {
			scale = max(scale, s.scale)
			until = min(until, end)
		}
		if s.at > t {
			until = min(until, s.at)
		}
	}
	return scale, until
}

// excess returns by how many runs the worst window exceeds burst + rate*t, with the largest
// limit in force at each time.
func (f *fleet) excess(name string) float64 {
	level, worst, last := math.Inf(1), 0.0, time.Duration(0)
	for _, at := range f.runs[name] {
		for last <= at {
			scale, until := f.scaleAt(last)
			l, end := f.limits[name].times(scale), min(until, at)
			level = min(float64(l.burst), level+l.rate*(end-last).Seconds())
			last = end
			if until > at {
				break
			}
		}
		level--
		worst = max(worst, -level)
	}
	return worst
}
