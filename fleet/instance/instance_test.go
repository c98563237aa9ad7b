package instance

import (
	"testing"
	"time"

	"berylpass/fleet/backend"
)

func newBackend(id, address string, incarnation uint64) backend.Backend {
	return backend.New(backend.ID(id), "rounds", "vm-1").WithAddress(address).WithIncarnation(incarnation)
}

// TestStaleHeartbeatsAreRejected plays sequences of heartbeats and removals and checks
// which of them are valid. If a stale heartbeat were accepted, requests would be routed to
// a process that has ended.
func TestStaleHeartbeatsAreRejected(t *testing.T) {
	type step struct {
		backend  backend.Backend
		sequence uint64
		remove   bool
		want     bool
		// wait is the time since the previous step.
		wait time.Duration
	}
	start := time.Unix(1_700_000_000, 0)
	// startedAt returns a process that starts some time after the first step.
	startedAt := func(after time.Duration) backend.Backend {
		return newBackend("i-1", "a:1", uint64(start.Add(after).UnixMilli()))
	}
	first, second, noIncarnation := newBackend("i-1", "a:1", 100), newBackend("i-2", "a:1", 200), newBackend("i-1", "a:1", 0)
	draining := first.WithState(backend.Draining)
	for name, steps := range map[string][]step{
		"in order":                             {{first, 1, false, true, 0}, {first, 2, false, true, 0}},
		"late heartbeat":                       {{first, 2, false, true, 0}, {first, 1, false, false, 0}},
		"drained never serves again":           {{first, 1, false, true, 0}, {draining, 2, false, true, 0}, {first, 3, false, false, 0}},
		"removed never serves again":           {{first, 1, false, true, 0}, {first, 0, true, true, 0}, {first, 2, false, false, 0}},
		"earlier process at the address":       {{first, 1, false, true, 0}, {second, 1, false, true, 0}, {first, 9, false, false, 0}},
		"restart with the same ID":             {{first, 9, false, true, 0}, {newBackend("i-1", "a:1", 300), 1, false, true, 0}, {first, 10, false, false, 0}},
		"late removal of the previous process": {{newBackend("i-1", "a:1", 300), 1, false, true, 0}, {first, 0, true, false, 0}, {newBackend("i-1", "a:1", 300), 2, false, true, 0}},
		"removal without an incarnation of an unknown process": {
			{noIncarnation, 0, true, false, 0}, {first, 9, false, false, time.Second}, {newBackend("i-1", "a:1", 300), 1, false, true, MaxDelay},
		},
		"removal without an incarnation, repeated": {
			{first, 1, false, true, 0}, {noIncarnation, 0, true, true, 0}, {noIncarnation, 0, true, false, time.Second},
			{first, 2, false, false, 0}, {startedAt(time.Second), 1, false, false, time.Second}, {startedAt(1500 * time.Millisecond), 1, false, true, 0},
		},
		"removal without an incarnation of a later process that is unknown": {
			{first, 1, false, true, 0}, {noIncarnation, 0, true, true, 0}, {noIncarnation, 0, true, false, 9 * time.Second},
			{startedAt(8 * time.Second), 1, false, false, 4 * time.Second}, {startedAt(8 * time.Second), 9, false, true, MaxDelay},
		},
		"removal without an incarnation while an earlier process is known": {
			{first, 1, false, true, 0}, {noIncarnation, 0, true, true, 9 * time.Second}, {startedAt(8 * time.Second), 1, false, false, time.Second},
		},
		"removal of a later process while an earlier one is known": {
			{first, 1, false, true, 0}, {startedAt(8 * time.Second), 0, true, true, 9 * time.Second}, {startedAt(8 * time.Second), 1, false, false, time.Second},
		},
		"removal of a later process with the same ID": {{newBackend("i-1", "a:1", 300), 0, true, false, 0}, {first, 9, false, false, 0}},
		"removal before any heartbeat":                {{first, 0, true, false, 0}, {first, 1, false, false, 0}},
	} {
		table, now := New(), start
		for n, s := range steps {
			got := false
			now = now.Add(s.wait)
			if s.remove {
				got = table.Remove(now, s.backend.ID, s.backend.Incarnation)
			} else {
				got = table.Accept(now, s.backend, s.sequence)
			}
			if got != s.want {
				t.Errorf("%s, step %d: got %t", name, n, got)
			}
		}
	}
}
