// Package replica holds copies of the departures that other daemons have acknowledged, so that
// a daemon which restarts while the platform's store is unavailable learns them again.
//
// # Usage
//
//	r := replica.New()
//	r.Keep(now, "vm-17", departure.Process{ID: "rounds-3", Incarnation: 1700000000000})
//	processes := r.Of(now, "vm-17")
package replica

import (
	"slices"
	"time"

	"berylpass/fleet/departure"
	"berylpass/fleet/member"
)

// maxProcesses bounds the number of departures that a Replica holds.
const maxProcesses = 4096

// entry is one departure and when it was received.
type entry struct {
	daemon  member.ID
	process departure.Process
	at      time.Time
}

// Replica holds the departures of other daemons. It is not safe for concurrent use.
type Replica struct {
	// entries are in the order in which they were received.
	entries []entry
}

// New returns an empty Replica.
func New() *Replica { return &Replica{} }

// Keep adds a departure at the daemon. It drops those older than departure.MaxAge, and the
// oldest ones beyond its capacity.
func (r *Replica) Keep(now time.Time, daemon member.ID, p departure.Process) {
	kept := []departure.Process{p}
	r.entries = slices.DeleteFunc(r.entries, func(e entry) bool {
		if now.Sub(e.at) > departure.MaxAge {
			return true
		}
		if e.daemon != daemon || !e.process.Same(p) {
			return false
		}
		kept = departure.Merge(kept, e.process)
		return true
	})
	r.entries = append(r.entries, entry{daemon: daemon, process: kept[0], at: now})
	r.entries = r.entries[max(0, len(r.entries)-maxProcesses):]
}

// Of returns the departures at the daemon that aren't older than departure.MaxAge.
func (r *Replica) Of(now time.Time, daemon member.ID) []departure.Process {
	var processes []departure.Process
	for _, e := range r.entries {
		if e.daemon == daemon && now.Sub(e.at) <= departure.MaxAge {
			processes = append(processes, e.process)
		}
	}
	return processes
}
