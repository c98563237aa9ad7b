package roster

import (
	"testing"
	"time"

	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// waitUntilConverged runs the simulation until all tables are equal and returns the
// time taken.
func waitUntilConverged(t *testing.T, n *network) time.Duration {
	t.Helper()
	took, ok := n.until(2*time.Minute, 100*time.Millisecond, n.converged)
	if !ok {
		for _, id := range n.order {
			t.Logf("%s up=%v size=%d %v", id, n.hosts[id].up, n.hosts[id].roster.table.size, n.hosts[id].roster.Members())
		}
		t.Fatal("the tables did not converge within 2 minutes")
	}
	return took
}

// TestFleetConvergesAfterCrashAndRestart checks that a crashed daemon is removed from
// all tables and, after its restart, comes back without the backend servers that its
// earlier incarnation announced.
func TestFleetConvergesAfterCrashAndRestart(t *testing.T) {
	n := newFleet(1, 30, 3, 8)
	t.Logf("converged after %v", waitUntilConverged(t, n))
	if got := len(n.hosts["vm-000"].roster.Backends()); got != 240 {
		t.Fatalf("%d backend servers, want 240", got)
	}
	n.crash("vm-007")
	t.Logf("converged %v after the crash", waitUntilConverged(t, n))
	n.start("vm-007", "dc-1")
	t.Logf("converged %v after the restart", waitUntilConverged(t, n))
	if got := len(n.hosts["vm-000"].roster.Backends()); got != 232 {
		t.Errorf("%d backend servers after a restart, want 232: the new process has announced none", got)
	}
}

// TestLeavingAndDrainingSpreadWithinSeconds checks that planned changes reach the
// whole fleet within 3 s, so that no new work goes to a daemon that leaves.
func TestLeavingAndDrainingSpreadWithinSeconds(t *testing.T) {
	n := newFleet(2, 60, 3, 4)
	waitUntilConverged(t, n)
	h := n.hosts["vm-003"]
	n.update(h, BackendSet{Backend: newBackend("vm-003", 1).WithState(backend.Draining)})
	n.update(h, Leave{})
	took, ok := n.until(3*time.Second, 50*time.Millisecond, n.converged)
	if !ok {
		t.Fatal("the change did not spread within 3 s")
	}
	t.Logf("spread after %v", took)
	m, _ := n.hosts["vm-050"].roster.Member("vm-003")
	if m.State != member.Leaving {
		t.Errorf("state %v, want leaving", m.State)
	}
	n.update(h, Depart{})
	n.crash("vm-003")
	if _, ok := n.until(3*time.Second, 50*time.Millisecond, n.converged); !ok {
		t.Error("the departure did not spread within 3 s")
	}
	if _, listed := n.store["vm-003"]; listed {
		t.Error("the record of a departed daemon is still in the store")
	}
}

// TestOneWayPartitionsDoNotFlap checks that a daemon that can send but not receive is
// declared dead once and stays dead, and that a daemon whose messages don't reach half
// of the fleet stays a member.
func TestOneWayPartitionsDoNotFlap(t *testing.T) {
	n := newFleet(3, 20, 2, 1)
	waitUntilConverged(t, n)
	for _, id := range n.order {
		n.cut[[2]member.ID{id, "vm-004"}] = true
		n.cut[[2]member.ID{"vm-005", id}] = n.order[10] > id
	}
	changes := map[member.ID]int{}
	n.onAction = func(h *host, a decision.Action) {
		if c, ok := a.(MemberChanged); ok && h.id == "vm-015" && c.Member.State != member.Suspect {
			changes[c.Member.ID]++
		}
	}
	n.run(10 * time.Minute)
	observer := n.hosts["vm-015"].roster
	if m, ok := observer.Member("vm-004"); ok && m.State != member.Dead {
		t.Errorf("a daemon that receives nothing is %v, want dead", m.State)
	}
	if m, _ := observer.Member("vm-005"); m.State == member.Dead {
		t.Error("a daemon whose messages don't reach half of the fleet was declared dead")
	}
	if changes["vm-004"] > 1 {
		t.Errorf("the daemon that receives nothing changed state %d times, want at most once", changes["vm-004"])
	}
	for _, id := range n.order {
		delete(n.cut, [2]member.ID{id, "vm-004"})
		delete(n.cut, [2]member.ID{"vm-005", id})
	}
	waitUntilConverged(t, n)
}

// TestPartitionedRegionsRejoin partitions a third of the fleet from the rest for 20
// minutes during an outage of the store. The smaller part must be isolated, the larger
// one must not, and after the partition they must find each other by probes of dead
// members alone.
func TestPartitionedRegionsRejoin(t *testing.T) {
	n := newFleet(4, 30, 3, 2)
	waitUntilConverged(t, n)
	n.storeDown = true
	setCut := func(cut bool) {
		for i, a := range n.order {
			for j, b := range n.order {
				if (i%3 == 0) != (j%3 == 0) {
					n.cut[[2]member.ID{a, b}] = cut
				}
			}
		}
	}
	setCut(true)
	n.run(45 * time.Second)
	for i, id := range n.order {
		if got, want := n.hosts[id].roster.Isolated(n.now), i%3 == 0; got != want {
			t.Errorf("%s isolated: %v, want %v", id, got, want)
		}
	}
	n.run(20 * time.Minute)
	if !n.hosts["vm-000"].roster.Isolated(n.now) {
		t.Error("the smaller partition is no longer isolated during the outage of the store")
	}
	setCut(false)
	t.Logf("healed after %v", waitUntilConverged(t, n))
	for _, id := range n.order {
		if n.hosts[id].roster.Isolated(n.now) {
			t.Errorf("%s is isolated after the end of the partition", id)
		}
	}
}

// TestCutOffDaemonIsIsolatedAndRejoinsWithoutDeaths cuts one daemon off from the fleet
// and the store. It must be isolated within 8 s, and its view that all others are dead
// must not spread when it comes back.
func TestCutOffDaemonIsIsolatedAndRejoinsWithoutDeaths(t *testing.T) {
	n := newFleet(5, 40, 4, 1)
	waitUntilConverged(t, n)
	alone := n.hosts["vm-009"]
	alone.storeUnreachable = true
	for _, id := range n.order {
		n.cut[[2]member.ID{id, "vm-009"}] = id != "vm-009"
		n.cut[[2]member.ID{"vm-009", id}] = id != "vm-009"
	}
	took, ok := n.until(8*time.Second, 100*time.Millisecond, func() bool { return alone.roster.Isolated(n.now) })
	if !ok {
		t.Fatal("the daemon is not isolated within 8 s")
	}
	t.Logf("isolated after %v", took)
	n.run(5 * time.Minute)
	clear(n.cut)
	alone.storeUnreachable = false
	deaths := 0
	n.onAction = func(h *host, a decision.Action) {
		if c, ok := a.(MemberChanged); ok && c.Member.State == member.Dead && h != alone {
			deaths++
		}
	}
	t.Logf("healed after %v", waitUntilConverged(t, n))
	if deaths > 0 {
		t.Errorf("other daemons reported %d deaths after the daemon came back, want none", deaths)
	}
}

// TestPausedDaemonDoesNotDeclareOthersDead checks that a daemon whose open probes timed
// out while it was paused does not declare the probed members dead.
func TestPausedDaemonDoesNotDeclareOthersDead(t *testing.T) {
	n := newFleet(6, 20, 2, 1)
	waitUntilConverged(t, n)
	h := n.hosts["vm-002"]
	h.paused = true
	n.run(3 * time.Minute)
	deaths := 0
	n.onAction = func(_ *host, a decision.Action) {
		if c, ok := a.(MemberChanged); ok && c.Member.State == member.Dead {
			deaths++
		}
	}
	n.resume(h)
	waitUntilConverged(t, n)
	if deaths > 0 {
		t.Errorf("%d members declared dead after a pause, want none", deaths)
	}
}

// TestStaleStoreRecordsAreRemoved checks that a watcher removes the store's record of
// a daemon that is dead, and no others.
func TestStaleStoreRecordsAreRemoved(t *testing.T) {
	n := newNetwork(7)
	n.store["gone"] = Record{Member: member.New("gone", "dc-0").WithAddresses("gone:7001", "gone:7002").WithIncarnation(5), Version: 3}
	for _, id := range []member.ID{"a", "b", "c"} {
		n.start(id, "dc-0")
	}
	n.run(3 * time.Minute)
	if _, listed := n.store["gone"]; listed {
		t.Error("the record of a dead daemon is still in the store")
	}
	if len(n.store) != 3 {
		t.Errorf("%d records in the store, want 3", len(n.store))
	}
}

// TestJoinBySeedsDuringStoreOutage checks that a new daemon joins by its seeds alone.
func TestJoinBySeedsDuringStoreOutage(t *testing.T) {
	n := newFleet(8, 12, 2, 4)
	waitUntilConverged(t, n)
	n.storeDown = true
	n.start("vm-900", "dc-0", "vm-000:7001", "vm-001:7001")
	if took, ok := n.until(15*time.Second, 100*time.Millisecond, n.converged); !ok {
		t.Errorf("the tables did not converge within %v", took)
	}
}

// TestLaterProcessSupersedes checks that a daemon is told to end when another one with
// its ID and a higher incarnation, at another address, is in the fleet.
func TestLaterProcessSupersedes(t *testing.T) {
	n := newFleet(9, 3, 1, 0)
	waitUntilConverged(t, n)
	h := n.hosts["vm-001"]
	later := Delta{ID: "vm-001", Incarnation: h.roster.self.Incarnation + 1, Version: 1, Control: "elsewhere:1"}
	actions := h.roster.Update(n.now, Received{Message: Message{Kind: Push, From: "vm-002", Incarnation: n.hosts["vm-002"].roster.self.Incarnation, Deltas: []Delta{later}}})
	found := false
	for _, a := range actions {
		_, superseded := a.(Superseded)
		found = found || superseded
	}
	if !found {
		t.Error("no Superseded action")
	}
}

// TestWatchersThatLoseTheStoreAreReplaced makes the store unreachable for its watchers
// and for three quarters of the fleet. Others must take over watching, and the number
// of watchers must stay small.
func TestWatchersThatLoseTheStoreAreReplaced(t *testing.T) {
	n := newFleet(10, 40, 2, 0)
	waitUntilConverged(t, n)
	n.run(20 * time.Second)
	watching := func(reachingStore bool) int {
		count := 0
		for _, id := range n.order {
			if h := n.hosts[id]; h.watching && (!reachingStore || !h.storeUnreachable) {
				count++
			}
		}
		return count
	}
	if got := watching(false); got != 2*watchersPerDatacentre {
		t.Errorf("%d watchers, want %d", got, 2*watchersPerDatacentre)
	}
	for _, id := range n.order {
		n.hosts[id].storeUnreachable = n.hosts[id].watching || id < "vm-030"
	}
	took, ok := n.until(30*time.Second, 200*time.Millisecond, func() bool { return watching(true) > 0 })
	t.Logf("taken over after %v", took)
	if !ok {
		t.Fatal("no daemon that reaches the store watches it after 30 s")
	}
	n.run(30 * time.Second)
	for range 300 {
		n.run(time.Second)
		if reaching, all := watching(true), watching(false); reaching == 0 || all > 20 {
			t.Fatalf("%d watchers, of which %d reach the store", all, reaching)
		}
	}
}

// TestHelpersPreventSuspicionOverABrokenLink checks that a member that its prober can't
// reach is not suspected while helpers reach it.
func TestHelpersPreventSuspicionOverABrokenLink(t *testing.T) {
	n := newFleet(11, 12, 2, 0)
	waitUntilConverged(t, n)
	a, b := member.ID("vm-001"), n.hosts["vm-001"].roster.Neighbours()[0]
	n.cut[[2]member.ID{a, b}], n.cut[[2]member.ID{b, a}] = true, true
	n.run(10 * time.Minute)
	for _, id := range n.order {
		if suspicions := n.hosts[id].falseSuspicions; suspicions > 0 {
			t.Errorf("%s recorded %d false suspicions, want none", id, suspicions)
		}
	}
}

// TestMinorityPartitionStaysIsolated checks that the smaller part of a fleet, without
// the store, stays isolated beyond DeadRetention: it must not forget the larger part
// and take itself for the whole fleet.
func TestMinorityPartitionStaysIsolated(t *testing.T) {
	n := newFleet(12, 7, 1, 0)
	waitUntilConverged(t, n)
	n.storeDown = true
	for i, x := range n.order {
		for j, y := range n.order {
			n.cut[[2]member.ID{x, y}] = (i < 3) != (j < 3)
		}
	}
	n.run(DeadRetention + 10*time.Minute)
	for i, id := range n.order {
		if got, want := n.hosts[id].roster.Isolated(n.now), i < 3; got != want {
			t.Errorf("%s isolated: %v, want %v", id, got, want)
		}
	}
}

// TestDaemonRaisesIncarnationAboveEarlierRun restarts a daemon with its clock behind
// during an outage of the store. The fleet knows it by a higher incarnation than its
// own, which it must exceed instead of ending as superseded.
func TestDaemonRaisesIncarnationAboveEarlierRun(t *testing.T) {
	n := newFleet(8, 12, 2, 4)
	waitUntilConverged(t, n)
	n.storeDown = true
	n.crash("vm-003")
	n.run(time.Second)
	earlier := n.hosts["vm-003"].roster.self.Incarnation
	superseded, raised := 0, uint64(0)
	n.onAction = func(h *host, a decision.Action) {
		switch a := a.(type) {
		case Superseded:
			superseded++
		case IncarnationRaised:
			if h.id == "vm-003" {
				raised = a.Incarnation
			}
		}
	}
	h := n.startWithClockBehind("vm-003", "dc-0", 5*time.Second)
	b := newBackend("vm-003", 0)
	n.update(h, BackendSet{Backend: b})
	if took, ok := n.until(15*time.Second, 100*time.Millisecond, n.converged); !ok {
		t.Errorf("the tables did not converge within %v", took)
	}
	if superseded > 0 || raised <= earlier {
		t.Errorf("%d superseded, want none; incarnation raised to %d, want above %d", superseded, raised, earlier)
	}
	for _, other := range n.order {
		row := n.hosts[other].roster.table.backends["vm-003"][b.ID]
		if row == nil || row.gone() || row.delta.Incarnation != raised {
			t.Errorf("%s does not have the backend server of the restarted daemon", other)
		}
	}
}
