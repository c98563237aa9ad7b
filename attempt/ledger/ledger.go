// Package ledger records the attempts that a guard has seen, so that no attempt
// runs twice and a cancelled attempt never runs.
//
// Deadlines are times on the guard's own clock: durations since the guard
// started. The ledger refuses an attempt that arrives after its deadline, so
// preventing a second run needs its entry only until then. The entry is kept for
// Grace longer, so that an ingress can still ask how the attempt ended. An ingress
// addresses each attempt to an incarnation of the guard. A restarted guard has lost
// its ledger and cannot tell what became of attempts to an earlier incarnation.
//
// # Usage
//
//	l := ledger.New(started, incarnation, ledger.DefaultCapacity)
//	l.Update(now, ledger.Accept{ID: attempt, Incarnation: n, Deadline: d}) // Accepted or Refused
//	l.Update(now, ledger.Start{ID: attempt})   // Run or Refused; ask directly before writing the request
//	l.Update(now, ledger.Finish{ID: attempt})  // the backend server may have run it
//	l.Update(now, ledger.Discard{ID: attempt}) // it has not run and never will
//	l.Update(now, ledger.Cancel{ID: attempt, Incarnation: n, Deadline: d}) // Stop if it is queued or running, then Cancelled
//
// A guard that refuses an attempt after Accepted, for any reason, must apply Discard
// before it answers the ingress with "not run".
package ledger

import (
	"container/heap"
	"time"

	"berylpass/attempt/id"
	"berylpass/decision"
)

const (
	// DefaultCapacity is the number of entries up to which a ledger accepts attempts.
	DefaultCapacity = 1 << 16
	// Grace is how long an entry is kept after its deadline.
	Grace = 5 * time.Second
	// MaxLifetime is the longest time from an attempt's arrival to its deadline.
	MaxLifetime = 10 * time.Minute
	// tombstoneDivisor divides the capacity: that many further entries are reserved for tombstones.
	tombstoneDivisor = 4
)

// phase is the state of an attempt in the ledger.
type phase uint8

const (
	queued phase = iota
	started
	finished
	// tombstone marks an attempt that has not run and never will.
	tombstone
)

// entry is the record of one attempt. Its times are on the guard's clock.
type entry struct {
	id       id.ID
	forgetAt time.Duration
	// deadline is the time after which the attempt may not start.
	deadline time.Duration
	phase    phase
}

// Ledger is the record of a guard's attempts. It is not safe for concurrent use.
type Ledger struct {
	start       time.Time
	incarnation uint64
	capacity    int
	entries     map[id.ID]*entry
	expiry      expiryHeap
}

var _ decision.System = (*Ledger)(nil)

// New returns the empty ledger of a guard that started at the given time. It
// accepts attempts up to capacity entries; tombstones may take a quarter more.
func New(start time.Time, incarnation uint64, capacity int) *Ledger {
	return &Ledger{start: start, incarnation: incarnation, capacity: capacity, entries: map[id.ID]*entry{}}
}

// Len returns the number of entries, tombstones included.
func (l *Ledger) Len() int { return len(l.entries) }

// Clock returns the reading of the guard's clock at the time now.
func (l *Ledger) Clock(now time.Time) time.Duration { return now.Sub(l.start) }

// Incarnation returns the guard's current incarnation.
func (l *Ledger) Incarnation() uint64 { return l.incarnation }

// RaiseIncarnation raises the guard's incarnation; a lower one changes nothing. Accepted attempts
// go on, and new arrivals that are addressed to an earlier incarnation are refused.
func (l *Ledger) RaiseIncarnation(incarnation uint64) {
	l.incarnation = max(l.incarnation, incarnation)
}

// Update applies an Accept, Start, Finish, Discard or Cancel event and returns the ledger's answers.
func (l *Ledger) Update(now time.Time, event decision.Event) []decision.Action {
	clock := l.Clock(now)
	l.removeExpired(clock)
	switch e := event.(type) {
	case Accept:
		return l.accept(clock, e)
	case Start:
		return l.run(clock, e.ID)
	case Finish:
		l.end(e.ID, finished)
	case Discard:
		l.end(e.ID, tombstone)
	case Cancel:
		return l.cancel(clock, e)
	}
	return nil
}

