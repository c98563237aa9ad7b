package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// demandSpan is the time constant with which the requests of an organisation are counted.
	demandSpan = 5 * time.Second
	// maxOrganisations is the number of organisations that are counted one by one.
	maxOrganisations = 512
)

// demand counts the requests of each organisation, weighted by age.
type demand struct {
	counts map[string]float64
	at     time.Time
}

// add counts a request.
func (d *demand) add(now time.Time, organisation string) {
	if d.counts == nil {
		d.counts = map[string]float64{}
	}
	if age := now.Sub(d.at); age >= demandSpan/10 {
		factor := math.Exp(-age.Seconds() / demandSpan.Seconds())
		for o := range d.counts {
			d.counts[o] *= factor
		}
		maps.DeleteFunc(d.counts, func(_ string, n float64) bool { return n < 0.05 })
		d.at = now
	}
	if _, ok := d.counts[organisation]; !ok && len(d.counts) >= maxOrganisations {
		organisation = ""
	}
	d.counts[organisation]++
}

// certain returns how much of a count of n is unlikely to be chance: an ingress sees few requests of an organisation.
func certain(n float64) float64 { return max(n-math.Sqrt(n), 0.1) }

// part returns the share of an organisation's requests that is admitted if the share of all is: none of the
// organisations that are cut gets more than the others that are, and those that ask for less are not cut.
func (d *demand) part(organisation string, share float64) float64 {
	if share >= 1 {
		return 1
	}
	own, ok := d.counts[organisation]
	if !ok {
		own = d.counts[""]
	}
	// Sorted before they are summed, so that the sum doesn't depend on the order of the map.
	counts := slices.Sorted(maps.Values(d.counts))
	left := 0.0
	for i, n := range counts {
		counts[i] = certain(n)
		left += counts[i]
	}
	own = certain(own)
	slices.Sort(counts)
	left *= share
	for i, n := range counts {
		if part := left / float64(len(counts)-i); n >= part {
			return max(min(part/own, 1), leastShare)
		}
		left -= n
	}
	return 1
}
