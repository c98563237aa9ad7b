// Package organisation describes organisations, the tenants of the deployment: their keys
// and rate limits.
//
// # Usage
//
//	o := organisation.New("hope-bay-library").WithLimit(20, 40).WithKey(k)
package organisation

import (
	"slices"

	"berylpass/config/class"
	"berylpass/config/key"
)

// Organisation is a tenant of the deployment. In any window of t seconds, all
// VMs together run at most Burst + Rate*t of its requests, apart from the overshoot that the
// daemons' settings allow.
type Organisation struct {
	Name string
	// Rate is the sustained limit in requests per second.
	Rate float64
	// Burst is the number of requests allowed at once.
	Burst int
	// Keys are the keys in force, sorted by ID.
	Keys []key.Key
	// Class is the class of the organisation's requests instead of the route's; nil for the
	// route's.
	Class *class.Class
	// Priority is the priority of the organisation's requests instead of the route's; nil for the
	// route's.
	Priority *int
	// HomeRegions are the only regions in which the organisation's requests may run and their bodies
	// may be kept; empty for all. If the route has home regions too, both bind.
	HomeRegions []string
}

// New returns an organisation without keys and with a rate and burst of 0.
func New(name string) Organisation { return Organisation{Name: name} }

// WithLimit returns a copy with the rate in requests per second and the burst in requests.
func (o Organisation) WithLimit(rate float64, burst int) Organisation {
	o.Rate, o.Burst = rate, burst
	return o
}

// WithKey returns a copy with the key k added, in place of an earlier key with the same ID.
func (o Organisation) WithKey(k key.Key) Organisation {
	o = o.WithoutKey(k.ID)
	o.Keys = append(o.Keys, k)
	slices.SortFunc(o.Keys, func(a, b key.Key) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return o
}

// WithoutKey returns a copy without the key with the given ID.
func (o Organisation) WithoutKey(id string) Organisation {
	kept := make([]key.Key, 0, len(o.Keys))
	for _, k := range o.Keys {
		if k.ID != id {
			kept = append(kept, k)
		}
	}
	o.Keys = kept
	return o
}

// WithClass returns a copy whose requests are of class c on every route.
func (o Organisation) WithClass(c class.Class) Organisation {
	o.Class = &c
	return o
}

// WithPriority returns a copy whose requests have the priority on every route; 0 is the most
// urgent.
func (o Organisation) WithPriority(priority int) Organisation {
	o.Priority = &priority
	return o
}

// PriorityOf returns the priority of the organisation's requests on a route whose priority is
// ofRoute.
func (o Organisation) PriorityOf(ofRoute int) int {
	if o.Priority != nil {
		return *o.Priority
	}
	return ofRoute
}

// WithHomeRegions returns a copy whose requests run in the named regions only; in all if there
// is no name.
func (o Organisation) WithHomeRegions(regions ...string) Organisation {
	o.HomeRegions = slices.Clone(regions)
	return o
}

// ClassOf returns the class of the organisation's requests on a route whose class is c.
func (o Organisation) ClassOf(c class.Class) class.Class {
	if o.Class != nil {
		return *o.Class
	}
	return c
}
