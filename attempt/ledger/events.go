package ledger

import (
	"time"

	"berylpass/attempt/id"
)

// Accept asks whether an attempt that has arrived may be queued. The ledger answers Accepted or Refused.
type Accept struct {
	ID id.ID
	// Incarnation is the guard's incarnation that the attempt is addressed to.
	Incarnation uint64
	// Deadline is the time on the guard's clock after which the attempt may not start.
	Deadline time.Duration
}

// Start asks whether an accepted attempt may run now. The ledger answers Run or Refused.
type Start struct{ ID id.ID }

// Finish reports that an attempt ended after the backend server may have run it.
type Finish struct{ ID id.ID }

// Discard reports that an accepted attempt has not run and never will: it was
// refused after all, or no byte of it reached the backend server.
type Discard struct{ ID id.ID }

// Cancel asks the guard to cancel an attempt. It carries the incarnation and the
// deadline of the attempt, because it may arrive before the attempt does. The
// ledger answers Cancelled, after a Stop if the attempt is queued or running.
type Cancel struct {
	ID          id.ID
	Incarnation uint64
	Deadline    time.Duration
}

// Accepted means that the attempt may be queued.
type Accepted struct{ ID id.ID }

// Refused answers an Accept or Start: this copy of the attempt must not be queued or run.
type Refused struct {
	ID     id.ID
	Reason Reason
}

// Run means that the attempt must be written to the backend server now.
type Run struct{ ID id.ID }

// Stop means that the attempt must be removed from the queue, or cancelled at the backend server if it runs.
type Stop struct{ ID id.ID }

// Cancelled answers a Cancel.
type Cancelled struct {
	ID    id.ID
	State State
}

// State is what the guard knows about an attempt that is cancelled.
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

// Reason says why an Accept or Start was refused.
type Reason string

// The reasons.
const (
	// Duplicate is for an attempt that was accepted or started before and may run.
	Duplicate Reason = "duplicate"
	// WasCancelled is for an attempt that is recorded as never to run: it was cancelled,
	// discarded or refused before.
	WasCancelled Reason = "cancelled"
	// Late is for an attempt whose deadline has passed before it was accepted or started. gate.Late has the same
	// name and means that the request cannot finish in time.
	Late Reason = "late"
	// Expired is for an attempt so late that its entry, if there was one, has been removed.
	Expired Reason = "expired"
	// WrongIncarnation is for an attempt addressed to another incarnation of the guard.
	WrongIncarnation Reason = "wrong-incarnation"
	// DeadlineTooFar is for an attempt whose deadline is more than MaxLifetime ahead.
	DeadlineTooFar Reason = "deadline-too-far"
	// Full is for an attempt that arrived when the ledger was full. It is recorded as a tombstone.
	Full Reason = "ledger-full"
	// Overflow is for an attempt that arrived when there was no room even for a tombstone.
	Overflow Reason = "ledger-overflow"
)

// Final reports whether the refusal alone guarantees that the attempt has not run and
// never will, whatever copies of it arrive. The other reasons refer to one arriving copy:
// another one may have run or may still run. The guard doesn't use Final: the forwarder
// sends each attempt once, so the guard reports every refusal but Duplicate as not run.
func (r Reason) Final() bool { return r == WasCancelled || r == Late || r == Full }
