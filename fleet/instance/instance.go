// Package instance decides which heartbeats of backend servers are valid. Heartbeats may
// arrive late, out of order, or from a process that is gone.
//
// A process is identified by its ID and its incarnation, the time of its start by its own
// account, in Unix milliseconds. Of the heartbeats of one process, only those with a sequence
// number above the last accepted one are valid; of two processes at one address, only those of
// the one with the higher incarnation. A process that has announced that it drains or leaves, or
// that is gone, never serves again, nor does an earlier one of the same ID.
//
// A removal may state no incarnation. It then concerns whatever process of the ID had started by
// that time, which need not be one that is known: the first heartbeat of a process may arrive after
// its removal. Such a process doesn't serve while its late heartbeats may still arrive.
//
// # Usage
//
//	t := instance.New()
//	if t.Accept(now, b, sequence) { ... } // the heartbeat is valid
//	if t.Remove(now, id, incarnation) { ... } // a known process has ended
package instance

import (
	"maps"
	"time"

	"berylpass/fleet/backend"
)

const (
	// maxRetired is the maximum number of retired processes that are remembered.
	maxRetired = 4096
	// MaxDelay is the maximum delay of a heartbeat; the platform's are late by seconds.
	MaxDelay = 15 * time.Second
)

// process identifies one run of a backend server.
type process struct {
	id          backend.ID
	incarnation uint64
}

// startedBy reports whether the process had started by a time.
func (p process) startedBy(at time.Time) bool {
	return p.incarnation <= uint64(max(at.UnixMilli(), 0))
}

// heartbeat is the last accepted heartbeat of a process.
type heartbeat struct {
	address  string
	sequence uint64
}

// removal is a removal that stated no incarnation.
type removal struct {
	at time.Time
	// timeOfDay is the time of day at that time, to be compared with the starts of processes.
	timeOfDay time.Time
}

// Table is the table of the processes on a VM. It is not safe for concurrent use.
type Table struct {
	// accepted holds the last accepted heartbeat of each known process.
	accepted map[process]heartbeat
	// retired holds the processes that must never serve again, because they drain, have
	// left or are gone; retiredOrder holds them in the order in which they were added.
	retired      map[process]bool
	retiredOrder []process
	// latestIncarnation is the incarnation of the latest process at each address.
	latestIncarnation map[string]uint64
	// removals holds the last removals that stated no incarnation.
	removals map[backend.ID]removal
	clock    clock
}

// New returns a Table without processes.
func New() *Table {
	return &Table{
		accepted: map[process]heartbeat{}, retired: map[process]bool{},
		latestIncarnation: map[string]uint64{}, removals: map[backend.ID]removal{},
	}
}

// Accept processes a heartbeat of a backend server and reports whether it is valid. A
// valid one ends earlier processes with the same ID and other processes at the same
// address.
func (t *Table) Accept(now time.Time, b backend.Backend, sequence uint64) bool {
	t.clock.read(now)
	p := process{id: b.ID, incarnation: b.Incarnation}
	if b.Incarnation < t.latestIncarnation[b.Address] {
		// The process is acknowledged as draining, so it must be remembered as such.
		if b.State != backend.Serving {
			t.end(p)
		}
		return false
	}
	if last, known := t.accepted[p]; known && sequence <= last.sequence {
		return false
	}
	if b.State == backend.Serving && (t.retired[p] || b.Incarnation < t.LatestRetired(b.ID) || t.mayBeRemoved(now, p)) {
		return false
	}
	for other, last := range t.accepted {
		replaced := other.id == p.id && other.incarnation < p.incarnation
		if replaced || other != p && last.address == b.Address {
			t.end(other)
		}
	}
	t.latestIncarnation[b.Address] = b.Incarnation
	t.accepted[p] = heartbeat{address: b.Address, sequence: sequence}
	if b.State != backend.Serving {
		t.markRetired(p)
	}
	return true
}

// mayBeRemoved reports whether a removal without an incarnation may concern the process, although
// its heartbeat comes after it.
func (t *Table) mayBeRemoved(now time.Time, p process) bool {
	r, ok := t.removals[p.id]
	return ok && now.Sub(r.at) < MaxDelay && p.startedBy(r.timeOfDay)
}

// Remove processes the removal of a backend server, with incarnation 0 if it states
// none. It ends the processes of the ID up to that incarnation, or all of them if it is
// 0, and reports whether there were any.
func (t *Table) Remove(now time.Time, id backend.ID, incarnation uint64) bool {
	found := false
	for p := range t.accepted {
		if p.id == id && (incarnation == 0 || p.incarnation <= incarnation) {
			t.end(p)
			found = true
		}
	}
	if incarnation == 0 {
		t.recordRemoval(now, id, removal{at: now, timeOfDay: t.clock.read(now)})
	} else {
		t.markRetired(process{id: id, incarnation: incarnation})
	}
	return found
}

// RestoreRemoval processes a removal without an incarnation that an earlier run of this daemon has
// acknowledged at a time. It forgets the processes of the ID that had started by then, and reports
// whether there were any. They may serve again once no late heartbeat can arrive any more, since the
// time of day may have been wrong.
func (t *Table) RestoreRemoval(now, removedAt time.Time, id backend.ID) bool {
	t.recordRemoval(now, id, removal{at: removedAt, timeOfDay: removedAt})
	known := len(t.accepted)
	maps.DeleteFunc(t.accepted, func(p process, _ heartbeat) bool { return p.id == id && p.startedBy(removedAt) })
	return len(t.accepted) < known
}

// recordRemoval remembers a removal, and forgets those that don't matter any more.
func (t *Table) recordRemoval(now time.Time, id backend.ID, r removal) {
	maps.DeleteFunc(t.removals, func(_ backend.ID, old removal) bool { return now.Sub(old.at) >= MaxDelay })
	if r.at.After(t.removals[id].at) {
		t.removals[id] = r
	}
}

// LatestRetired returns the highest incarnation of the processes of the ID that must never
// serve again, 0 if none is remembered.
func (t *Table) LatestRetired(id backend.ID) uint64 {
	latest := uint64(0)
	for p := range t.retired {
		if p.id == id {
			latest = max(latest, p.incarnation)
		}
	}
	return latest
}

// IsKnown reports whether a heartbeat of the process has been accepted and the process hasn't ended since.
func (t *Table) IsKnown(id backend.ID, incarnation uint64) bool {
	_, known := t.accepted[process{id: id, incarnation: incarnation}]
	return known
}

// IsRetired reports whether the process must never serve again.
func (t *Table) IsRetired(id backend.ID, incarnation uint64) bool {
	return t.retired[process{id: id, incarnation: incarnation}]
}

// end forgets the last heartbeat of a process and marks it as retired.
func (t *Table) end(p process) {
	delete(t.accepted, p)
	t.markRetired(p)
}

// markRetired remembers that a process must not serve again, and forgets the oldest such
// process if there are more than maxRetired.
func (t *Table) markRetired(p process) {
	if t.retired[p] {
		return
	}
	t.retired[p] = true
	t.retiredOrder = append(t.retiredOrder, p)
	if len(t.retiredOrder) > maxRetired {
		delete(t.retired, t.retiredOrder[0])
		t.retiredOrder = t.retiredOrder[1:]
	}
}
