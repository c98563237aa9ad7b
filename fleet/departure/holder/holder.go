// Package holder decides which daemons hold copies of the departures that one daemon has
// acknowledged.
//
// The holders are chosen by rendezvous hashing and spread over the data centres, so that all
// daemons that know the same members choose the same ones, and the loss of a data centre
// leaves copies elsewhere. A departure counts as kept if Copies holders have it. A daemon that
// has heard Answers holders which haven't lost their copies in a restart has heard at least one of
// those that have it.
//
// # Usage
//
//	p := holder.New("vm-17", members)
//	for _, id := range p.Holders() { ... }
//	kept := copies >= p.Copies() // p.Copies() is 0 if there are no holders
package holder

import (
	"cmp"
	"hash/fnv"
	"slices"

	"berylpass/fleet/member"
)

const (
	// maxHolders is the maximum number of holders of one daemon's departures.
	maxHolders = 4
	// minCopies is the number of copies that make a departure kept, if there are as many
	// holders. It survives the loss of one holder together with the daemon itself.
	minCopies = 2
)

// Plan holds the holders of one daemon's departures.
type Plan struct {
	holders []member.ID
	// others is the number of other members that aren't dead.
	others int
}

// New returns the plan for the departures of a daemon, given the members of the fleet. Dead
// and leaving members hold nothing.
func New(daemon member.ID, members []member.Member) Plan {
	others := slices.DeleteFunc(slices.Clone(members), func(m member.Member) bool {
		return m.ID == daemon || m.State == member.Dead
	})
	p := Plan{others: len(others)}
	candidates := slices.DeleteFunc(others, func(m member.Member) bool { return m.State == member.Leaving })
	slices.SortFunc(candidates, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(weight(daemon, b.ID), weight(daemon, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	// The first candidate of each data centre comes before the second one of any.
	rank := map[member.ID]int{}
	seen := map[string]int{}
	for _, m := range candidates {
		rank[m.ID] = seen[m.Datacentre]
		seen[m.Datacentre]++
	}
	slices.SortStableFunc(candidates, func(a, b member.Member) int { return cmp.Compare(rank[a.ID], rank[b.ID]) })
	for _, m := range candidates[:min(len(candidates), maxHolders)] {
		p.holders = append(p.holders, m.ID)
	}
	return p
}

// Holders returns the daemons that hold the copies.
func (p Plan) Holders() []member.ID { return p.holders }

// Copies returns the number of holders that must have a departure before it counts as kept, 0
// if the daemon is alone. It may exceed the number of holders while members leave: a single copy
// suffices only in a fleet of two.
func (p Plan) Copies() int { return min(minCopies, p.others) }

// Answers returns the number of holders that must be heard so that one of those that have a
// kept departure is among them, 0 if there are no holders.
func (p Plan) Answers() int {
	if len(p.holders) == 0 {
		return 0
	}
	return max(1, len(p.holders)-p.Copies()+1)
}

// weight returns the rendezvous hash (FNV-1a) of the pair.
func weight(daemon, candidate member.ID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(daemon + "/" + candidate))
	return h.Sum64()
}
