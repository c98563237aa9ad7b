// Package relay decides by which daemons the notices of one daemon reach all others: it
// sends them directly to the daemons of its own data centre, and in each other data centre
// to one daemon, the relay, which forwards them there.
//
// Relays limit the load when many backend servers of a large fleet change their state at
// once, because each change is sent to every daemon. Without relays each daemon would have
// a connection to each other one, and each change would be sent between data centres once
// for each daemon there.
//
// If regions are given, a notice crosses the link to another region once: to a relay there, which
// forwards it in the whole region.
//
// The relays are chosen by rendezvous hashing: a daemon keeps the same relays while they
// are serving and none joins that ranks before them, and different daemons use different
// relays. So there are few connections, and no relay forwards the notices of all daemons.
//
// # Usage
//
//	p := relay.New(self, members, regions)
//	for _, id := range p.Direct() { ... }
//	for _, candidates := range p.Candidates() { ... } // the first that takes the notice forwards it
//	for _, candidates := range p.Abroad() { ... }     // likewise, in its whole region
package relay

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"berylpass/fleet/member"
)

// maxCandidates is the maximum number of relays that are tried in one data centre or region.
const maxCandidates = 2

// Plan is the plan by which the notices of one daemon spread. The zero value sends them
// to no one.
type Plan struct {
	direct  []member.ID
	relayed [][]member.ID
	abroad  [][]member.ID
}

// New returns the plan of the daemon self for the given members of the fleet. Dead members
// receive nothing. Suspected and leaving ones are relays only after all serving ones of
// their data centre. Regions is the region of each data centre; nil if regions make no
// difference.
func New(self member.Member, members []member.Member, regions map[string]string) Plan {
	var r Plan
	remote, abroad := map[string][]member.Member{}, map[string][]member.Member{}
	for _, m := range members {
		switch {
		case m.ID == self.ID || m.State == member.Dead:
		case m.Datacentre == self.Datacentre:
			r.direct = append(r.direct, m.ID)
		case regions[m.Datacentre] != regions[self.Datacentre]:
			abroad[regions[m.Datacentre]] = append(abroad[regions[m.Datacentre]], m)
		default:
			remote[m.Datacentre] = append(remote[m.Datacentre], m)
		}
	}
	slices.Sort(r.direct)
	for _, datacentre := range slices.Sorted(maps.Keys(remote)) {
		r.relayed = append(r.relayed, candidates(self.ID, remote[datacentre]))
	}
	for _, region := range slices.Sorted(maps.Keys(abroad)) {
		r.abroad = append(r.abroad, candidates(self.ID, abroad[region]))
	}
	return r
}

// Direct returns the daemons to which notices are sent directly, ordered by ID.
func (p Plan) Direct() []member.ID { return p.direct }

// Candidates returns for each other data centre of the own region the candidates for the
// relay there, in the order in which they are to be tried.
func (p Plan) Candidates() [][]member.ID { return p.relayed }

// Abroad returns for each other region the candidates for the relay there, in the order in
// which they are to be tried. The relay of a region forwards a notice by its own plan, to
// the daemons of its data centre and the relays of its region's other ones.
func (p Plan) Abroad() [][]member.ID { return p.abroad }

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
