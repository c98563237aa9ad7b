// Package limiter limits how many requests run concurrently on one backend server.
//
// A freshly started backend server gets one request at a time, and all its slots after the ramp. The limit is
// cut when a backend server proves to have less capacity than its slots: it sheds, it resets connections, or
// its service times jump above their own baseline. After a cut for service times the limiter checks whether
// less load has shortened them; if not, the cut was useless and the new service times become the baseline.
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
	// shedCut and jumpCut are the factors by which the limit is multiplied after a shed or reset request and after
	// a jump of the service times.
	shedCut = 0.5
	jumpCut = 0.7
	// cutInterval is the least time between two cuts.
	cutInterval = 250 * time.Millisecond
	// baselineSpan is the time constant of the baseline service time.
	baselineSpan = time.Minute
	// excessSpan is the time constant of the excess over the baseline.
	excessSpan = time.Second
	// baselineSamples and excessSamples are the least effective numbers of samples for the baseline and the
	// excess to be used.
	baselineSamples = 20
	excessSamples   = 8
	// jumpSigmas is the number of standard errors that a jump must reach.
	jumpSigmas = 5
	// minSpread is the lower bound on the spread of service times, in nats.
	minSpread = 0.3
	// minImprovement is the fall of the excess, in nats, from which a cut counts as useful.
	minImprovement = 0.35
	// maxEffectWait is the longest time for which the limit stays constant after a cut for service times, to
	// collect samples that show its effect.
	maxEffectWait = 3 * time.Second
	// ineffectiveCutGrowth is the factor by which the limit grows faster than the ramp after a cut that proved
	// useless.
	ineffectiveCutGrowth = 8
)

// jumpExcess is the excess, in nats, from which service times count as a jump: three times the baseline.
var jumpExcess = math.Log(3)

// Limiter is the concurrency limit of one incarnation of a backend server. It is not safe for concurrent use.
type Limiter struct {
	slots int
	ramp  time.Duration
	// started is when the backend server started.
	started time.Time
	// limit is the adaptive limit; the ramp is applied to it in Allowed.
	limit float64
	// grownAt is the time up to which grow has raised the limit.
	grownAt time.Time
	// cutAt is when the last cut was made; excessAtCut is the excess that caused it, zero for other causes.
	cutAt       time.Time
	excessAtCut float64
	// awaitingEffect reports whether the effect of the last cut for service times is not yet known.
	awaitingEffect bool
	// growth is the rate at which the limit grows, as a multiple of that of the ramp.
	growth float64
	// baseline holds the logarithms of service times by class, excess their differences from the baseline.
	baseline [class.Count]window.Window
	excess   window.Window
}

// New returns the Limiter of a backend server that started at the time now.
func New(now time.Time, slots int, ramp time.Duration) *Limiter {
	slots = max(slots, 1)
	l := &Limiter{slots: slots, ramp: ramp, started: now, limit: float64(slots), grownAt: now, growth: 1}
	l.excess = window.New(excessSpan)
	for c := range l.baseline {
		l.baseline[c] = window.New(baselineSpan)
	}
	return l
}

// Resize sets the slots and the ramp. Additional slots are added to the limit at once.
func (l *Limiter) Resize(now time.Time, slots int, ramp time.Duration) {
	l.grow(now)
	before := l.slots
	l.slots, l.ramp = max(slots, 1), ramp
	l.limit = min(l.limit, float64(l.slots))
	if l.slots > before {
		l.limit += float64(l.slots - before)
	}
}

// Slots returns the number of requests that may run concurrently after the ramp.
func (l *Limiter) Slots() int { return l.slots }

// Allowed returns how many requests may run concurrently, from 1 to the slots.
func (l *Limiter) Allowed(now time.Time) int {
	l.grow(now)
	return max(int(min(l.limit, l.rampLimit(now))), 1)
}

// rampLimit returns the limit that the ramp sets at the time now.
func (l *Limiter) rampLimit(now time.Time) float64 {
	age := now.Sub(l.started)
	if age >= l.ramp {
		return float64(l.slots)
	}
	return 1 + float64(l.slots-1)*float64(age)/float64(l.ramp)
}

// Completed records the end of a request that started at the given time. StillRunning is the number of requests
// that still run on the backend server.
func (l *Limiter) Completed(now time.Time, c class.Class, started time.Time, v verdict.Verdict, stillRunning int) {
	l.grow(now)
	switch v {
	case verdict.Shed, verdict.Reset:
		l.cut(now, stillRunning+1, 0)
	case verdict.OK, verdict.Timeout:
		l.measure(now, c, started)
	}
}

// measure compares a service time with the baseline.
func (l *Limiter) measure(now time.Time, c class.Class, started time.Time) {
	if c >= class.Count {
		return
	}
	x := evidence.LogTime(now.Sub(started))
	baseline := &l.baseline[c]
	if baseline.Samples(now) < baselineSamples {
		baseline.Add(now, x)
		return
	}
	over := x - baseline.Mean()
	if !started.Before(l.cutAt) {
		l.excess.Add(now, over)
	}
	if !l.awaitingEffect && over < jumpExcess+l.excess.Spread() {
		baseline.Add(now, x)
	}
	l.checkExcess(now, baseline.Spread())
}

// checkExcess cuts the limit on a jump. If the excess is still a jump after a cut, it cuts again if the excess has
// fallen by minImprovement and the limit is above 1, and otherwise accepts the new service times as the baseline.
func (l *Limiter) checkExcess(now time.Time, spread float64) {
	n := l.excess.Samples(now)
	if n < excessSamples {
		return
	}
	mean := l.excess.Mean()
	jumped := mean >= jumpExcess && mean*math.Sqrt(n) >= jumpSigmas*max(spread, minSpread)
	switch {
	case !jumped:
		l.awaitingEffect = false
	case !l.awaitingEffect:
		l.cut(now, l.slots, mean)
	case mean <= l.excessAtCut-minImprovement && l.limit > 1:
		l.cut(now, l.slots, mean)
	default:
		l.acceptBaseline(now)
	}
}

// acceptBaseline lets the current service times become the baseline, because a cut has not shortened them.
func (l *Limiter) acceptBaseline(now time.Time) {
	l.awaitingEffect, l.growth = false, ineffectiveCutGrowth
	for c := range l.baseline {
		l.baseline[c] = window.New(baselineSpan)
	}
	l.excess = window.New(excessSpan)
	l.grownAt = now
}

// cut lowers the limit to a share of the least of the limit, the ramp's limit and ran. Excess is the cause in nats,
// zero after a shed or reset request.
func (l *Limiter) cut(now time.Time, ran int, excess float64) {
	if now.Sub(l.cutAt) < cutInterval {
		return
	}
	share := shedCut
	if excess > 0 {
		share = jumpCut
	}
	l.limit = max(1, share*min(l.limit, l.rampLimit(now), float64(ran)))
	l.cutAt, l.excessAtCut, l.growth = now, excess, 1
	l.awaitingEffect = excess > 0
	l.excess = window.New(excessSpan)
}

// grow raises the limit at the rate of the ramp.
func (l *Limiter) grow(now time.Time) {
	passed := now.Sub(l.grownAt)
	if passed <= 0 {
		return
	}
	l.grownAt = now
	if l.awaitingEffect && now.Sub(l.cutAt) < maxEffectWait {
		return
	}
	if l.ramp <= 0 {
		l.limit = float64(l.slots)
		return
	}
	step := l.growth * float64(l.slots-1) * float64(passed) / float64(l.ramp)
	l.limit = min(l.limit+step, float64(l.slots))
}
