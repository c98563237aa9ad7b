// Package floor decides which backend servers of a service take work, after
// every reason for leaving one out has been counted.
//
// This is the only place that turns suspicion into exclusion, so no combination
// of reasons can take more capacity than the floor allows.
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

// Candidate is a backend server that is healthy capacity: it serves, and its data centre is in service.
type Candidate struct {
	ID backend.ID
	// Slots is its capacity.
	Slots int
	// Badness is zero if nothing speaks against it; the higher, the sooner it is left out.
	Badness float64
}

// Floor is the share of capacity that must stay in use.
type Floor struct {
	share float64
}

// New returns the floor for a share from 0 to 1; other values are clamped.
func New(share float64) Floor {
	return Floor{share: min(max(share, 0), 1)}
}

// Keep returns the candidates that take work: all without badness, then the
// least bad ones until their slots reach the share of all slots, and at least
// one if there is any. The order is by badness, then by ID.
func (f Floor) Keep(candidates []Candidate) []Candidate {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Badness, b.Badness), cmp.Compare(a.ID, b.ID))
	})
	total := 0
	for _, c := range sorted {
		total += max(c.Slots, 1)
	}
	required := f.share * float64(total)
	inUse := 0
	for i, c := range sorted {
		enough := i > 0 && float64(inUse) >= required
		if c.Badness > 0 && enough {
			return sorted[:i]
		}
		inUse += max(c.Slots, 1)
	}
	return sorted
}
