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

// Keep returns the candidates that stay in use: all with zero Severity, in the order in which they were given,
// then those with the least Severity, in ascending order of Severity and ID, until the slots reach the share of
// all slots; at least one if there is any. Only those with a Severity are sorted, usually a few.
func (f Floor) Keep(candidates []Candidate) []Candidate {
	kept := make([]Candidate, 0, len(candidates))
	var suspects []Candidate
	total, inUse := 0, 0
	for _, c := range candidates {
		total += max(c.Slots, 1)
		if c.Severity > 0 {
			suspects = append(suspects, c)
			continue
		}
		inUse += max(c.Slots, 1)
		kept = append(kept, c)
	}
	slices.SortFunc(suspects, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.ID, b.ID))
	})
	required := f.share * float64(total)
	for _, c := range suspects {
		if len(kept) > 0 && float64(inUse) >= required {
			break
		}
		inUse += max(c.Slots, 1)
		kept = append(kept, c)
	}
	return kept
}
