// Package floor decides which backend servers of a service receive regular traffic, after all other rules have
// decided which of them should be excluded.
//
// An ingress excludes backend servers that are ejected, on trial or behind a breaker that is not closed only
// through this package, so no combination of rules can remove more capacity than the floor allows.
//
// # Usage
//
//	kept := floor.New(0.5).Keep(candidates)
package floor

import (
	"cmp"
	"slices"

	"berylpass/fleet/backend"
)

// Candidate is a backend server that accepts requests and whose data centre is in service.
type Candidate struct {
	ID backend.ID
	// Slots is its capacity in concurrent requests.
	Slots int
	// Severity is zero if there is no reason to exclude the backend server. The higher it is, the sooner it is
	// excluded.
	Severity float64
}

// Floor is the minimum share of capacity that must stay in use.
type Floor struct {
	share float64
}

// New returns the Floor for a share from 0 to 1; other values are clamped.
func New(share float64) Floor {
	return Floor{share: min(max(share, 0), 1)}
}

// Keep returns the candidates that stay in use: all with zero Severity, then those with the least Severity until
// their slots reach the share of all slots, and at least one if there is any. They are sorted by Severity, then
// by ID.
func (f Floor) Keep(candidates []Candidate) []Candidate {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.ID, b.ID))
	})
	total := 0
	for _, c := range sorted {
		total += max(c.Slots, 1)
	}
	required := f.share * float64(total)
	inUse := 0
	for i, c := range sorted {
		reached := i > 0 && float64(inUse) >= required
		if c.Severity > 0 && reached {
			return sorted[:i]
		}
		inUse += max(c.Slots, 1)
	}
	return sorted
}
