package relay

import (
	"fmt"
	"slices"
	"testing"

	"berylpass/fleet/member"
)

// newFleet returns the members of a fleet with perDatacentre daemons in each data centre.
func newFleet(datacentres, perDatacentre int) []member.Member {
	var members []member.Member
	for d := range datacentres {
		for n := range perDatacentre {
			members = append(members, member.New(member.ID(fmt.Sprintf("vm-%d-%d", d, n)), fmt.Sprintf("dc-%d", d)))
		}
	}
	return members
}

// TestEachNoticeReachesEveryDaemonOnce follows a notice of every daemon of a fleet. Each
// other daemon must receive it exactly once, over a bounded number of connections between
// data centres, and no relay may forward the notices of too many daemons.
func TestEachNoticeReachesEveryDaemonOnce(t *testing.T) {
	const datacentres, perDatacentre = 4, 25
	members := newFleet(datacentres, perDatacentre)
	connections, relayedFor := map[[2]member.ID]bool{}, map[member.ID]int{}
	for _, self := range members {
		received := map[member.ID]int{}
		r := New(self, members, nil)
		for _, id := range r.Direct() {
			received[id]++
		}
		for _, candidates := range r.Candidates() {
			relay := candidates[0]
			connections[[2]member.ID{self.ID, relay}] = true
			relayedFor[relay]++
			at := slices.IndexFunc(members, func(m member.Member) bool { return m.ID == relay })
			received[relay]++
			for _, id := range New(members[at], members, nil).Direct() {
				received[id]++
			}
		}
		if len(received) != len(members)-1 {
			t.Fatalf("the notice of %s reached %d of %d daemons", self.ID, len(received), len(members)-1)
		}
		for id, n := range received {
			if n != 1 {
				t.Errorf("%s received %d notices of %s, want one", id, n, self.ID)
			}
		}
	}
	if want := datacentres * perDatacentre * (datacentres - 1); len(connections) > want {
		t.Errorf("%d connections between data centres, want at most one for each daemon and other data centre: %d", len(connections), want)
	}
	for id, n := range relayedFor {
		// If relays were chosen evenly, each would forward the notices of datacentres-1
		// daemons.
		if n > 5*(datacentres-1) {
			t.Errorf("%s forwards the notices of %d daemons", id, n)
		}
	}
}

// TestRelayCandidates checks that a relay that is dead, suspected or leaving is replaced
// by the second candidate, and that a suspected member is a relay if there is no other.
func TestRelayCandidates(t *testing.T) {
	members := newFleet(2, 4)
	self := members[0]
	first := New(self, members, nil).Candidates()[0]
	if len(first) != maxCandidates || first[0] == first[1] {
		t.Fatalf("candidates %v, want %d", first, maxCandidates)
	}
	for name, state := range map[string]member.State{"dead": member.Dead, "suspect": member.Suspect, "leaving": member.Leaving} {
		changed := slices.Clone(members)
		for i, m := range changed {
			if m.ID == first[0] {
				changed[i] = m.WithState(state)
			}
		}
		if got := New(self, changed, nil).Candidates()[0]; got[0] != first[1] {
			t.Errorf("with the first relay %s: %v, want %s first", name, got, first[1])
		}
	}
	withSuspectOnly := []member.Member{self, members[4].WithState(member.Suspect)}
	if got := New(self, withSuspectOnly, nil).Candidates(); len(got) != 1 || got[0][0] != members[4].ID {
		t.Errorf("with a suspected member only: %v, want that member", got)
	}
}

// TestEachNoticeCrossesToARegionOnce follows a notice of every daemon of a fleet in two regions of two data centres each.
// Each other daemon must receive it exactly once, and it must cross the link between the regions once.
func TestEachNoticeCrossesToARegionOnce(t *testing.T) {
	regions := map[string]string{"dc-0": "east", "dc-1": "west", "dc-2": "east", "dc-3": "west"}
	members := newFleet(4, 24)
	byID := map[member.ID]member.Member{}
	for _, m := range members {
		byID[m.ID] = m
	}
	for _, self := range members {
		received, crossed := map[member.ID]int{}, 0
		inDatacentre := func(of member.Member) {
			for _, id := range New(of, members, regions).Direct() {
				received[id]++
			}
		}
		inRegion := func(of member.Member) {
			for _, candidates := range New(of, members, regions).Candidates() {
				received[candidates[0]]++
				inDatacentre(byID[candidates[0]])
			}
			inDatacentre(of)
		}
		for _, candidates := range New(self, members, regions).Abroad() {
			crossed++
			received[candidates[0]]++
			inRegion(byID[candidates[0]])
		}
		inRegion(self)
		if crossed != 1 || len(received) != len(members)-1 {
			t.Fatalf("the notice of %s crossed %d times and reached %d of %d daemons", self.ID, crossed, len(received), len(members)-1)
		}
		for id, n := range received {
			if n != 1 {
				t.Errorf("%s received %d notices of %s, want one", id, n, self.ID)
			}
		}
	}
}
