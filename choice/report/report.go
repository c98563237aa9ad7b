// Package report describes what a guard tells the ingresses about one backend server.
//
// A report is sent with each answer and, when the state of the backend server changes markedly, to all
// ingresses on its own. It contains measurements, not a conclusion: the ingress compares them with those of
// peers.
//
// # Usage
//
//	text, err := r.MarshalText() // 27 characters, fits in a header
//	err = r.UnmarshalText(text)  // errors.Is(err, report.ErrMalformed)
package report

import (
	"time"

	"berylpass/choice/breaker"
	"berylpass/config/class"
)

// Level describes the service times of one class at a backend server.
type Level struct {
	// Time is the geometric mean of the recent service times.
	Time time.Duration
	// Spread is the standard deviation of the natural logarithm of the service times.
	Spread float64
	// Samples is the effective number of service times that Time is based on.
	Samples float64
}

// Report is what a guard has measured at one backend server.
type Report struct {
	// InUse is the number of running requests; Queued is the number of queued ones.
	InUse, Queued int
	// Limit is the number of requests that may currently run concurrently; Slots is the number that may after
	// the ramp.
	Limit, Slots int
	// Levels are the service times by class. A level without samples is unknown.
	Levels [class.Count]Level
	// Errors is the evidence of a raised error share in nats (a cumulative sum of log-likelihood ratios).
	Errors float64
	// Slowness is the evidence, in nats, that service times have risen above the baseline of the backend
	// server.
	Slowness float64
	// StalledFor is how long no request has completed; zero if the backend server is not stalled.
	StalledFor time.Duration
	// Completed is the number of completed requests, which wraps around.
	Completed uint16
	// Breaker is the state of the guard's circuit breaker.
	Breaker breaker.State
	// BreakerScore is the score of the circuit breaker, in nats.
	BreakerScore float64
}

// WithLoad returns a copy of r with the given numbers of running and queued requests.
func (r Report) WithLoad(inUse, queued int) Report {
	r.InUse, r.Queued = inUse, queued
	return r
}

// WithLevel returns a copy of r with the given level of class c.
func (r Report) WithLevel(c class.Class, l Level) Report {
	r.Levels[c] = l
	return r
}
