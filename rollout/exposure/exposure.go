// Package exposure decides which backend servers a daemon may use while services move to new versions.
//
// A version that an order names as its target gets only the share of requests that the conductor has granted this
// daemon, and nothing once the grant has expired: a daemon that is cut off, was paused or has just started sends it
// nothing. A version that is new to its service waits until a list of orders has been read that is later than the
// version's first backend server, since an order may name it. All other versions serve as usual, so services
// without an order are not affected.
//
// This serves a fleet in which an unproven version must get a bounded share of all requests, also from daemons that
// have missed the order.
//
// # Usage
//
//	e := exposure.New(now)
//	e.Update(now, exposure.ServerChanged{ID: id, Service: "rounds", Version: "v2", Serving: true})
//	e.Update(now, exposure.ListRead{Orders: orders, At: start})
//	e.Update(now, exposure.Granted{Order: key, Share: 0.05, Until: now.Add(time.Second)})
//	standing := e.Standing(now, "rounds", "v2") // exposure.OnTrial
//	share := e.Share(now, "rounds")             // 0.05
//
// Update returns Changed for each service whose backend servers must be considered again. Times are readings of a
// clock that also counts the time for which the VM is suspended.
package exposure

import (
	"maps"
	"slices"
	"time"

	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/rollout/order"
	"berylpass/store/object"
)

const (
	// settleTime is the time after its start in which a daemon learns of the backend servers that were there before.
	settleTime = 5 * time.Second
	// oldListAge is the age of the latest list of orders from which the store seems to be away. Lists are read every
	// 1.5 s, and reach all daemons within a second.
	oldListAge = 3 * time.Second
)

// Standing is how a version may be used.
type Standing uint8

// The standings.
const (
	// Usual versions get requests as if there were no order.
	Usual Standing = iota
	// OnTrial versions get the share of requests that Share returns.
	OnTrial
	// Withheld versions get no request.
	Withheld
)

// ServerChanged reports the state of a backend server.
type ServerChanged struct {
	ID               backend.ID
	Service, Version string
	// Serving is false for one that drains or is gone.
	Serving bool
}

// ListRead passes on the list of all orders, whose read began at At.
type ListRead struct {
	Orders []order.Order
	At     time.Time
}

// Granted passes on what the conductor of an order allows.
type Granted struct {
	Order order.Key
	// State is order.RolledBack or order.Completed once the conductor knows it.
	State order.State
	// Share is the share of the service's requests that may go to the target version until Until.
	Share float64
	Until time.Time
}

// Tick lets time-dependent standings change.
type Tick struct{}

// Changed asks to consider all backend servers of a service again.
type Changed struct{ Service string }

// version identifies a version of a service.
type version struct{ service, name string }

// versionState is what the daemon knows of a version.
type versionState struct {
	firstSeen time.Time
	// cleared is true once a list of orders was read after firstSeen.
	cleared bool
	// withdrawn is true if an order named the version and was withdrawn before it was completed; retired if
	// another version has replaced it.
	withdrawn, retired bool
}

// grant is the last grant for an order.
type grant struct {
	share float64
	until time.Time
}

// Exposure is the state of one daemon. It is not safe for concurrent use.
type Exposure struct {
	started  time.Time
	listed   bool
	listAt   time.Time
	servers  map[backend.ID]ServerChanged
	versions map[version]*versionState
	orders   map[string]order.Order
	grants   map[order.Key]grant
	// told holds the outcomes that a conductor has decided and that need not be stored yet.
	told map[order.Key]order.State
	// outcomes holds the latest outcome of each order that is gone, by its key without the revision of its creation.
	outcomes map[order.Key]outcome
}

var _ decision.System = (*Exposure)(nil)

// New returns the state of a daemon that starts at now.
func New(now time.Time) *Exposure {
	return &Exposure{
		started: now, servers: map[backend.ID]ServerChanged{}, versions: map[version]*versionState{},
		orders: map[string]order.Order{}, grants: map[order.Key]grant{}, told: map[order.Key]order.State{}, outcomes: map[order.Key]outcome{},
	}
}

