package roster

import (
	"math/bits"
	"slices"
)

// pushFanout is the number of neighbours to which a fresh delta is pushed at once.
const pushFanout = 3

// maxQueued is the number of deltas that wait at once; beyond it those that were
// sent most give way, and synchronisation carries them on.
const maxQueued = 128

// queued is a delta on its way to others.
type queued struct {
	delta Delta
	// sent is the number of messages that carried the delta.
	sent int
	// pushed tells that the delta has been pushed to neighbours.
	pushed bool
}

// queue holds the deltas that are still to be told; each is sent a number of
// times that grows with the logarithm of the fleet's size (Das, Gupta, Motivala,
// "SWIM", 2002).
type queue struct {
	deltas map[key]*queued
}

func newQueue() queue { return queue{deltas: map[key]*queued{}} }

// add puts a delta in place of an older one of the same record.
func (q *queue) add(d Delta) {
	q.deltas[key{d.ID, d.Backend}] = &queued{delta: d}
	if len(q.deltas) > maxQueued {
		entries := q.sorted(func(*queued) bool { return true })
		last := entries[len(entries)-1].delta
		delete(q.deltas, key{last.ID, last.Backend})
	}
}

// sorted returns the wanted deltas, those that were sent least first.
func (q *queue) sorted(wanted func(*queued) bool) []*queued {
	var entries []*queued
	for _, e := range q.deltas {
		if wanted(e) {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *queued) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}
		return key{a.delta.ID, a.delta.Backend}.compare(key{b.delta.ID, b.delta.Backend})
	})
	return entries
}

// take returns the deltas that were sent least, up to limit bytes, and counts them as sent.
func (q *queue) take(limit, fleetSize int) []Delta {
	return q.send(limit, fleetSize, func(*queued) bool { return true })
}

// takeFresh is take over the deltas that have not been pushed yet; it marks them pushed.
func (q *queue) takeFresh(limit, fleetSize int) []Delta {
	taken := q.send(limit, fleetSize, func(e *queued) bool { return !e.pushed })
	for _, d := range taken {
		if e := q.deltas[key{d.ID, d.Backend}]; e != nil {
			e.pushed = true
		}
	}
	return taken
}

func (q *queue) send(limit, fleetSize int, wanted func(*queued) bool) []Delta {
	if len(q.deltas) == 0 {
		return nil
	}
	var taken []Delta
	most := bits.Len(uint(fleetSize)) + 1
	for _, e := range q.sorted(wanted) {
		if limit -= e.delta.size(); limit < 0 && len(taken) > 0 {
			break
		}
		taken = append(taken, e.delta)
		if e.sent++; e.sent >= most {
			delete(q.deltas, key{e.delta.ID, e.delta.Backend})
		}
	}
	// Members go first: a backend server of an unknown member is not accepted.
	slices.SortStableFunc(taken, func(a, b Delta) int { return boolInt(a.isBackend()) - boolInt(b.isBackend()) })
	return taken
}
