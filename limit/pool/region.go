package pool

import "berylpass/fleet/member"

// regionLossShare is the share of another region's members from which their deaths count as a cut of the link to it. The
// dead ones then stay holders until they are heard again or known to have left, because the region serves on and issues the
// tokens of its holders. Deaths that are as frequent in the own region, by up to commonFactor, have another cause.
const (
	regionLossShare = 0.125
	commonFactor    = 2
)

// cutRegions returns the other regions of whose members regionLossShare are dead; none if regions make no difference.
func (p *Pool) cutRegions(members []member.Member) map[string]bool {
	if p.regions == nil {
		return nil
	}
	own := ""
	known, dead := map[string]int{}, map[string]int{}
	for _, m := range members {
		region := p.regions[m.Datacentre]
		if m.ID == p.self {
			own = region
		}
		if m.State == member.Leaving || p.announcedLeave[m.ID] {
			continue
		}
		known[region]++
		if m.State == member.Dead {
			dead[region]++
		}
	}
	cut := map[string]bool{}
	share := func(region string) float64 { return float64(dead[region]) / float64(max(known[region], 1)) }
	for region := range dead {
		cut[region] = region != own && share(region) >= regionLossShare && share(region) > commonFactor*share(own)
	}
	return cut
}
