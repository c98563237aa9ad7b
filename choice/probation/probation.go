// Package probation determines how long an ejected backend server or path stays ejected before it is put on
// trial.
//
// Each ejection that follows soon after a restoration doubles the ejection time, so that a flapping backend
// server is ejected most of the time.
//
// # Usage
//
//	p = p.Eject(now)
//	p = p.Advance(now) // OnTrial once the ejection time has passed
//	p = p.Restore(now)
package probation

import "time"

// Bounds of the ejection time.
const (
	// BaseEjectionTime is the ejection time of the first ejection.
	BaseEjectionTime = 2 * time.Second
	// MaxEjectionTime is the maximum ejection time.
	MaxEjectionTime = time.Minute
	// Earlier ejections no longer count once a backend server or path has been clear for resetFactor times its
	// last ejection time.
	resetFactor = 4
)

// State is the state of a probation.
type State uint8

// The states.
const (
	// Clear means that the backend server or path is neither ejected nor on trial.
	Clear State = iota
	// Ejected means that it receives no requests.
	Ejected
	// OnTrial means that it receives a few production requests.
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

// Probation is the ejection state of one backend server or path. The zero value is clear.
type Probation struct {
	State State
	// Since is when the state was entered.
	Since time.Time
	// RecentEjections is the number of ejections that still count.
	RecentEjections int
}

// Eject returns the state after an ejection at the time now.
func (p Probation) Eject(now time.Time) Probation {
	if p.State == Clear && now.Sub(p.Since) >= resetFactor*EjectionTime(p.RecentEjections) {
		p.RecentEjections = 0
	}
	return Probation{State: Ejected, Since: now, RecentEjections: p.RecentEjections + 1}
}

// Advance returns the state at the time now: an ejection becomes a trial after the ejection time.
func (p Probation) Advance(now time.Time) Probation {
	if p.State == Ejected && now.Sub(p.Since) >= EjectionTime(p.RecentEjections) {
		p.State, p.Since = OnTrial, now
	}
	return p
}

// Restore returns the state after a passed trial at the time now.
func (p Probation) Restore(now time.Time) Probation {
	p.State, p.Since = Clear, now
	return p
}

// EjectionTime returns the ejection time after the given number of recent ejections, at least 1.
func EjectionTime(ejections int) time.Duration {
	out := BaseEjectionTime
	for i := 1; i < ejections && out < MaxEjectionTime; i++ {
		out *= 2
	}
	return min(out, MaxEjectionTime)
}
