package roster

import (
	"fmt"
	"testing"
	"time"

	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// twoRegions has two data centres in each of two regions.
var twoRegions = map[string]string{"dc-0": "east", "dc-1": "west", "dc-2": "east", "dc-3": "west"}

// newRegionalFleet starts size daemons in four data centres, with a backend server each, and waits until their tables are
// equal. The daemons know the regions only if aware is set.
func newRegionalFleet(t *testing.T, size int, aware bool) *network {
	t.Helper()
	n := newNetwork(uint64(size))
	n.places = twoRegions
	if aware {
		n.regions = twoRegions
	}
	for i := range size {
		id := member.ID(fmt.Sprintf("vm-%03d", i))
		n.update(n.start(id, fmt.Sprintf("dc-%d", i%4)), BackendSet{Backend: newBackend(id, 0)})
	}
	t.Logf("%d daemons converged after %v", size, waitUntilConverged(t, n))
	return n
}

// cutRegions cuts the link between the regions, or restores it.
func (n *network) cutRegions(cut bool) {
	for _, a := range n.order {
		for _, b := range n.order {
			if n.places[n.hosts[a].datacentre] != n.places[n.hosts[b].datacentre] {
				n.cut[[2]member.ID{a, b}] = cut
			}
		}
	}
}

// drain makes the backend server of a daemon drain and returns how long that takes to be known everywhere.
func (n *network) drain(t *testing.T, id member.ID) time.Duration {
	t.Helper()
	n.update(n.hosts[id], BackendSet{Backend: newBackend(id, 0).WithState(backend.Draining)})
	took, ok := n.until(3*time.Second, 50*time.Millisecond, n.converged)
	if !ok {
		t.Errorf("a drain at %s did not spread within 3 s", id)
	}
	return took
}

// crossingOf returns the bytes that cross between the regions while 8 backend servers drain, one a second.
func crossingOf(t *testing.T, size int, aware bool) int {
	t.Helper()
	n := newRegionalFleet(t, size, aware)
	n.counting = true
	for i := range 8 {
		n.drain(t, member.ID(fmt.Sprintf("vm-%03d", i)))
		n.run(time.Second)
	}
	return n.crossing
}

// TestFewBytesCrossBetweenRegions checks that the traffic of the membership between two regions, with changes under way,
// is under a fifth of what it is if the daemons know no regions, and that it doesn't grow with the fleet as the rest does.
func TestFewBytesCrossBetweenRegions(t *testing.T) {
	unaware, small, large := crossingOf(t, 96, false), crossingOf(t, 96, true), crossingOf(t, 300, true)
	t.Logf("%d bytes at 96 daemons, %d at 300; %d at 96 without regions", small, large, unaware)
	if small == 0 || 5*small > unaware {
		t.Errorf("%d bytes crossed at 96 daemons, want under a fifth of the %d without regions", small, unaware)
	}
	if large > 2*small {
		t.Errorf("%d bytes crossed at 300 daemons, want at most twice the %d at 96", large, small)
	}
}

// TestChangesCrossRegionsDespiteFailures checks that a drain is known in both regions within 3 s while 3% of the messages
// are lost, while a bridge is paused for 8 s, and after all bridges of a region have crashed; and that the crashes are noticed.
func TestChangesCrossRegionsDespiteFailures(t *testing.T) {
	n := newRegionalFleet(t, 96, true)
	var bridges []*host
	for _, id := range n.order {
		if h := n.hosts[id]; len(h.roster.bridges) > 0 && n.places[h.datacentre] == "east" {
			bridges = append(bridges, h)
		}
	}
	if len(bridges) != 2*watchersPerDatacentre {
		t.Fatalf("%d bridges in a region of two data centres, want %d", len(bridges), 2*watchersPerDatacentre)
	}
	n.loss = 0.03
	n.drain(t, "vm-005")
	n.loss = 0
	bridges[0].paused = true
	n.drain2(t, "vm-010", bridges[0].id)
	n.run(7 * time.Second)
	n.resume(bridges[0])
	waitUntilConverged(t, n)
	for _, h := range bridges {
		n.crash(h.id)
	}
	n.drain2(t, "vm-014", "")
	t.Logf("crashes of all bridges noticed after %v", waitUntilConverged(t, n))
	n.drain(t, "vm-018")
}

// drain2 makes a backend server drain and checks that every daemon that is up, except one, knows it within 3 s.
func (n *network) drain2(t *testing.T, id, except member.ID) {
	t.Helper()
	n.update(n.hosts[id], BackendSet{Backend: newBackend(id, 0).WithState(backend.Draining)})
	unaware := member.ID("")
	if _, ok := n.until(3*time.Second, 50*time.Millisecond, func() bool {
		for _, other := range n.order {
			if n.hosts[other].up && other != except && !n.hosts[other].knowsDraining(id) {
				unaware = other
				return false
			}
		}
		return true
	}); !ok {
		t.Errorf("a drain at %s was not known at %s within 3 s", id, unaware)
	}
}

// knowsDraining reports whether the daemon knows that the backend server of another one drains.
func (h *host) knowsDraining(of member.ID) bool {
	for _, row := range h.roster.table.backends[of] {
		if row.backend().State == backend.Draining {
			return true
		}
	}
	return false
}

// TestCutRegionsServeOnAndRejoin cuts the link between two regions for 45 s while the store answers one of them. Daemons
// of the region with the store aren't isolated, changes spread within each region, and afterwards all know each other.
func TestCutRegionsServeOnAndRejoin(t *testing.T) {
	n := newRegionalFleet(t, 96, true)
	n.cutRegions(true)
	n.run(20 * time.Second)
	for _, id := range n.order {
		n.update(n.hosts[id], Tick{})
		if h := n.hosts[id]; n.places[h.datacentre] == "east" {
			n.update(h, StoreAnswered{CalledAt: n.now})
			if h.roster.Isolated(n.now) {
				t.Errorf("%s is isolated although the store answers it", id)
			}
		}
	}
	n.update(n.hosts["vm-002"], BackendSet{Backend: newBackend("vm-002", 0).WithState(backend.Draining)})
	n.run(3 * time.Second)
	for _, id := range n.order {
		if h := n.hosts[id]; n.places[h.datacentre] == "east" && !h.knowsDraining("vm-002") {
			t.Errorf("%s doesn't know of a drain in its own region", id)
		}
	}
	n.run(22 * time.Second)
	n.cutRegions(false)
	t.Logf("rejoined after %v", waitUntilConverged(t, n))
	for _, id := range n.order {
		if n.hosts[id].roster.Isolated(n.now) {
			t.Errorf("%s is isolated after the end of the cut", id)
		}
	}
}

// TestLostRegionIsNoticed checks that all daemons of a region that stops at once are dead within two minutes, although
// only the bridges probe them.
func TestLostRegionIsNoticed(t *testing.T) {
	n := newRegionalFleet(t, 96, true)
	for _, id := range n.order {
		if n.places[n.hosts[id].datacentre] == "west" {
			n.crash(id)
		}
	}
	t.Logf("the loss of a region noticed after %v", waitUntilConverged(t, n))
}

// TestScatteredDeathsAreNoLossOfARegion checks that deaths that are as frequent in both regions leave probes and gossip within
// the regions, while as many in the other region alone count as its loss, and that the loss ends late.
func TestScatteredDeathsAreNoLossOfARegion(t *testing.T) {
	n := newRegionalFleet(t, 96, true)
	r := n.hosts["vm-000"].roster
	kill := func(region string, share float64) {
		number := 0
		for i, id := range n.order {
			if row := r.table.members[id]; i > 0 && n.places[row.delta.Datacentre] == region {
				row.delta.State = uint8(member.Serving)
				if number++; float64(number) <= 48*share {
					row.delta.State = uint8(member.Dead)
				}
			}
		}
	}
	for _, step := range []struct {
		east, west float64
		regional   bool
	}{{0, 0, true}, {0.3, 0.3, true}, {0, 0.3, false}, {0, 0.08, false}, {0, 0.04, true}, {0, 0.08, true}, {0.3, 1, false}} {
		kill("east", step.east)
		kill("west", step.west)
		if _, _, ok := r.table.regionalSuccessors(r.self); ok != step.regional {
			t.Errorf("%.2f of the own and %.2f of the other region dead: within the regions %v, want %v", step.east, step.west, ok, step.regional)
		}
	}
}
