// Package probation tells when an ejected backend server, or path, may be tried
// again, and how often.
//
// Each ejection that follows soon after a restoration doubles the time out, so
// that a flapping backend server spends most of its time out of use.
//
// # Usage
//
//	p = p.Eject(now)
//	p = p.Advance(now) // OnTrial once the time out has passed
//	p = p.Restore(now)
package probation

import "time"

// Bounds of the time out.
const (
	// FirstOut is the time out of the first ejection.
	FirstOut = 2 * time.Second
	// MaxOut bounds the time out.
	MaxOut = time.Minute
	// forgiveFactor is the multiple of the last time out after which earlier ejections are forgotten.
	forgiveFactor = 4
)

// State is the state of a probation.
type State uint8

// The states.
const (
	// Clear means that nothing speaks against use.
	Clear State = iota
	// Ejected means no use at all.
	Ejected
	// OnTrial means few real requests.
	OnTrial
)

var names = [...]string{"clear", "ejected", "on-trial"}

// String returns the kebab-case name of the state.
func (s State) String() string {
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Probation is the record of one backend server or path. The zero value is clear.
type Probation struct {
	State State
	// Since is when the state was entered.
	Since time.Time
	// Strikes counts the ejections that are not forgotten.
	Strikes int
}

// Eject returns the record after an ejection at the time now.
func (p Probation) Eject(now time.Time) Probation {
	if p.State == Clear && now.Sub(p.Since) >= forgiveFactor*Out(p.Strikes) {
		p.Strikes = 0
	}
	return Probation{State: Ejected, Since: now, Strikes: p.Strikes + 1}
}

// Advance returns the record at the time now: on trial once the time out is over.
func (p Probation) Advance(now time.Time) Probation {
	if p.State == Ejected && now.Sub(p.Since) >= Out(p.Strikes) {
		p.State, p.Since = OnTrial, now
	}
	return p
}

// Restore returns the record after a passed trial at the time now.
func (p Probation) Restore(now time.Time) Probation {
	p.State, p.Since = Clear, now
	return p
}

// Out returns the time out of the given strike, counted from 1.
func Out(strikes int) time.Duration {
	out := FirstOut
	for i := 1; i < strikes && out < MaxOut; i++ {
		out *= 2
	}
	return min(out, MaxOut)
}