func (l *Ledger) accept(clock time.Duration, e Accept) []decision.Action {
	if reason, refused := l.refusalReason(clock, e); refused {
		return []decision.Action{Refused{ID: e.ID, Reason: reason}}
	}
	l.add(e.ID, e.Deadline, queued)
	return []decision.Action{Accepted{ID: e.ID}}
}

// refusalReason returns why an arrival must be refused, and false if it can be accepted.
// If the ledger is full, it records the attempt as a tombstone.
func (l *Ledger) refusalReason(clock time.Duration, e Accept) (Reason, bool) {
	known := l.entries[e.ID]
	switch {
	case known != nil && known.phase == tombstone:
		return WasCancelled, true
	case known != nil:
		return Duplicate, true
	case e.Incarnation != l.incarnation:
		return WrongIncarnation, true
	case clock > e.Deadline+Grace:
		return Expired, true
	case clock > e.Deadline:
		return Late, true
	case e.Deadline-clock > MaxLifetime:
		return DeadlineTooFar, true
	case len(l.entries) < l.capacity:
		return "", false
	case l.addTombstone(e.ID, e.Deadline):
		return Full, true
	}
	return Overflow, true
}

// run answers a Start. Only a queued attempt whose deadline has not passed may run.
func (l *Ledger) run(clock time.Duration, attempt id.ID) []decision.Action {
	known := l.entries[attempt]
	switch {
	case known == nil:
		return []decision.Action{Refused{ID: attempt, Reason: Expired}}
	case known.phase == tombstone:
		return []decision.Action{Refused{ID: attempt, Reason: WasCancelled}}
	case known.phase != queued:
		return []decision.Action{Refused{ID: attempt, Reason: Duplicate}}
	case clock > known.deadline:
		known.phase = tombstone
		return []decision.Action{Refused{ID: attempt, Reason: Late}}
	}
	known.phase = started
	return []decision.Action{Run{ID: attempt}}
}

// end moves an attempt to its final phase, finished or tombstone.
func (l *Ledger) end(attempt id.ID, last phase) {
	known := l.entries[attempt]
	if known == nil || known.phase == finished || known.phase == tombstone {
		return
	}
	known.phase = last
}

func (l *Ledger) cancel(clock time.Duration, e Cancel) []decision.Action {
	known := l.entries[e.ID]
	switch {
	case known == nil && e.Incarnation != l.incarnation:
		return []decision.Action{Cancelled{ID: e.ID, State: Unknown}}
	case known == nil:
		return []decision.Action{Cancelled{ID: e.ID, State: l.cancelUnseen(clock, e)}}
	case known.phase == queued:
		known.phase = tombstone
		return []decision.Action{Stop{ID: e.ID}, Cancelled{ID: e.ID, State: NotRun}}
	case known.phase == started:
		return []decision.Action{Stop{ID: e.ID}, Cancelled{ID: e.ID, State: Started}}
	case known.phase == finished:
		return []decision.Action{Cancelled{ID: e.ID, State: Finished}}
	}
	return []decision.Action{Cancelled{ID: e.ID, State: NotRun}}
}

// cancelUnseen cancels an attempt that has not arrived. It returns NotRun if the attempt
// is certain never to run and Unknown otherwise.
func (l *Ledger) cancelUnseen(clock time.Duration, e Cancel) State {
	switch {
	case clock > e.Deadline+Grace:
		return Unknown
	case clock > e.Deadline:
		return NotRun
	case e.Deadline-clock > MaxLifetime:
		return Unknown
	case l.addTombstone(e.ID, e.Deadline):
		return NotRun
	}
	return Unknown
}

// addTombstone adds a tombstone and reports whether there was room for it.
func (l *Ledger) addTombstone(attempt id.ID, deadline time.Duration) bool {
	if len(l.entries) >= l.capacity+l.capacity/tombstoneDivisor {
		return false
	}
	l.add(attempt, deadline, tombstone)
	return true
}

// add records an attempt in the given phase.
func (l *Ledger) add(attempt id.ID, deadline time.Duration, p phase) {
	added := &entry{id: attempt, forgetAt: deadline + Grace, deadline: deadline, phase: p}
	l.entries[attempt] = added
	heap.Push(&l.expiry, added)
}

// removeExpired removes the entries whose Grace is over.
func (l *Ledger) removeExpired(clock time.Duration) {
	for len(l.expiry) > 0 && l.expiry[0].forgetAt < clock {
		delete(l.entries, heap.Pop(&l.expiry).(*entry).id)
	}
}
