// Package allowance limits the extra work that hedged requests put on the backend servers of
// a service to a share of the service's own work, both measured in slot time: the time for
// which a request occupies a slot.
//
// The load it answers: some backend servers are slow for seconds while most are idle, and
// the slowest requests wait for them. Without a limit the hedges of a service whose work is
// heavy-tailed would double it.
//
// Each daemon counts only work that it has sent itself. The share therefore holds for the
// whole fleet without any message, also for daemons that are cut off: the extra work of all
// daemons is at most the share of their work, plus maxSaved for each of them.
//
// # Usage
//
//	a := allowance.New(0.02)             // extra work of at most 2% of the own work
//	a = a.WithWork(took)                 // an attempt that was no hedge took this long
//	if a.Allows(expected) {              // before a hedge
//		a = a.WithExtra(expected)        // reserve what it is expected to take
//		a = a.WithExtra(took - expected) // when it is over: 0 for took if it has not run
//	}
package allowance

import "time"

// maxSaved is the largest extra slot time that may be saved up: enough for a few requests of
// a slow service, too little for a burst of hedges after a quiet time.
const maxSaved = 2 * time.Second

// Allowance is the extra slot time that may still be spent on one service. The zero value
// allows none.
type Allowance struct {
	share float64
	left  time.Duration
}

// New returns an allowance of the given share, from 0 to 1, of the work, with nothing saved up.
func New(share float64) Allowance { return Allowance{share: share} }

// WithShare returns a copy with another share for work from now on.
func (a Allowance) WithShare(share float64) Allowance {
	a.share = share
	return a
}

// WithWork returns a copy after an attempt that was no hedge occupied a slot for took.
func (a Allowance) WithWork(took time.Duration) Allowance {
	a.left = min(maxSaved, a.left+time.Duration(a.share*float64(took)))
	return a
}

// Allows reports whether a hedge may be sent that is expected to occupy a slot for expected.
func (a Allowance) Allows(expected time.Duration) bool { return a.share > 0 && a.left >= expected }

// WithExtra returns a copy after extra slot time was spent, or given back if it is negative.
// More may be spent than was allowed, if a hedge takes longer than expected; later work then
// makes up for it.
func (a Allowance) WithExtra(extra time.Duration) Allowance {
	a.left = min(maxSaved, a.left-extra)
	return a
}
