// Package limiter bounds how many requests run at once on one backend server.
//
// A freshly started backend server gets one request at a time, and all its slots
// after the ramp. The limit is cut on signs that a warm backend server bears
// less than its slots: it sheds, it resets connections, or its service times jump
// above their own history. After a cut for service times the limiter checks
// whether less load made them shorter; if it did not, the cut was no help and the
// new service times are taken as usual.
//
// # Usage
//
//	l := limiter.New(now, 4, 10*time.Second)
//	if running < l.Allowed(now) { run() }
//	l.Completed(now, class.Transfer, started, verdict.OK, running)
package limiter

import (
	"math"
	"time"

	"berylpass/choice/evidence"
	"berylpass/choice/verdict"
	"berylpass/choice/window"
	"berylpass/config/class"
)

const (
	// refusalCut and jumpCut are the shares of the limit that are left by a cut
	// after a refusal and after a jump of the service times.
	refusalCut = 0.5
	jumpCut    = 0.7
	// cutInterval is the least time between two cuts.
	cutInterval = 250 * time.Millisecond
	// usualSpan is the time constant of the usual service time.
	usualSpan = time.Minute
	// excessSpan is the time constant of the excess over the usual service time.
	excessSpan = time.Second
	// usualSamples and excessSamples are the effective samples that make these two count.
	usualSamples  = 20
	excessSamples = 8
	// jumpSigmas is the number of standard errors that a jump exceeds.
	jumpSigmas = 5
	// minSpread is the least spread of service times, in nats.
	minSpread = 0.3
	// helped is the fall of the excess, in nats, by which a cut proves useful.
	helped = 0.35
	// patience is the longest wait for the samples that tell whether a cut helped.
	patience = 3 * time.Second
	// futileGrowth is the multiple of the ramp's growth after a cut that did not help.
	futileGrowth = 8
)

// jump is the excess, in nats, that counts as a jump: three times the usual service time.
var jump = math.Log(3)

// Limiter is the limit of one incarnation of a backend server.
type Limiter struct {
	slots int
	ramp  time.Duration
	// started is when the backend server started.
	started time.Time
	// limit is the adaptive limit; the ramp bounds it too.
	limit float64
	at    time.Time
	// cutAt is the last cut; excessAtCut is the excess that caused it, zero for other causes.
	cutAt       time.Time
	excessAtCut float64
	waiting     bool
	growth      float64
	usual       [class.Count]window.Window
	excess      window.Window
}

// New returns the limiter of a backend server that started at the time now.
func New(now time.Time, slots int, ramp time.Duration) *Limiter {
	slots = max(slots, 1)
	l := &Limiter{slots: slots, ramp: ramp, started: now, limit: float64(slots), at: now, growth: 1}
	l.excess = window.New(excessSpan)
	for c := range l.usual {
		l.usual[c] = window.New(usualSpan)
	}
	return l
}

// Resize sets the slots and the ramp.
func (l *Limiter) Resize(now time.Time, slots int, ramp time.Duration) {
	l.grow(now)
	before := l.slots
	l.slots, l.ramp = max(slots, 1), ramp
	l.limit = min(l.limit, float64(l.slots))
	if l.slots > before {
		l.limit += float64(l.slots - before)
	}
}

// Slots returns the number of requests at once when warm.
func (l *Limiter) Slots() int { return l.slots }

// Allowed returns how many requests may run at once, from 1 to the slots.
func (l *Limiter) Allowed(now time.Time) int {
	l.grow(now)
	return max(int(min(l.limit, l.bears(now))), 1)
}

// bears returns what the ramp allows at the time now.
func (l *Limiter) bears(now time.Time) float64 {
	age := now.Sub(l.started)
	if age >= l.ramp {
		return float64(l.slots)
	}
	return 1 + float64(l.slots-1)*float64(age)/float64(l.ramp)
}

// Completed takes the end of a request that started at the given time, with
// the number of requests that ran beside it.
func (l *Limiter) Completed(now time.Time, c class.Class, started time.Time, v verdict.Verdict, beside int) {
	l.grow(now)
	switch v {
	case verdict.Shed, verdict.Reset:
		l.cut(now, beside+1, 0)
	case verdict.OK, verdict.Timeout:
		l.measure(now, c, started)
	}
}

// measure compares a service time with the usual ones.
func (l *Limiter) measure(now time.Time, c class.Class, started time.Time) {
	if c >= class.Count {
		return
	}
	x := evidence.LogTime(now.Sub(started))
	usual := &l.usual[c]
	if usual.Samples(now) < usualSamples {
		usual.Add(now, x)
		return
	}
	over := x - usual.Mean()
	if !started.Before(l.cutAt) {
		l.excess.Add(now, over)
	}
	if !l.waiting && over < jump+l.excess.Spread() {
		usual.Add(now, x)
	}
	l.judge(now, usual.Spread())
}

// judge cuts on a jump, and checks whether an earlier cut helped.
func (l *Limiter) judge(now time.Time, spread float64) {
	n := l.excess.Samples(now)
	if n < excessSamples {
		return
	}
	mean := l.excess.Mean()
	jumped := mean >= jump && mean*math.Sqrt(n) >= jumpSigmas*max(spread, minSpread)
	switch {
	case !jumped:
		l.waiting = false
	case !l.waiting:
		l.cut(now, l.slots, mean)
	case mean <= l.excessAtCut-helped && l.limit > 1:
		l.cut(now, l.slots, mean)
	default:
		l.accept(now)
	}
}

// accept takes the present service times as usual, because a cut did not shorten them.
func (l *Limiter) accept(now time.Time) {
	l.waiting, l.growth = false, futileGrowth
	for c := range l.usual {
		l.usual[c] = window.New(usualSpan)
	}
	l.excess = window.New(excessSpan)
	l.at = now
}

// cut lowers the limit to a share of what ran. Excess is the cause in nats, zero for refusals.
func (l *Limiter) cut(now time.Time, ran int, excess float64) {
	if now.Sub(l.cutAt) < cutInterval {
		return
	}
	share := refusalCut
	if excess > 0 {
		share = jumpCut
	}
	l.limit = max(1, share*min(l.limit, l.bears(now), float64(ran)))
	l.cutAt, l.excessAtCut, l.growth = now, excess, 1
	l.waiting = excess > 0
	l.excess = window.New(excessSpan)
}

// grow raises the limit along the ramp.
func (l *Limiter) grow(now time.Time) {
	passed := now.Sub(l.at)
	if passed <= 0 {
		return
	}
	l.at = now
	if l.waiting && now.Sub(l.cutAt) < patience {
		return
	}
	if l.ramp <= 0 {
		l.limit = float64(l.slots)
		return
	}
	step := l.growth * float64(l.slots-1) * float64(passed) / float64(l.ramp)
	l.limit = min(l.limit+step, float64(l.slots))
}
