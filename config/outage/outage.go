// Package outage decides which data centres count as out of service, from the lists that are
// read in the platform's store.
//
// A later list replaces an earlier one. After the store has gone on from an older copy (a new
// era, see object.VersionIn), a data centre that is missing from the list may be missing only
// because the store has lost the operators' entry. They write it again, but not at once. So it
// is held out of service until a list that is read HoldTime later doesn't name it either, or a
// list of the new era names it: from then on the lists alone count. Time alone doesn't end the
// hold, since the store may be away again. To leave a data centre in service too late costs capacity for some
// seconds; to put it back too early breaks a promise to the operators.
//
// # Usage
//
//	o := outage.Outages{}.With(now, outage.List{Names: names, AsOf: version, At: start})
//	if o.Known() {
//		out := o.Names()
//	}
//
// Times are readings of a monotonic clock. An Outages is immutable; the zero value knows of no
// list.
package outage

import (
	"slices"
	"time"

	"berylpass/store/object"
)

// HoldTime is how long a data centre stays out of service that the lists of a new era don't
// name. Operators write again within seconds what a store has lost.
const HoldTime = 10 * time.Second

// List is a list of the data centres out of service.
type List struct {
	Names []string
	// AsOf is the store's version as of which the list holds; 0 if it is unknown.
	AsOf uint64
	// At is the time at the start of the read that last confirmed the list.
	At time.Duration
}

// Outages is what is known of the data centres out of service.
type Outages struct {
	list List
	// held are the data centres that count as out of service although the list doesn't name them.
	// A list that is read from heldUntil on ends that.
	held      []string
	heldUntil time.Duration
}

// With returns the outages after a list was read, by this daemon or another one. A list that
// isn't later than the latest one changes nothing.
func (o Outages) With(now time.Duration, l List) Outages {
	if l.AsOf < o.list.AsOf || l.AsOf == o.list.AsOf && l.At <= o.list.At {
		return o
	}
	held, until := o.held, o.heldUntil
	if l.At >= until {
		held = nil
	}
	if o.Known() && object.EraOf(l.AsOf) > object.EraOf(o.list.AsOf) {
		held, until = o.Names(), now+HoldTime
	}
	o.list = l
	o.held, o.heldUntil = without(held, l.Names), until
	return o
}

// WithHeld returns the outages after another daemon has told that it holds data centres until the
// given time. asOf is the version of the list that it has.
func (o Outages) WithHeld(now time.Duration, asOf uint64, names []string, until time.Duration) Outages {
	if now >= until || object.EraOf(asOf) != object.EraOf(o.list.AsOf) {
		return o
	}
	added := without(without(names, o.list.Names), o.held)
	if len(added) > 0 {
		o.held, o.heldUntil = slices.Concat(o.held, added), max(o.heldUntil, until)
	}
	return o
}

// Known reports whether a list is known. A daemon without one must not assume that all data
// centres are in service.
func (o Outages) Known() bool { return o.list.AsOf > 0 }

// List returns the latest list.
func (o Outages) List() List { return o.list }

// Names returns the sorted names of the data centres that are out of service.
func (o Outages) Names() []string {
	return slices.Sorted(slices.Values(slices.Concat(o.list.Names, o.held)))
}

// Held returns the data centres that are held: until a list that is read at the given time or
// later doesn't name them either.
func (o Outages) Held() (names []string, until time.Duration) { return o.held, o.heldUntil }

// without returns the names that aren't in excluded.
func without(names, excluded []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(excluded, name) })
}
