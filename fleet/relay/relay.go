// Package relay decides by which daemons the notices of one daemon reach all others: it
// sends them directly to the daemons of its own data centre, and in each other data centre
// to one daemon, the relay, which forwards them there.
//
// Relays limit the load when many backend servers of a large fleet change their state at
// once, because each change is sent to every daemon. Without relays each daemon would have
// a connection to each other one, and each change would be sent between data centres once
// for each daemon there.
//
// The relays are chosen by rendezvous hashing: a daemon keeps the same relays while they
// are serving and none joins that ranks before them, and different daemons use different
// relays. So there are few connections, and no relay forwards the notices of all daemons.
//
// # Usage
//
//	p := relay.New(self, members)
//	for _, id := range p.Direct() { ... }
//	for _, candidates := range p.Candidates() { ... } // the first that takes the notice forwards it
package relay

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"berylpass/fleet/member"
)

// maxCandidates is the maximum number of relays that are tried in one data centre.
const maxCandidates = 2

// Plan is the plan by which the notices of one daemon spread. The zero value sends them
// to no one.
type Plan struct {
	direct  []member.ID
	relayed [][]member.ID
}

// New returns the plan of the daemon self for the given members of the fleet. Dead members
// receive nothing. Suspected and leaving ones are relays only after all serving ones of
// their data centre.
func New(self member.Member, members []member.Member) Plan {
	var r Plan
	remote := map[string][]member.Member{}
	for _, m := range members {
		switch {
		case m.ID == self.ID || m.State == member.Dead:
		case m.Datacentre == self.Datacentre:
			r.direct = append(r.direct, m.ID)
		default:
			remote[m.Datacentre] = append(remote[m.Datacentre], m)
		}
	}
	slices.Sort(r.direct)
	for _, datacentre := range slices.Sorted(maps.Keys(remote)) {
		r.relayed = append(r.relayed, candidates(self.ID, remote[datacentre]))
	}
	return r
}

// Direct returns the daemons to which notices are sent directly, ordered by ID.
func (p Plan) Direct() []member.ID { return p.direct }

// Candidates returns for each other data centre the candidates for the relay there, in the
// order in which they are to be tried.
func (p Plan) Candidates() [][]member.ID { return p.relayed }

// candidates returns the relays of the daemon self among the members of one data centre,
// chosen by rendezvous hashing. It sorts members in place.
func candidates(self member.ID, members []member.Member) []member.ID {
	slices.SortFunc(members, func(a, b member.Member) int {
		return cmp.Or(
			cmp.Compare(fallbackRank(a), fallbackRank(b)),
			cmp.Compare(weight(self, b.ID), weight(self, a.ID)),
			cmp.Compare(a.ID, b.ID))
	})
	var ids []member.ID
	for _, m := range members[:min(len(members), maxCandidates)] {
		ids = append(ids, m.ID)
	}
	return ids
}

// fallbackRank returns 0 for a serving member and 1 for one that is only tried after
// those.
func fallbackRank(m member.Member) int {
	if m.State == member.Serving {
		return 0
	}
	return 1
}

// weight returns the rendezvous hash (FNV-1a) of the pair.
func weight(self, candidate member.ID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(self + "/" + candidate))
	return h.Sum64()
}
