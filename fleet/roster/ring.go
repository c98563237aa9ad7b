package roster

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"berylpass/fleet/member"
)

// ringCount is the number of hash rings that select the members to probe. Each member
// probes its successor on every ring, so each is probed by up to ringCount others
// over a fixed set of connections. The rings form an expander graph (Suresh et al.,
// "Stable and Consistent Membership at Scale with Rapid", 2018).
const ringCount = 8

// watchersPerDatacentre is the number of daemons per data centre that watch the store
// while it is reachable.
const watchersPerDatacentre = 2

// ringPositions returns a member's positions on all rings.
func ringPositions(id member.ID) [ringCount]uint64 {
	var positions [ringCount]uint64
	for ring := range positions {
		positions[ring] = ringPosition(id, byte(ring))
	}
	return positions
}

// ringPosition returns a member's position on one ring.
func ringPosition(id member.ID, ring byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{ring})
	_, _ = h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix distributes similar hashes over the whole range (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// successors returns the first member on each ring after self that is not dead, without
// duplicates, in the order of the rings.
func (t *table) successors(self member.ID) []member.ID {
	own := ringPositions(self)
	var best [ringCount]*memberRow
	for id, row := range t.members {
		if id == self || !row.alive() {
			continue
		}
		for ring := range best {
			if best[ring] == nil || row.positions[ring]-own[ring] < best[ring].positions[ring]-own[ring] {
				best[ring] = row
			}
		}
	}
	seen := map[member.ID]bool{}
	var found []member.ID
	for _, row := range best {
		if row != nil && !seen[row.delta.ID] {
			seen[row.delta.ID] = true
			found = append(found, row.delta.ID)
		}
	}
	return found
}

// watcherRank returns the number of serving members of self's data centre that come
// before self in the order of watchers, the order of positions on the first ring.
func (t *table) watcherRank(self Delta) int {
	own := ringPosition(self.ID, 0)
	rank := 0
	for id, row := range t.members {
		if id == self.ID || row.state() != member.Serving || row.delta.Datacentre != self.Datacentre {
			continue
		}
		if row.positions[0] < own {
			rank++
		}
	}
	return rank
}

// firstWatchers returns the first watchersPerDatacentre serving members of each data
// centre in the order of watchers, without self: local those of self's data centre,
// remote those of all others.
func (t *table) firstWatchers(self Delta) (local, remote []member.ID) {
	byDatacentre := map[string][]*memberRow{}
	for _, row := range t.members {
		if row.state() == member.Serving {
			byDatacentre[row.delta.Datacentre] = append(byDatacentre[row.delta.Datacentre], row)
		}
	}
	for _, datacentre := range slices.Sorted(maps.Keys(byDatacentre)) {
		rows := byDatacentre[datacentre]
		slices.SortFunc(rows, func(a, b *memberRow) int { return cmp.Compare(a.positions[0], b.positions[0]) })
		for _, row := range rows[:min(len(rows), watchersPerDatacentre)] {
			switch {
			case row.delta.ID == self.ID:
			case datacentre == self.Datacentre:
				local = append(local, row.delta.ID)
			default:
				remote = append(remote, row.delta.ID)
			}
		}
	}
	return local, remote
}
