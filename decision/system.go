// Package decision defines the contract of every decision core in berylpass.
//
// A core is a set of tables (organisations, backend servers, attempts) and a
// system that runs over them. It performs no I/O, starts no goroutine, holds no
// lock and reads no clock: the present time is an argument, and randomness comes
// from a seed that the constructor takes. The same sequence of events and times
// therefore always yields the same sequence of actions, which is what golden
// sessions and stateful fuzzing rely on.
//
// # Usage
//
// An adapter feeds events in and carries actions out:
//
//	for _, action := range core.Update(now, ledger.Cancel{ID: id}) {
//		adapter.carryOut(action)
//	}
//
// Adapters own the sockets and the locks. A core is not safe for concurrent use.
package decision

import "time"

// Event is a typed message that tells a core what happened. Each core documents
// the event types that it accepts and ignores the others.
type Event any

// Action is a typed message that tells an adapter what to do. Each core
// documents the action types that it returns.
type Action any

// System is a decision core. Update applies one event at the time now and
// returns the actions that follow from it, in the order in which they must be
// carried out. Times must not go backwards between calls.
type System interface {
	Update(now time.Time, event Event) []Action
}
