package roster

import (
	"math/bits"
	"slices"
)

// pushFanout is the number of neighbours to which a new delta is pushed at once.
const pushFanout = 3

// maxQueued is the maximum number of deltas in the queue. Beyond it the delta that was
// sent most often is dropped; Sync requests deliver it to members that miss it.
const maxQueued = 128

// queued is a delta in the queue.
type queued struct {
	delta Delta
	// sent is the number of times that the delta was taken for sending.
	sent int
	// pushed reports whether the delta has been pushed to neighbours.
	pushed bool
}

// queue holds the deltas that are still to be gossiped. Each is sent a number of times
// that grows with the logarithm of the fleet's size (Das, Gupta, Motivala, "SWIM",
// 2002).
type queue struct {
	deltas map[key]*queued
}

func newQueue() queue { return queue{deltas: map[key]*queued{}} }

// add queues a delta as not sent yet. It replaces an older delta of the same record.
func (q *queue) add(d Delta) {
	q.deltas[key{d.ID, d.Backend}] = &queued{delta: d}
	if len(q.deltas) > maxQueued {
		entries := q.sorted(func(*queued) bool { return true })
		last := entries[len(entries)-1].delta
		delete(q.deltas, key{last.ID, last.Backend})
	}
}

// sorted returns the wanted deltas, ordered by how often they were sent, least first.
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

// take returns the deltas that were sent least often, up to limit bytes but at least
// one, and counts them as sent.
func (q *queue) take(limit, fleetSize int) []Delta {
	return q.takeWanted(limit, fleetSize, func(*queued) bool { return true })
}

// takeFresh is like take, but only for the deltas that have not been pushed yet, which
// it marks as pushed.
func (q *queue) takeFresh(limit, fleetSize int) []Delta {
	taken := q.takeWanted(limit, fleetSize, func(e *queued) bool { return !e.pushed })
	for _, d := range taken {
		if e := q.deltas[key{d.ID, d.Backend}]; e != nil {
			e.pushed = true
		}
	}
	return taken
}

// takeWanted is like take, but only for the wanted deltas. It removes the deltas that
// have been sent often enough.
func (q *queue) takeWanted(limit, fleetSize int, wanted func(*queued) bool) []Delta {
	if len(q.deltas) == 0 {
		return nil
	}
	var taken []Delta
	maxSends := bits.Len(uint(fleetSize)) + 1
	for _, e := range q.sorted(wanted) {
		if limit -= e.delta.encodedSize(); limit < 0 && len(taken) > 0 {
			break
		}
		taken = append(taken, e.delta)
		if e.sent++; e.sent >= maxSends {
			delete(q.deltas, key{e.delta.ID, e.delta.Backend})
		}
	}
	// Members come first because receivers ignore a backend server of an unknown member.
	slices.SortStableFunc(taken, func(a, b Delta) int { return boolInt(a.isBackend()) - boolInt(b.isBackend()) })
	return taken
}
