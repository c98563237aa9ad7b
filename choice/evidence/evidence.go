// Package evidence summarises how requests ended: their service times by class and their errors. A guard keeps an
// Evidence of each backend server; an ingress keeps one of each service, with the times to an answer.
//
// Service times are kept as logarithms, whose mean has a finite variance even for heavy-tailed distributions.
// The level of a class comes from a long window, or from a short one if the two differ significantly. Slowness
// and errors are cumulative sums of log-likelihood ratios, in nats (E. S. Page, Continuous Inspection Schemes,
// 1954), which detect a change with the fewest samples.
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
	// shortSpan, longSpan and baselineSpan are the time constants of the windows.
	shortSpan    = time.Second
	longSpan     = 20 * time.Second
	baselineSpan = time.Minute
	// shortSamples is the least effective number of samples for a short window to be used.
	shortSamples = 3
	// baselineSamples is the least effective number of samples for a baseline window to be used.
	baselineSamples = 20
	// changeSigmas is the number of standard errors by which the mean of the short window must differ from that
	// of the long one to replace it.
	changeSigmas = 3
	// clampRange is how far, in nats, a service time may lie from the mean; others are clamped.
	clampRange = 2.5
	// longRunningFactor is the multiple of the level from which a running request counts as a sample.
	longRunningFactor = 4
	// minSpread is the lower bound on the spread of service times, in nats.
	minSpread = 0.3
	// slownessRisen is the evidence of slowness, in nats, from which service times count as changed; below
	// slownessFallen they count as back at the baseline.
	slownessRisen, slownessFallen = 8, 1
	// maxRunningEvidence is the upper bound, in nats, on the evidence from running requests, because long ones
	// are over-represented among those that run at any given time.
	maxRunningEvidence = 5
	// maxSlownessStep is the upper bound, in nats, on the evidence from one service time.
	maxSlownessStep = 3

	// baselineErrorShare and raisedErrorShare are the error shares that the evidence of errors distinguishes.
	baselineErrorShare = 0.01
	raisedErrorShare   = 0.2

	// MaxErrors is the upper bound on the evidence of errors in nats. It lets the evidence fall again soon.
	MaxErrors = 13.5
	// MaxSlowness is the upper bound on the evidence of slowness in nats. It lets the evidence fall again soon.
	MaxSlowness = 20
)

var (
	// errorStep and successStep are the log-likelihood ratios of one failed and one successful request.
	errorStep   = math.Log(raisedErrorShare / baselineErrorShare)
	successStep = math.Log((1 - raisedErrorShare) / (1 - baselineErrorShare))
	// slowShift is the rise of the logarithm of service times that the evidence of slowness is designed to detect.
	slowShift = math.Log(4)
)

// Evidence summarises the completed requests of one backend server or of one service. It is not safe for
// concurrent use.
type Evidence struct {
	short, long, baseline [class.Count]window.Window
	errors, slowness      float64
	// raised reports whether slowness has reached slownessRisen and not fallen below slownessFallen since.
	raised    bool
	completed uint16
}

// New returns an Evidence without samples.
func New() *Evidence {
	e := &Evidence{}
	for c := range e.short {
		e.short[c] = window.New(shortSpan)
		e.long[c] = window.New(longSpan)
		e.baseline[c] = window.New(baselineSpan)
	}
	return e
}

// Completed records the result of one request. Only a success or a timeout gives a service time, and a cancelled
// request if it had run for much longer than usual; a cancelled request doesn't count as completed. A request that
// was shed is ignored.
func (e *Evidence) Completed(now time.Time, c class.Class, took time.Duration, v verdict.Verdict) {
	if c >= class.Count || v == verdict.Shed {
		return
	}
	if v == verdict.Cancelled {
		if e.LongRunning(now, c, took) {
			e.addTime(now, c, took)
		}
		return
	}
	e.completed++
	if v.Faulty() {
		e.errors = min(e.errors+errorStep, MaxErrors)
	} else {
		e.errors = max(e.errors+successStep, 0)
	}
	if v == verdict.OK || v == verdict.Timeout {
		e.addTime(now, c, took)
	}
}

