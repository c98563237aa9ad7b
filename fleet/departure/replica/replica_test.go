package replica

import (
	"fmt"
	"testing"
	"time"

	"berylpass/fleet/backend"
	"berylpass/fleet/departure"
)

// TestReplicaHoldsDeparturesOfEachDaemon checks that copies are found by daemon, that a
// repeated one is held once, and that old and surplus ones are dropped.
func TestReplicaHoldsDeparturesOfEachDaemon(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := New()
	for range 2 {
		r.Keep(now, "vm-1", departure.Process{ID: "i-1", Incarnation: 100})
	}
	r.Keep(now, "vm-2", departure.Process{ID: "i-1", Incarnation: 200})
	if got := r.Of(now, "vm-1"); len(got) != 1 || got[0].Incarnation != 100 {
		t.Errorf("vm-1: %v, want incarnation 100 of i-1", got)
	}
	if got := r.Of(now.Add(departure.MaxAge+time.Second), "vm-1"); len(got) != 0 {
		t.Errorf("after %s: %v, want none", departure.MaxAge, got)
	}
	for n := range maxProcesses + 10 {
		r.Keep(now, "vm-3", departure.Process{ID: backend.ID(fmt.Sprint("i-", n)), Incarnation: 1})
	}
	if got := r.Of(now, "vm-3"); len(got) != maxProcesses || got[0].ID != "i-10" {
		t.Errorf("%d copies, the first %v, want the last %d", len(got), got[0], maxProcesses)
	}
}
