// Package breaker implements the circuit breaker with which a guard stops sending requests to a failing backend
// server, and admits trial requests until it has recovered.
//
// It is designed for backend servers that fail most of their requests for some seconds while their health
// checks pass, among others that fail one request in a hundred. The guard sees every answer of its backend
// server, so the first failed answer is already evidence of such an episode; waiting for more would cost one
// caller's request each. A false alarm costs little, because repeatable requests serve as trials and their
// failures are hidden by a retry.
//
// The score is the logarithm of the likelihood ratio of failing to healthy, kept between bounds (a cumulative
// sum, E. S. Page, Continuous Inspection Schemes, 1954).
//
// # Usage
//
//	b := breaker.New()
//	if !b.Admits(now, repeatable) { refuse() }
//	b.Started(now)
//	b.Completed(now, started, verdict.Error)
//	b.State(now)
package breaker

import (
	"math"
	"time"

	"berylpass/choice/verdict"
)

// State tells which requests a backend server gets.
type State uint8

// The states.
const (
	// Closed means that all requests are admitted.
	Closed State = iota
	// Open means that no requests are admitted.
	Open
	// HalfOpen means that a few repeatable requests, called trials, are admitted.
	HalfOpen
)

const (
	// healthyErrors and failingErrors are the error shares of healthy and failing backend servers that the
	// score compares.
	healthyErrors = 0.02
	failingErrors = 0.5
	// openScore, in nats, is the score from which the breaker opens, closeScore the one down to which it must
	// fall to close, and maxScore the upper bound.
	openScore  = 3
	closeScore = 1.9
	maxScore   = 3.9
	// initialPause is the time without any requests after the breaker opened. The pause doubles with each
	// failed trial up to maxPause: a failed trial uses up a retry, of which there are few, but a recovery must
	// be noticed within about a second.
	initialPause = 300 * time.Millisecond
	maxPause     = time.Second
	// maxTrials is the maximum number of concurrent trials.
	maxTrials = 2
	// anyTrialAfter is the time without trials after which any request may serve as one.
	anyTrialAfter = 1500 * time.Millisecond
)

var (
	// errorWeight and successWeight are the log-likelihood ratios of one failed and one successful request.
	errorWeight   = math.Log(failingErrors / healthyErrors)
	successWeight = math.Log((1 - failingErrors) / (1 - healthyErrors))
	// shedWeight is less than errorWeight because a backend server may shed to protect its callers. It is above
	// zero because a backend server has no need to shed: the guard keeps it within its slots.
	shedWeight = errorWeight / 2
)

// Breaker is the circuit breaker of one backend server. It is not safe for concurrent use.
type Breaker struct {
	score float64
	// tripped reports whether the state is Open or HalfOpen; changedAt is when tripped last changed.
	tripped   bool
	changedAt time.Time
	// pause is the length of the current pause; pausedUntil is its end.
	pause       time.Duration
	pausedUntil time.Time
	// trials is the number of running requests that started since the breaker opened.
	trials    int
	lastTrial time.Time
}

// New returns a closed Breaker.
func New() *Breaker { return &Breaker{} }

// State returns the state at the time now.
func (b *Breaker) State(now time.Time) State {
	switch {
	case !b.tripped:
		return Closed
	case now.Before(b.pausedUntil):
		return Open
	}
	return HalfOpen
}

// Score returns the evidence that the backend server fails, in nats, from 0 to maxScore.
func (b *Breaker) Score() float64 { return b.score }

// Admits reports whether one more request may start. Repeatable tells whether the request may run more than
// once.
func (b *Breaker) Admits(now time.Time, repeatable bool) bool {
	switch b.State(now) {
	case Closed:
		return true
	case Open:
		return false
	}
	anyTrialDue := now.Sub(b.lastTrial) >= anyTrialAfter && now.Sub(b.changedAt) >= anyTrialAfter
	return b.trials < maxTrials && repeatable || b.trials == 0 && anyTrialDue
}

// Started records the start of a request.
func (b *Breaker) Started(now time.Time) {
	if b.tripped {
		b.trials++
		b.lastTrial = now
	}
}

// Completed records the end of a request that began at started. A success ends the pause, so that the next trial may
// start at once. A failure of a request that began before the breaker opened is no failed trial: it says nothing
// about a recovery.
func (b *Breaker) Completed(now, started time.Time, v verdict.Verdict) {
	trial := b.tripped && !started.Before(b.changedAt) && b.trials > 0
	if trial {
		b.trials--
	}
	failedTrial := trial
	switch v {
	case verdict.OK:
		b.score = max(b.score+successWeight, 0)
		b.pausedUntil = now
		failedTrial = false
	case verdict.Error, verdict.Reset, verdict.Timeout:
		b.score = min(b.score+errorWeight, maxScore)
	case verdict.Shed:
		b.score = min(b.score+shedWeight, maxScore)
	default:
		return
	}
	switch {
	case !b.tripped && b.score >= openScore:
		b.tripped, b.changedAt, b.trials = true, now, 0
		b.pause, b.pausedUntil = initialPause, now.Add(initialPause)
	case failedTrial:
		b.pause = min(2*b.pause, maxPause)
		b.pausedUntil = now.Add(b.pause)
	case b.tripped && b.score <= closeScore:
		b.tripped, b.changedAt = false, now
	}
}
