package holder

import (
	"fmt"
	"testing"

	"berylpass/fleet/member"
)

// fleet returns n members in three data centres.
func fleet(n int) []member.Member {
	var members []member.Member
	for i := range n {
		members = append(members, member.New(member.ID(fmt.Sprint("vm-", i)), []string{"srem", "konin", "kalisz"}[i%3]))
	}
	return members
}

// TestAnswersMeetCopies checks that any daemons that hold a kept departure and any that must be
// heard after a restart have one in common.
func TestAnswersMeetCopies(t *testing.T) {
	for n := range 12 {
		p := New("vm-0", fleet(n))
		holders := len(p.Holders())
		if want := min(max(n-1, 0), maxHolders); holders != want {
			t.Errorf("%d members: %d holders, want %d", n, holders, want)
		}
		if holders > 0 && p.Copies()+p.Answers() <= holders {
			t.Errorf("%d holders: %d copies and %d answers need not meet", holders, p.Copies(), p.Answers())
		}
	}
}

// TestHoldersSpreadOverDatacentres checks that the loss of one data centre leaves enough
// copies, and that daemons which can't hold copies aren't chosen.
func TestHoldersSpreadOverDatacentres(t *testing.T) {
	members := fleet(30)
	for i := range members {
		daemon := members[i].ID
		p := New(daemon, members)
		datacentres := map[string]int{}
		for _, id := range p.Holders() {
			if id == daemon {
				t.Errorf("%s holds its own copies", daemon)
			}
			for _, m := range members {
				if m.ID == id {
					datacentres[m.Datacentre]++
				}
			}
		}
		if len(datacentres) != 3 {
			t.Errorf("%s: holders in %v, want all three data centres", daemon, datacentres)
		}
	}
	first := New("vm-0", members).Holders()[0]
	for i := range members {
		if members[i].ID == first {
			members[i] = members[i].WithState(member.Dead)
		}
	}
	for _, id := range New("vm-0", members).Holders() {
		if id == first {
			t.Errorf("the dead member %s is a holder", id)
		}
	}
}

// TestLeavingMembersLowerNoBound guards against a departure that is acknowledged with a single
// copy because all other members happen to leave: the loss of its one holder would lose it.
func TestLeavingMembersLowerNoBound(t *testing.T) {
	for _, test := range []struct {
		state           member.State
		copies, answers int
	}{
		{member.Serving, 2, 1},
		{member.Leaving, 2, 1},
		{member.Dead, 1, 1},
	} {
		members := fleet(3)
		members[2] = members[2].WithState(test.state)
		if p := New("vm-0", members); p.Copies() != test.copies || p.Answers() != test.answers {
			t.Errorf("one member serves, one is %v: %d copies, %d answers; want %d, %d", test.state, p.Copies(), p.Answers(), test.copies, test.answers)
		}
	}
}