// Update applies one event of this package. It ignores events of other types.
func (e *Exposure) Update(now time.Time, event decision.Event) []decision.Action {
	changed := map[string]bool{}
	switch v := event.(type) {
	case ServerChanged:
		e.serverChanged(now, v, changed)
	case ListRead:
		e.listRead(now, v, changed)
	case Granted:
		e.granted(v, changed)
	case Tick:
		e.clear(now, changed)
	}
	var actions []decision.Action
	for _, service := range slices.Sorted(maps.Keys(changed)) {
		actions = append(actions, Changed{Service: service})
	}
	return actions
}

// Standing returns how a version of a service may be used.
func (e *Exposure) Standing(service, name string) Standing {
	if o, ok := e.orders[service]; ok && o.Target == name {
		switch e.state(o) {
		case order.Completed:
			return Usual
		case order.RolledBack:
			return Withheld
		case order.Pending, order.Running:
			return OnTrial
		}
	}
	s := e.versions[version{service, name}]
	switch {
	case s == nil || !s.cleared:
		return Withheld
	case (s.withdrawn || s.retired) && e.hasOther(service, name):
		return Withheld
	}
	return Usual
}

// Share returns the share of a service's requests that may go to the version on trial now.
func (e *Exposure) Share(now time.Time, service string) float64 {
	o, ok := e.orders[service]
	if !ok || e.state(o).Final() {
		return 0
	}
	if g := e.grants[o.Key()]; now.Before(g.until) {
		return g.share
	}
	return 0
}

// Running returns the orders that have no outcome, by service.
func (e *Exposure) Running() []order.Order {
	var running []order.Order
	for _, service := range slices.Sorted(maps.Keys(e.orders)) {
		if o := e.orders[service]; !o.State.Final() {
			running = append(running, o)
		}
	}
	return running
}

// Orders returns all orders with their state as far as this daemon knows it, by service.
func (e *Exposure) Orders() []order.Order {
	var all []order.Order
	for _, service := range slices.Sorted(maps.Keys(e.orders)) {
		o := e.orders[service]
		o.State = e.state(o)
		all = append(all, o)
	}
	return all
}

// Stored returns all orders with their stored state and their age now, by service.
func (e *Exposure) Stored(now time.Time) []order.Order {
	var all []order.Order
	for _, service := range slices.Sorted(maps.Keys(e.orders)) {
		o := e.orders[service]
		o.Age += now.Sub(e.listAt)
		all = append(all, o)
	}
	return all
}

// Told returns the outcome that a conductor has told, order.Pending if there is none.
func (e *Exposure) Told(key order.Key) order.State { return e.told[key] }

// state returns the stored state of an order or, before there is an outcome, what a conductor has told.
func (e *Exposure) state(o order.Order) order.State {
	if told, ok := e.told[o.Key()]; ok && !o.State.Final() {
		return told
	}
	return o.State
}

// serverChanged records a backend server and when its version was first seen.
func (e *Exposure) serverChanged(now time.Time, s ServerChanged, changed map[string]bool) {
	before, known := e.servers[s.ID]
	if known && before == s {
		return
	}
	if s.Serving {
		e.servers[s.ID] = s
	} else {
		delete(e.servers, s.ID)
	}
	key := version{s.Service, s.Version}
	if e.versions[key] == nil {
		e.versions[key] = &versionState{firstSeen: now}
		e.clear(now, changed)
	}
	if state := e.versions[key]; state.withdrawn || state.retired || known && e.anyHeldBack(s.Service) {
		changed[s.Service] = true
	}
}

// anyHeldBack reports whether a version of the service is withdrawn or retired.
func (e *Exposure) anyHeldBack(service string) bool {
	for key, s := range e.versions {
		if key.service == service && (s.withdrawn || s.retired) {
			return true
		}
	}
	return false
}

// hasOther reports whether the service has a serving backend server of another version that may be used.
func (e *Exposure) hasOther(service, name string) bool {
	for _, s := range e.servers {
		if s.Service != service || s.Version == name {
			continue
		}
		if o, ok := e.orders[service]; ok && o.Target == s.Version && e.state(o) != order.Completed {
			continue
		}
		if v := e.versions[version{service, s.Version}]; v != nil && v.cleared && !v.withdrawn && !v.retired {
			return true
		}
	}
	return false
}

