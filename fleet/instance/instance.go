// Package instance decides which heartbeats of backend servers are valid. Heartbeats may
// arrive late, out of order, or from a process that is gone.
//
// A process is identified by its ID and its incarnation, the time of its start by its own
// account. Of the heartbeats of one process, only those with a sequence number above the
// last accepted one are valid; of two processes at one address, only those of the one with
// the higher incarnation. A process that has announced that it drains or leaves, or that
// is gone, never serves again, nor does an earlier one of the same ID. If a removal states no
// incarnation and no process of that ID is known, as after a restart of the daemon, the ID serves
// only after the time in which late heartbeats may still arrive.
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

// heartbeat is the last accepted heartbeat of a process.
type heartbeat struct {
	address  string
	sequence uint64
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
	// removalsWithoutIncarnation holds the times of the last removals that stated no
	// incarnation and whose ID was unknown.
	removalsWithoutIncarnation map[backend.ID]time.Time
}

// New returns a Table without processes.
func New() *Table {
	return &Table{
		accepted: map[process]heartbeat{}, retired: map[process]bool{},
		latestIncarnation: map[string]uint64{}, removalsWithoutIncarnation: map[backend.ID]time.Time{},
	}
}

// Accept processes a heartbeat of a backend server and reports whether it is valid. A
// valid one ends earlier processes with the same ID and other processes at the same
// address.
func (t *Table) Accept(now time.Time, b backend.Backend, sequence uint64) bool {
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
	if b.State == backend.Serving && (t.retired[p] || b.Incarnation < t.LatestRetired(b.ID) || t.mayBeLate(now, b.ID)) {
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

// mayBeLate reports whether a heartbeat of the ID may have been sent before a removal without
// an incarnation, by the process that was removed.
func (t *Table) mayBeLate(now time.Time, id backend.ID) bool {
	removedAt, ok := t.removalsWithoutIncarnation[id]
	return ok && now.Sub(removedAt) < MaxDelay
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
	switch {
	case found:
	case incarnation != 0:
		t.markRetired(process{id: id, incarnation: incarnation})
	case t.LatestRetired(id) == 0:
		maps.DeleteFunc(t.removalsWithoutIncarnation, func(_ backend.ID, removedAt time.Time) bool {
			return now.Sub(removedAt) >= MaxDelay
		})
		t.removalsWithoutIncarnation[id] = now
	}
	return found
}

// LatestRetired returns the highest incarnation of the processes of the ID that must never
// serve again, 0 if none is remembered. If there is one, and if no other process of the ID is
// known, a removal without an incarnation is a repetition.
func (t *Table) LatestRetired(id backend.ID) uint64 {
	latest := uint64(0)
	for p := range t.retired {
		if p.id == id {
			latest = max(latest, p.incarnation)
		}
	}
	return latest
}

// IsRetired reports whether the process must never serve again.
func (t *Table) IsRetired(id backend.ID, incarnation uint64) bool {
	return t.retired[process{id: id, incarnation: incarnation}]
}

// RecordRemoval processes a removal that stated no incarnation and that was acknowledged at a
// time before the start of this daemon. It ends no process, since those that are known may have
// started later.
func (t *Table) RecordRemoval(removedAt time.Time, id backend.ID) {
	if removedAt.After(t.removalsWithoutIncarnation[id]) {
		t.removalsWithoutIncarnation[id] = removedAt
	}
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
