// Package participant takes part in roll-outs for one daemon: it reports what the daemon's guard has counted to the
// daemon that conducts an order, keeps the grants that come back, and conducts orders itself where it is the one to.
//
// The first serving daemon in an order that depends on the service conducts; a daemon whose reports it doesn't take
// reports to the next one, which then conducts too. Packages exposure, tally and conductor decide; this package makes
// the calls.
//
// # Usage
//
//	p := participant.New(participant.Options{Self: id, Mesh: m, Fleet: f, Store: s, Uptime: uptime, ...})
//	defer p.Close()
//	m.Register(participant.ServiceName, p.Receiver())
//	p.BackendChanged(b)
//	p.ListRead(orders, at)
//	if p.Allows(b) { p.Started(attempt, b, "visit-booking") }
//	p.Ended(attempt, verdict.OK)
//	standing, trial := p.Standing("rounds", "v2"), p.Trial("rounds")
package participant

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/verdict"
	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/rollout/conductor"
	"berylpass/rollout/exposure"
	"berylpass/rollout/order"
	"berylpass/rollout/tally"
)

const (
	// tickInterval is the time between two checks of what is due.
	tickInterval = 100 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 400 * time.Millisecond
	// writeTimeout bounds a write to the store.
	writeTimeout = 1500 * time.Millisecond
	// failedTime is how long a daemon that has not taken a report is passed over.
	failedTime = 3 * time.Second
	// askedTime is how long a daemon conducts after a report that came to it though it isn't the first to conduct.
	askedTime = 3 * time.Second
)

// Caller calls methods of other daemons.
type Caller interface {
	Call(ctx context.Context, to member.ID, method string, args, reply any) error
}

// Fleet is the part of the membership that a Participant uses.
type Fleet interface {
	// Members returns all daemons of the fleet, dead ones included.
	Members() []member.Member
	// Backends returns the backend servers of a service.
	Backends(service string) []backend.Backend
}

// Store writes the state of orders.
type Store interface {
	// WriteState writes the state on the condition that the order's object has not changed, and returns its revision.
	WriteState(ctx context.Context, o order.Order, state order.State) (revision uint64, err error)
}

// Observer is told what happens. Its methods must not block.
type Observer interface {
	// StepChanged is called when this daemon takes an order to another step.
	StepChanged(s conductor.StepChanged)
	// StateWritten is called when a write of an order's state has ended.
	StateWritten(o order.Order, state order.State, err error)
	// OutcomeLearnt is called once when this daemon learns how an order ended.
	OutcomeLearnt(o order.Order)
}

// Options configure a Participant. All but RefreshOrders and VersionsChanged must be set.
type Options struct {
	Self     member.ID
	Mesh     Caller
	Fleet    Fleet
	Store    Store
	Observer Observer
	Bounds   conductor.Bounds
	// Uptime is a monotonic clock that also counts the time for which the VM is suspended.
	Uptime func() time.Duration
	// RefreshOrders makes the list of orders be read soon.
	RefreshOrders func()
	// VersionsChanged is called when the standing of a service's versions may have changed.
	VersionsChanged func(service string)
}

// Trial says how a service's requests are shared with a version on trial.
type Trial struct {
	// Share is the share of the requests that go to it; 0 for none.
	Share float64
	// Focus are the backend servers that get FocusShare of these.
	Focus      []backend.ID
	FocusShare float64
}

// Participant is one daemon's part in the roll-outs. It is safe for concurrent use.
type Participant struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	// lists is the number of lists of orders that were passed on.
	lists atomic.Uint64
	// active is true while there is an order without an outcome.
	active atomic.Bool

	mu        sync.Mutex
	exposure  *exposure.Exposure
	tally     *tally.Tally
	conductor *conductor.Conductor
	// local holds the backend servers on this VM.
	local map[backend.ID]backend.Backend
	// reports holds the state of the reports for each order that has no outcome.
	reports map[order.Key]*reporting
	// asked holds the time of the last report from another daemon for each order.
	asked map[order.Key]time.Time
	// learnt holds the orders whose outcome the observer knows.
	learnt map[order.Key]order.State
}

// reporting is the state of a daemon's reports for an order.
type reporting struct {
	next time.Time
	busy bool
	// failures is the number of daemons that are passed over, since they have not taken a report; failedAt is when the
	// last one has not.
	failures int
	failedAt time.Time
	trial    Trial
}

// New returns a running Participant. The caller must call Close.
func New(o Options) *Participant {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Participant{
		options: o, ctx: ctx, cancel: cancel, tally: tally.New(), conductor: conductor.New(o.Bounds),
		local: map[backend.ID]backend.Backend{}, reports: map[order.Key]*reporting{}, asked: map[order.Key]time.Time{},
		learnt: map[order.Key]order.State{},
	}
	p.exposure = exposure.New(p.now())
	p.wait.Go(func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				p.tick()
			case <-ctx.Done():
				return
			}
		}
	})
	return p
}

// Close stops the goroutines of p and waits for them.
func (p *Participant) Close() {
	p.mu.Lock()
	p.cancel()
	p.mu.Unlock()
	p.wait.Wait()
}

// now returns the uptime as a time.
func (p *Participant) now() time.Time { return at(p.options.Uptime()) }

