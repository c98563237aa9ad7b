package ledger

import (
	"time"

	"berylpass/attempt/id"
)

// Accept asks to take an attempt that has arrived. The ledger answers Accepted or Refused.
type Accept struct {
	ID id.ID
	// Incarnation is the guard's incarnation that the attempt is addressed to.
	Incarnation uint64
	// Deadline is the time on the guard's clock after which the attempt may not start.
	Deadline time.Duration
}

// Start asks to run an accepted attempt now. The ledger answers Run or Refused.
type Start struct{ ID id.ID }

// Finish tells that an attempt ended after the backend server may have run it.
type Finish struct{ ID id.ID }

// Discard tells that an accepted attempt has not run and never will: it was
// refused after all, or no byte of it reached the backend server.
type Discard struct{ ID id.ID }

// Cancel asks that an attempt not run. It names the attempt's own incarnation
// and deadline, since it may come before the attempt. The ledger answers Cancelled.
type Cancel struct {
	ID          id.ID
	Incarnation uint64
	Deadline    time.Duration
}

// Accepted tells that an attempt may be queued.
type Accepted struct{ ID id.ID }

// Refused tells that the arrival that was asked about does not run.
type Refused struct {
	ID     id.ID
	Reason Reason
}

// Run tells that the attempt must be written to the backend server now.
type Run struct{ ID id.ID }

// Stop tells that an attempt must leave the queue, or its request be cancelled at the backend server.
type Stop struct{ ID id.ID }

// Cancelled answers a Cancel.
type Cancelled struct {
	ID    id.ID
	State State
}

// State is what a guard knows of an attempt.
type State string

// The states.
const (
	// NotRun means that the attempt has not run and never will.
	NotRun State = "not-run"
	// Started means that the backend server may be running the attempt.
	Started State = "started"
	// Finished means that the attempt ended after the backend server may have run it.
	Finished State = "finished"
	// Unknown means that the guard cannot tell.
	Unknown State = "unknown"
)

// Reason says why an arrival was refused.
type Reason string

// The reasons.
const (
	// Duplicate is for an attempt that arrived before and may run.
	Duplicate Reason = "duplicate"
	// WasCancelled is for an attempt that was cancelled or discarded.
	WasCancelled Reason = "cancelled"
	// Late is for an attempt whose deadline has passed and that was not accepted before.
	Late Reason = "late"
	// Expired is for an attempt so late that the ledger no longer knows what became of it.
	Expired Reason = "expired"
	// WrongIncarnation is for an attempt addressed to the guard before a restart.
	WrongIncarnation Reason = "wrong-incarnation"
	// TooFar is for a deadline more than MaxLifetime ahead.
	TooFar Reason = "deadline-too-far"
	// Full is for an attempt that found the ledger full; it is remembered as refused.
	Full Reason = "ledger-full"
	// Overflow is for an attempt that found no room even to be remembered as refused.
	Overflow Reason = "ledger-overflow"
)

// Final reports whether the refusal vouches that the attempt has not run and
// never will. The other reasons speak of one arrival only: another copy of the
// attempt may have run or may yet run, so the ingress has to cancel.
func (r Reason) Final() bool { return r == WasCancelled || r == Late || r == Full }
