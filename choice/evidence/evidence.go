// Package evidence collects what a guard sees of one backend server: its
// service times by class and its errors.
//
// Service times are kept as logarithms, whose mean has a finite variance under
// heavy-tailed distributions too. A short window follows sudden change; a long
// one serves classes with little traffic. Errors feed a cumulative sum of
// log-likelihood ratios (E. S. Page, Continuous Inspection Schemes, 1954).
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
	// shortSpan and longSpan are the time constants of the two windows.
	shortSpan = 2 * time.Second
	longSpan  = 20 * time.Second
	// enoughSamples is the effective number of samples from which the short window is used.
	enoughSamples = 8
	// clampRange bounds how far, in nats, one service time may lie from the long-term mean.
	clampRange = 2.5
	// agedFactor is the multiple of the level from which a running request counts as a sample.
	agedFactor = 4

	// usualErrors and raisedErrors are the error shares between which the errors decide.
	usualErrors  = 0.01
	raisedErrors = 0.2
	// MaxErrors bounds the evidence of errors in nats, so that it can fall again.
	MaxErrors = 30
)

var (
	// errorGain and successLoss are the log-likelihood ratios of one result.
	errorGain   = math.Log(raisedErrors / usualErrors)
	successLoss = math.Log((1 - raisedErrors) / (1 - usualErrors))
)

// Evidence is what a guard has seen of one backend server.
type Evidence struct {
	short, long [class.Count]window.Window
	errors      float64
	completed   uint16
}

// New returns evidence without samples.
func New() *Evidence {
	e := &Evidence{}
	for c := range e.short {
		e.short[c] = window.New(shortSpan)
		e.long[c] = window.New(longSpan)
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
		e.cancelled(now, c, took)
		return
	}
	e.completed++
	if v.Faulty() {
		e.errors = min(e.errors+errorGain, MaxErrors)
	} else {
		e.errors = max(e.errors+successLoss, 0)
	}
	if v == verdict.Error || v == verdict.Reset {
		return
	}
	x := e.clamp(now, c, LogTime(took))
	e.short[c].Add(now, x)
	e.long[c].Add(now, x)
}

// cancelled takes a request that was given up before it completed.
func (e *Evidence) cancelled(now time.Time, c class.Class, took time.Duration) {
	if !e.Aged(now, c, took) {
		return
	}
	x := e.clamp(now, c, LogTime(took))
	e.short[c].Add(now, x)
	e.long[c].Add(now, x)
}

// Aged reports whether a request that has run for that long has run for much longer than usual.
func (e *Evidence) Aged(now time.Time, c class.Class, age time.Duration) bool {
	l := e.Level(now, c, nil)
	return l.Samples > 0 && age > agedFactor*l.Time
}

// Level returns the service time of class c. Ages are those of its running
// requests: the ones that have run for much longer than usual count as samples.
func (e *Evidence) Level(now time.Time, c class.Class, ages []time.Duration) report.Level {
	w := e.short[c]
	if w.Samples(now) < enoughSamples {
		w = e.long[c]
	}
	if w.Samples(now) == 0 {
		return report.Level{}
	}
	usual := w.Mean()
	for _, age := range ages {
		if x := LogTime(age); x > usual+math.Log(agedFactor) {
			w.Add(now, min(x, usual+clampRange))
		}
	}
	return report.Level{Time: fromLog(w.Mean()), Spread: w.Spread(), Samples: w.Samples(now)}
}

// Errors returns the evidence of a raised error share in nats, from 0 to MaxErrors.
func (e *Evidence) Errors() float64 { return e.errors }

// Count returns the number of completed requests; it wraps around.
func (e *Evidence) Count() uint16 { return e.completed }

// clamp bounds x to the range around the long-term mean.
func (e *Evidence) clamp(now time.Time, c class.Class, x float64) float64 {
	w := &e.long[c]
	if w.Samples(now) < enoughSamples {
		return x
	}
	m := w.Mean()
	return min(max(x, m-clampRange), m+clampRange)
}

// LogTime returns the natural logarithm of d in microseconds.
func LogTime(d time.Duration) float64 {
	return math.Log(max(float64(d)/float64(time.Microsecond), 1))
}

// fromLog is the inverse of logTime.
func fromLog(x float64) time.Duration {
	return time.Duration(math.Exp(x) * float64(time.Microsecond))
}
