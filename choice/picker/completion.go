package picker

import (
	"math"
	"time"

	"berylpass/config/class"
)

const (
	// crowding is the weight of the load of a backend server that has a free slot, beside its expected time: a loaded one
	// is more likely to have filled up since its last report, and some slow down when nearly full.
	crowding = 0.5
	// minSlowness and maxSlowness bound the measured time of a backend server relative to its peers: beyond these, it is
	// ejected as slow or has too few samples.
	minSlowness, maxSlowness = 1.0 / 3, 3
)

// WithExpectedCompletion returns an Option that places requests by when they are expected to be completed instead of by
// load alone: by the time that the backend server takes for their class, relative to its peers, and by what waits there. A
// request that was refused where it was expected to run at once, because no slot was free any more, then goes to the better of two
// random backend servers instead of the next one in a fixed order, which many other ingresses try as well.
func WithExpectedCompletion() Option { return func(p *Picker) { p.byCompletion = true } }

// effort returns what a request of class c at s is expected to cost its caller, in units of the usual service time if
// byCompletion is set, else the penalizedLoad.
func (p *Picker) effort(now time.Time, s *server, c class.Class) float64 {
	if !p.byCompletion {
		return s.penalizedLoad(now)
	}
	load := s.load(now)
	expected := s.relativeTime(now, c)*(1+max(0, load-1)) + crowding*min(load, 1)
	if s.tripped() {
		expected += trippedPenalty
	}
	return expected
}

// relativeTime returns the service time of s for class c as a multiple of the median of its peers; 1 if it is unknown.
func (s *server) relativeTime(now time.Time, c class.Class) float64 {
	level := s.report.Levels[c]
	usual := s.group.usualTimes[c]
	if usual == 0 || level.Samples < minSamples || !s.fresh(now) {
		return 1
	}
	return min(max(float64(level.Time)/usual, minSlowness), maxSlowness)
}

// medianTimes returns the median service time by class in nanoseconds, 0 where it is unknown.
func (l peerLevels) medianTimes() [class.Count]float64 {
	var times [class.Count]float64
	for c, levels := range l.levels {
		if len(levels) > 0 {
			times[c] = math.Exp(median(levels))
		}
	}
	return times
}
