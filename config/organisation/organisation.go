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

// ClassOf returns the class of the organisation's requests on a route whose class is c.
func (o Organisation) ClassOf(c class.Class) class.Class {
	if o.Class != nil {
		return *o.Class
	}
	return c
}
