// Package decision defines the interface of the decision cores in berylpass.
//
// A core holds state (about organisations, backend servers, attempts) and decides what
// to do on each event. It performs no I/O, starts no goroutine, holds no lock and reads
// no clock: the current time is an argument, and randomness comes from a seed that the
// constructor takes. The same sequence of events and times therefore always yields the
// same sequence of actions. Golden-file tests and stateful fuzzing rely on that.
//
// # Usage
//
// An adapter passes events to a core and carries out the returned actions:
//
//	for _, action := range core.Update(now, ledger.Cancel{ID: id}) {
//		adapter.carryOut(action)
//	}
//
// The adapter owns the sockets and the locks. A core is not safe for concurrent use.
package decision

import "time"

// Event tells a core what happened. Each core documents the event types that it accepts and
// ignores all others.
type Event any

// Action tells the adapter what to do. Each core documents the action types that it returns.
type Action any

// System is a decision core. Update applies one event at the time now and returns the
// resulting actions in the order in which they must be carried out. The time must not go
// backwards between calls.
type System interface {
	Update(now time.Time, event Event) []Action
}
