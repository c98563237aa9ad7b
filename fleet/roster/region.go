package roster

import (
	"maps"
	"slices"

	"berylpass/fleet/member"
)

const (
	// bridgeRings is the number of rings on which a bridge has a successor in each other region.
	bridgeRings = 2
	// minRegionMembers is the least number of other live members in the own region that probe each other; with
	// fewer, a daemon probes members of all regions as if there were one.
	minRegionMembers = 3
	// lossShare is the share of another region's members, of those that did not depart, from which their deaths count as
	// the loss of the region or of the link. All daemons then probe members of all regions, because the few that bridges
	// probe would be declared dead one after the other.
	// The loss ends when the share has fallen to recoveryShare. Deaths that are as frequent in the own region, by up to
	// commonFactor, have another cause.
	lossShare     = 0.125
	recoveryShare = 0.05
	commonFactor  = 2
)

// WithRegions returns an Option that keeps probes and gossip within the regions, which are given by data centre. Only
// bridges probe members of other regions and push changes there: the first daemons of each data centre in the order of
// watchers, so that no agreement is needed.
func WithRegions(regions map[string]string) Option {
	return func(r *Roster) { r.table.regions = regions }
}

// regionalSuccessors returns the members to probe: the successors on the rings of the own region and, if this daemon is
// a bridge, some of each other region, which are also returned as bridges. It reports false if the regions make no difference.
func (t *table) regionalSuccessors(self Delta) (found, bridges []member.ID, ok bool) {
	if t.regions == nil {
		return nil, nil, false
	}
	byRegion, dead := map[string][]*memberRow{}, map[string]int{}
	for id, row := range t.members {
		region := t.regions[row.delta.Datacentre]
		switch {
		case id == self.ID:
		case row.alive():
			byRegion[region] = append(byRegion[region], row)
		case !row.delta.Left:
			dead[region]++
		}
	}
	own := t.regions[self.Datacentre]
	if len(byRegion[own]) < minRegionMembers {
		return nil, nil, false
	}
	if t.someRegionLost(own, byRegion, dead) {
		return nil, nil, false
	}
	found = ringSuccessors(self.ID, byRegion[own], ringCount)
	if t.watcherRank(self) >= watchersPerDatacentre {
		return found, nil, true
	}
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		if region != own {
			bridges = append(bridges, ringSuccessors(self.ID, byRegion[region], bridgeRings)...)
		}
	}
	return append(found, bridges...), bridges, true
}

// someRegionLost determines which other regions are lost, from the live rows and the numbers of dead ones by region, and
// reports whether any is.
func (t *table) someRegionLost(own string, alive map[string][]*memberRow, dead map[string]int) bool {
	lost := map[string]bool{}
	share := func(region string) float64 { return float64(dead[region]) / float64(dead[region]+len(alive[region])) }
	for region := range dead {
		share, here := share(region), share(own)
		if region != own && share > commonFactor*here && (share >= lossShare || share > recoveryShare && t.lostRegions[region]) {
			lost[region] = true
		}
	}
	t.lostRegions = lost
	return len(lost) > 0
}

// ringSuccessors returns the first of the rows after self on each of the first rings, without duplicates, in the order of
// the rings.
func ringSuccessors(self member.ID, rows []*memberRow, rings int) []member.ID {
	own := ringPositions(self)
	var found []member.ID
	for ring := range rings {
		var best *memberRow
		for _, row := range rows {
			if best == nil || row.positions[ring]-own[ring] < best.positions[ring]-own[ring] {
				best = row
			}
		}
		if best != nil && !slices.Contains(found, best.delta.ID) {
			found = append(found, best.delta.ID)
		}
	}
	return found
}

// pushTargets returns the neighbours to which new deltas are pushed: pushFanout random ones and, for a bridge, one of its
// neighbours in other regions, so that a change crosses the link once for each bridge.
func (r *Roster) pushTargets() []member.ID {
	var targets []member.ID
	for i, n := range r.random.Perm(len(r.neighbours)) {
		if i == pushFanout {
			break
		}
		targets = append(targets, r.neighbours[n])
	}
	if len(r.bridges) > 0 && !slices.ContainsFunc(targets, func(id member.ID) bool { return slices.Contains(r.bridges, id) }) {
		targets = append(targets, r.bridges[r.random.IntN(len(r.bridges))])
	}
	return targets
}