// LongRunning reports whether the age of a request of class c is much longer than the usual service time.
func (e *Evidence) LongRunning(now time.Time, c class.Class, age time.Duration) bool {
	l := e.Level(now, c, nil)
	return l.Samples > 0 && age > longRunningFactor*l.Time
}

// Level returns the service time level of class c. Ages are those of its running requests: the ones that have
// run for much longer than usual count as samples.
func (e *Evidence) Level(now time.Time, c class.Class, ages []time.Duration) report.Level {
	short, long := e.short[c], e.long[c]
	if long.Samples(now) == 0 {
		return report.Level{}
	}
	longMean := long.Mean()
	for _, age := range ages {
		if x := LogTime(age); x > longMean+math.Log(longRunningFactor) {
			x = min(x, longMean+clampRange)
			short.Add(now, x)
			long.Add(now, x)
		}
	}
	w := long
	spread := e.spread(now, c)
	n := short.Samples(now)
	if n >= shortSamples && math.Abs(short.Mean()-longMean) >= changeSigmas*spread/math.Sqrt(n) {
		w = short
	}
	return report.Level{Time: fromLog(w.Mean()), Spread: spread, Samples: w.Samples(now)}
}

// spread returns the baseline spread of the service times of class c.
func (e *Evidence) spread(now time.Time, c class.Class) float64 {
	base := e.baseline[c]
	if base.Samples(now) < baselineSamples {
		base = e.long[c]
	}
	return max(base.Spread(), minSpread)
}

// Errors returns the evidence of a raised error share in nats, from 0 to MaxErrors.
func (e *Evidence) Errors() float64 { return e.errors }

// Slowness returns the evidence, in nats from 0 to MaxSlowness, that service times have risen above the
// baseline of this backend server. Ages are those of its running requests by class.
func (e *Evidence) Slowness(now time.Time, ages [class.Count][]time.Duration) float64 {
	running := 0.0
	for c := range ages {
		for _, age := range ages[c] {
			running += max(e.slownessStep(now, class.Class(c), LogTime(age)), 0)
		}
	}
	return min(e.slowness+min(running, maxRunningEvidence), MaxSlowness)
}

// CompletedCount returns the number of completed requests, which wraps around.
func (e *Evidence) CompletedCount() uint16 { return e.completed }

// addTime records a service time.
func (e *Evidence) addTime(now time.Time, c class.Class, took time.Duration) {
	x := LogTime(took)
	if base := &e.baseline[c]; base.Samples(now) >= baselineSamples {
		x = min(max(x, base.Mean()-clampRange), base.Mean()+clampRange)
	}
	e.slowness = min(max(e.slowness+e.slownessStep(now, c, x), 0), MaxSlowness)
	e.short[c].Add(now, x)
	e.long[c].Add(now, x)
	e.baseline[c].Add(now, x)
	if !e.raised && e.slowness >= slownessRisen || e.raised && e.slowness < slownessFallen {
		e.raised = !e.raised
		e.dropHistory()
	}
}

// dropHistory removes from the long windows the samples from before a change.
func (e *Evidence) dropHistory() {
	for c := range e.long {
		e.long[c] = e.short[c].WithSpan(longSpan)
	}
}

// slownessStep returns the clamped log-likelihood ratio, of slow to baseline, of one service time with the
// logarithm x; zero while the baseline is not known.
func (e *Evidence) slownessStep(now time.Time, c class.Class, x float64) float64 {
	base := &e.baseline[c]
	if base.Samples(now) < baselineSamples {
		return 0
	}
	spread := max(base.Spread(), minSpread)
	ratio := slowShift / (spread * spread) * (x - base.Mean() - slowShift/2)
	return min(max(ratio, -maxSlownessStep), maxSlownessStep)
}

// LogTime returns the natural logarithm of d in microseconds, and 0 for shorter times than one microsecond.
func LogTime(d time.Duration) float64 {
	return math.Log(max(float64(d)/float64(time.Microsecond), 1))
}

// fromLog is the inverse of LogTime.
func fromLog(x float64) time.Duration {
	return time.Duration(math.Exp(x) * float64(time.Microsecond))
}
