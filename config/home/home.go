// Package home says in which regions a request may run and its body may be kept.
//
// A route, an organisation or both may name home regions. Where both do, a request must keep
// to both, so only the regions that both name are left, possibly none.
//
// # Usage
//
//	h := home.New(r, o)
//	h.Allows("wielkopolska")
//	h.Regions() // nil if all are allowed
package home

import (
	"slices"

	"berylpass/config/organisation"
	"berylpass/config/route"
)

// Home is the set of the regions in which a request may run. The zero value holds all regions.
type Home struct {
	// regions are the allowed regions; nil for all, empty for none.
	regions []string
}

// New returns the home of the requests of an organisation on a route; the zero Organisation stands for a
// request without one.
func New(r route.Route, o organisation.Organisation) Home {
	switch {
	case len(r.HomeRegions) == 0 && len(o.HomeRegions) == 0:
		return Home{}
	case len(r.HomeRegions) == 0:
		return Home{regions: o.HomeRegions}
	case len(o.HomeRegions) == 0:
		return Home{regions: r.HomeRegions}
	}
	both := []string{}
	for _, region := range r.HomeRegions {
		if slices.Contains(o.HomeRegions, region) {
			both = append(both, region)
		}
	}
	return Home{regions: both}
}

// Allows reports whether a request may run in the region.
func (h Home) Allows(region string) bool {
	return h.regions == nil || slices.Contains(h.regions, region)
}

// Regions returns the allowed regions: nil if all are, empty if none is.
func (h Home) Regions() []string { return h.regions }