// listRead replaces the orders.
func (e *Exposure) listRead(now time.Time, l ListRead, changed map[string]bool) {
	if e.listed && l.At.Before(e.listAt) {
		return
	}
	before := e.orders
	e.orders = map[string]order.Order{}
	for _, o := range l.Orders {
		if o.Check() == nil {
			e.orders[o.Service] = o
		}
	}
	for service, old := range before {
		if next, ok := e.orders[service]; !ok || next.Key() != old.Key() {
			e.forget(old, changed)
		}
	}
	for service, next := range e.orders {
		e.adoptOutcome(next)
		old, known := before[service]
		if !known || old.Key() != next.Key() || old.State != next.State {
			changed[service] = true
		}
		if known && old.Key() == next.Key() && next.State == order.Completed && old.State != order.Completed {
			e.retireOthers(next)
		}
		if next.State.Final() {
			// The outcome stands, whatever the store shows later.
			e.told[next.Key()] = next.State
		}
		if s := e.versions[version{service, next.Target}]; s != nil {
			s.withdrawn, s.retired = false, false
		}
	}
	e.listed, e.listAt = true, l.At
	e.clear(now, changed)
}

// forget drops an order that was withdrawn or changed. A version that wasn't proven stays unused while there are
// others.
func (e *Exposure) forget(o order.Order, changed map[string]bool) {
	if s := e.versions[version{o.Service, o.Target}]; s != nil && e.state(o) != order.Completed {
		s.withdrawn = true
	}
	if state := e.state(o); state.Final() {
		e.outcomes[rewritable(o)] = outcome{state: state, era: object.EraOf(o.Revision)}
	}
	delete(e.grants, o.Key())
	delete(e.told, o.Key())
	changed[o.Service] = true
}

// outcome is the outcome of an order that is gone, and the era of the store that it was read in.
type outcome struct {
	state order.State
	era   uint64
}

// rewritable returns what stays the same of an order that its operators write again because the store has lost it.
func rewritable(o order.Order) order.Key {
	key := o.Key()
	key.Created = 0
	return key
}

// adoptOutcome gives an order of a later era the outcome that the same order had in an earlier one. In the same era
// it is a new order, which the operators have given after they withdrew the first.
func (e *Exposure) adoptOutcome(o order.Order) {
	if before, ok := e.outcomes[rewritable(o)]; ok && object.EraOf(o.Revision) > before.era && !o.State.Final() {
		e.told[o.Key()] = before.state
	}
}

// retireOthers retires the versions that a completed order has replaced. A version that comes later is none of them.
func (e *Exposure) retireOthers(o order.Order) {
	for key, s := range e.versions {
		if key.service == o.Service && key.name != o.Target {
			s.retired = true
		}
	}
}

// clear marks the versions that no order can restrict without this daemon's knowledge. A daemon that has just started
// also takes the version that most backend servers of a service have and, while the store is away, all that it finds:
// it would otherwise serve nothing until the next list is read. While the store is away, the only version that serves is
// used too.
func (e *Exposure) clear(now time.Time, changed map[string]bool) {
	if !e.listed {
		return
	}
	storeAway := now.Sub(e.listAt) > oldListAge
	for key, s := range e.versions {
		if s.cleared {
			continue
		}
		early := s.firstSeen.Sub(e.started) <= settleTime
		alone := e.serves(key) && !e.hasOther(key.service, key.name)
		if s.firstSeen.Before(e.listAt) || early && (storeAway || e.inMajority(key)) || storeAway && alone {
			s.cleared = true
			changed[key.service] = true
		}
	}
}

// serves reports whether a backend server of the version serves.
func (e *Exposure) serves(v version) bool {
	for _, s := range e.servers {
		if s.Service == v.service && s.Version == v.name {
			return true
		}
	}
	return false
}

// inMajority reports whether most backend servers of a service have the version.
func (e *Exposure) inMajority(v version) bool {
	have, all := 0, 0
	for _, s := range e.servers {
		if s.Service == v.service {
			all++
			if s.Version == v.name {
				have++
			}
		}
	}
	return 2*have > all
}

// granted records what a conductor allows. A stored outcome stands against it.
func (e *Exposure) granted(g Granted, changed map[string]bool) {
	o, ok := e.orders[g.Order.Service]
	if !ok || o.Key() != g.Order || o.State.Final() {
		return
	}
	e.grants[g.Order] = grant{share: g.Share, until: g.Until}
	if g.State.Final() && e.told[g.Order] != g.State {
		e.told[g.Order] = g.State
		changed[g.Order.Service] = true
		if g.State == order.Completed {
			e.retireOthers(o)
		}
	}
}
