// Package evidence collects what a guard sees of one backend server: its
// service times by class and its errors.
//
// Service times are kept as logarithms, whose mean has a finite variance under
// heavy-tailed distributions too. A long window gives a steady level; a short
// one takes its place when the two differ significantly. Slowness and errors
// each feed a cumulative sum of log-likelihood ratios (E. S. Page, Continuous
// Inspection Schemes, 1954), which needs the fewest samples after a change.
//
// # Usage
//
//	e := evidence.New()
//	e.Completed(now, class.Transfer, took, verdict.OK)
//	level := e.Level(now, class.Transfer, ages)
package evidence

import (
	"math"
	"time"

	"berylpass/choice/report"
	"berylpass/choice/verdict"
	"berylpass/choice/window"
	"berylpass/config/class"
)

const (
	// shortSpan, longSpan and usualSpan are the time constants of the windows.
	shortSpan = time.Second
	longSpan  = 20 * time.Second
	usualSpan = time.Minute
	// shortSamples is the least number of effective samples of a short window.
	shortSamples = 3
	// usualSamples is the effective number of samples from which usual service times are known.
	usualSamples = 20
	// changeSigmas is the number of standard errors by which the short window
	// differs from the long one when it takes its place.
	changeSigmas = 3
	// clampRange bounds how far, in nats, one service time may lie from the usual.
	clampRange = 2.5
	// agedFactor is the multiple of the level from which a running request counts as a sample.
	agedFactor = 4
	// minSpread is the least spread that service times are credited with.
	minSpread = 0.3
	// risen and fallen are the evidence of slowness, in nats, from which service
	// times count as changed and as back to what was usual.
	risen, fallen = 8, 1
	// maxSlownessStep bounds the evidence, in nats, of one service time.
	maxSlownessStep = 3

	// usualErrors and raisedErrors are the error shares between which the errors decide.
	usualErrors  = 0.01
	raisedErrors = 0.2

	// MaxErrors bounds the evidence of errors in nats, so that it can fall again.
	MaxErrors = 13.5
	// MaxSlowness bounds the evidence of slowness in nats, so that it can fall again.
	MaxSlowness = 20
)

var (
	// errorGain and successLoss are the log-likelihood ratios of one result.
	errorGain   = math.Log(raisedErrors / usualErrors)
	successLoss = math.Log((1 - raisedErrors) / (1 - usualErrors))
	// slowShift is the rise of service times, as a logarithm, that slowness looks for.
	slowShift = math.Log(4)
)

// Evidence is what a guard has seen of one backend server.
type Evidence struct {
	short, long, usual [class.Count]window.Window
	errors, slowness   float64
	changed            bool
	completed          uint16
}

// New returns evidence without samples.
func New() *Evidence {
	e := &Evidence{}
	for c := range e.short {
		e.short[c] = window.New(shortSpan)
		e.long[c] = window.New(longSpan)
		e.usual[c] = window.New(usualSpan)
	}
	return e
}

// Completed takes the result of one request. A request that was cancelled counts
// as a service time if it had run for much longer than usual; one that was shed says nothing.
func (e *Evidence) Completed(now time.Time, c class.Class, took time.Duration, v verdict.Verdict) {
	if c >= class.Count || v == verdict.Shed {
		return
	}
	if v == verdict.Cancelled {
		if e.Aged(now, c, took) {
			e.add(now, c, took)
		}
		return
	}
	e.completed++
	if v.Faulty() {
		e.errors = min(e.errors+errorGain, MaxErrors)
	} else {
		e.errors = max(e.errors+successLoss, 0)
	}
	if v == verdict.OK || v == verdict.Timeout {
		e.add(now, c, took)
	}
}

// Aged reports whether a request that has run for that long has run for much longer than usual.
func (e *Evidence) Aged(now time.Time, c class.Class, age time.Duration) bool {
	l := e.Level(now, c, nil)
	return l.Samples > 0 && age > agedFactor*l.Time
}

// Level returns the service time of class c. Ages are those of its running
// requests: the ones that have run for much longer than usual count as samples.
func (e *Evidence) Level(now time.Time, c class.Class, ages []time.Duration) report.Level {
	short, long := e.short[c], e.long[c]
	if long.Samples(now) == 0 {
		return report.Level{}
	}
	usual := long.Mean()
	for _, age := range ages {
		if x := LogTime(age); x > usual+math.Log(agedFactor) {
			x = min(x, usual+clampRange)
			short.Add(now, x)
			long.Add(now, x)
		}
	}
	w := long
	spread := e.spread(now, c)
	n := short.Samples(now)
	if n >= shortSamples && math.Abs(short.Mean()-usual) >= changeSigmas*spread/math.Sqrt(n) {
		w = short
	}
	return report.Level{Time: fromLog(w.Mean()), Spread: spread, Samples: w.Samples(now)}
}

// spread returns the usual spread of the service times of class c.
func (e *Evidence) spread(now time.Time, c class.Class) float64 {
	u := e.usual[c]
	if u.Samples(now) < usualSamples {
		u = e.long[c]
	}
	return max(u.Spread(), minSpread)
}

// Errors returns the evidence of a raised error share in nats, from 0 to MaxErrors.
func (e *Evidence) Errors() float64 { return e.errors }

// Slowness returns the evidence, in nats from 0 to MaxSlowness, that service times rose
// above what was usual for this backend server. Ages are those of its running requests by class.
func (e *Evidence) Slowness(now time.Time, ages [class.Count][]time.Duration) float64 {
	sum := e.slowness
	for c := range ages {
		for _, age := range ages[c] {
			sum += max(e.step(now, class.Class(c), LogTime(age)), 0)
		}
	}
	return min(sum, MaxSlowness)
}

// Count returns the number of completed requests; it wraps around.
func (e *Evidence) Count() uint16 { return e.completed }

// add takes a service time.
func (e *Evidence) add(now time.Time, c class.Class, took time.Duration) {
	x := LogTime(took)
	if u := &e.usual[c]; u.Samples(now) >= usualSamples {
		x = min(max(x, u.Mean()-clampRange), u.Mean()+clampRange)
	}
	e.slowness = min(max(e.slowness+e.step(now, c, x), 0), MaxSlowness)
	e.short[c].Add(now, x)
	e.long[c].Add(now, x)
	e.usual[c].Add(now, x)
	if !e.changed && e.slowness >= risen || e.changed && e.slowness < fallen {
		e.changed = !e.changed
		e.forget()
	}
}

// forget drops from the long windows what lies before a change.
func (e *Evidence) forget() {
	for c := range e.long {
		e.long[c] = e.short[c].WithSpan(longSpan)
	}
}

// step returns the log-likelihood ratio of one service time x, a logarithm.
func (e *Evidence) step(now time.Time, c class.Class, x float64) float64 {
	u := &e.usual[c]
	if u.Samples(now) < usualSamples {
		return 0
	}
	spread := max(u.Spread(), minSpread)
	ratio := slowShift / (spread * spread) * (x - u.Mean() - slowShift/2)
	return min(max(ratio, -maxSlownessStep), maxSlownessStep)
}

// LogTime returns the natural logarithm of d in microseconds.
func LogTime(d time.Duration) float64 {
	return math.Log(max(float64(d)/float64(time.Microsecond), 1))
}

// fromLog is the inverse of LogTime.
func fromLog(x float64) time.Duration {
	return time.Duration(math.Exp(x) * float64(time.Microsecond))
}