func at(uptime time.Duration) time.Time { return time.Unix(0, 0).Add(uptime) }

// BackendChanged records the state of a backend server of the fleet.
func (p *Participant) BackendChanged(b backend.Backend) {
	p.mu.Lock()
	if b.Member == p.options.Self {
		if b.State == backend.Serving {
			p.local[b.ID] = b
		} else {
			delete(p.local, b.ID)
		}
	}
	actions := p.exposure.Update(p.now(), exposure.ServerChanged{
		ID: b.ID, Service: b.Service, Version: b.Version, Serving: b.State == backend.Serving,
	})
	p.mu.Unlock()
	p.notify(actions)
}

// ListRead passes on a list of orders whose read began at an uptime. It doesn't wait for it to be applied. Lists must be
// passed on one after the other, the latest last.
func (p *Participant) ListRead(orders []order.Order, readAt time.Duration) {
	number := p.lists.Add(1)
	p.start(func() {
		p.mu.Lock()
		if number < p.lists.Load() {
			// A later list is on its way.
			p.mu.Unlock()
			return
		}
		actions := p.exposure.Update(p.now(), exposure.ListRead{Orders: orders, At: at(readAt)})
		p.ordersChanged()
		p.mu.Unlock()
		p.notify(actions)
	})
}

// Standing returns how a version of a service may be used.
func (p *Participant) Standing(service, version string) exposure.Standing {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exposure.Standing(service, version)
}

// Trial returns how a service's requests are shared with a version on trial.
func (p *Participant) Trial(service string) Trial {
	if !p.active.Load() {
		return Trial{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	share := p.exposure.Share(p.now(), service)
	if share <= 0 {
		return Trial{}
	}
	for key, r := range p.reports {
		if key.Service == service {
			t := r.trial
			t.Share = share
			return t
		}
	}
	return Trial{}
}

// Allows reports whether a backend server may get a request now.
func (p *Participant) Allows(b backend.Backend) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch p.exposure.Standing(b.Service, b.Version) {
	case exposure.Usual:
		return true
	case exposure.OnTrial:
		return p.exposure.Share(p.now(), b.Service) > 0
	case exposure.Withheld:
	}
	return false
}

// Started records that a request is sent to a backend server of this VM.
func (p *Participant) Started(attempt id.ID, b backend.Backend, route string) {
	if !p.active.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tally.Started(p.now(), attempt, b, route)
}

// Ended records how a request that was sent to a backend server of this VM ended.
func (p *Participant) Ended(attempt id.ID, v verdict.Verdict) {
	if !p.active.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tally.Ended(p.now(), attempt, v)
}

// OrderStatus is an order as operators see it.
type OrderStatus struct {
	Order order.Order
	// Step is the step if this daemon conducts the order; Conducts is false otherwise.
	Step     conductor.Step
	Conducts bool
	// Share is the share of this daemon's requests that goes to the new version.
	Share float64
}

// Status returns the state of all orders.
func (p *Participant) Status() []OrderStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []OrderStatus
	for _, o := range p.exposure.Orders() {
		s := OrderStatus{Order: o, Share: p.exposure.Share(p.now(), o.Service)}
		s.Step, s.Conducts = p.conductor.Step(o.Key())
		all = append(all, s)
	}
	return all
}

// ordersChanged applies the orders to the tally and the reports. The caller holds mu.
func (p *Participant) ordersChanged() {
	running, watched := p.exposure.Running(), map[string]order.Key{}
	next := map[order.Key]*reporting{}
	for _, o := range running {
		watched[o.Service] = o.Key()
		if next[o.Key()] = p.reports[o.Key()]; next[o.Key()] == nil {
			next[o.Key()] = &reporting{}
		}
	}
	p.reports = next
	p.tally.Watch(watched)
	p.active.Store(len(running) > 0)
	for _, o := range p.exposure.Orders() {
		if o.State.Final() && p.learnt[o.Key()] != o.State {
			p.learnt[o.Key()] = o.State
			p.options.Observer.OutcomeLearnt(o)
		}
	}
}

// notify calls VersionsChanged for the services of the actions. The caller doesn't hold mu.
func (p *Participant) notify(actions []decision.Action) {
	for _, action := range actions {
		if c, ok := action.(exposure.Changed); ok && p.options.VersionsChanged != nil {
			p.options.VersionsChanged(c.Service)
		}
	}
}

// tick lets time pass, conducts the orders that are this daemon's and sends the reports that are due.
func (p *Participant) tick() {
	now := p.now()
	p.mu.Lock()
	actions := p.exposure.Update(now, exposure.Tick{})
	orders := p.exposure.Orders()
	p.mu.Unlock()
	p.notify(actions)
	if len(orders) == 0 {
		return
	}
	members := p.serving()
	p.conduct(now, orders, members)
	p.report(now, orders, members)
}

// serving returns the IDs of the daemons that serve.
func (p *Participant) serving() []member.ID {
	var ids []member.ID
	for _, m := range p.options.Fleet.Members() {
		if m.State == member.Serving {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// candidates returns the daemons in the order in which they conduct a service's orders.
func candidates(service string, members []member.ID) []member.ID {
	rank := func(m member.ID) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(service + "/" + string(m)))
		return h.Sum64()
	}
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b member.ID) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
	return sorted
}
