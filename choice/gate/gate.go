// Package gate controls the admission of requests to the backend servers on a guard's VM.
//
// Each backend server has a concurrency limit, which ramps up after its start and falls when the backend server
// sheds, resets connections or slows down, and a queue that is fair between organisations. A request that
// cannot finish before it expires is shed early, as not run; so is a prompt request that would have to wait.
// Each Arrive is followed by exactly one Run, Shed or Withdrawn.
//
// With WithPrecedence, requests go by their urgency: calls of running requests before others, then level by level. This
// answers seconds with less room than requests, and runs that hold a slot while their calls wait: slots are kept for
// calls, a full queue makes room for a more urgent request, and what will not be answered any more because of these is
// shed while its caller still has time. Room tells ingresses how much room each level has.
//
// # Usage
//
//	g := gate.New()
//	g.Update(now, gate.BackendUpdated{Backend: b, InService: true})
//	actions := g.Update(now, gate.Arrive{ID: i, Backend: b.ID, Organisation: "srem", Class: class.Transfer, Expires: t})
//	actions = g.Update(now, gate.Finished{ID: i, Verdict: verdict.OK})
//	actions = g.Update(now, gate.Tick{}) // every 50 to 250 ms
//	r, ok := g.Report(now, b.ID)         // sent with each answer
package gate

import (
	"slices"
	"strings"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/report"
	"berylpass/config/service"
	"berylpass/decision"
	"berylpass/fleet/backend"
)

// Gate decides when requests run, wait or are shed. It does no I/O and is not safe for concurrent use.
type Gate struct {
	maxQueued int
	// precedence is set by WithPrecedence.
	precedence bool
	backends   map[backend.ID]*limitedBackend
	// order lists the backend servers by ID, so that iteration is deterministic.
	order    []*limitedBackend
	services map[string]service.Service
	// byAttempt maps each queued or running request to its backend server.
	byAttempt map[id.ID]*limitedBackend
}

var _ decision.System = (*Gate)(nil)

// Option configures a Gate.
type Option func(*Gate)

// WithMaxQueued returns an Option that sets the maximum number of requests queued for one backend server.
func WithMaxQueued(n int) Option { return func(g *Gate) { g.maxQueued = n } }

// WithPrecedence returns an Option that lets urgent requests go before less urgent ones, and keeps slots free for calls
// of running requests.
func WithPrecedence() Option { return func(g *Gate) { g.precedence = true } }

// New returns a Gate without backend servers.
func New(options ...Option) *Gate {
	g := &Gate{
		maxQueued: DefaultMaxQueued,
		backends:  make(map[backend.ID]*limitedBackend),
		services:  make(map[string]service.Service),
		byAttempt: make(map[id.ID]*limitedBackend),
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// Update applies one event of this package and returns the resulting actions. It ignores events of other types.
func (g *Gate) Update(now time.Time, event decision.Event) []decision.Action {
	switch e := event.(type) {
	case BackendUpdated:
		return g.updateBackend(now, e)
	case BackendRemoved:
		return g.removeBackend(now, e.ID)
	case ServiceUpdated:
		g.updateService(now, e.Service)
	case SlotsReported:
		if b := g.backends[e.Backend]; b != nil {
			b.reportedSlots = e.Slots
			b.resize(now, g.service(b.backend.Service))
		}
	case Arrive:
		return g.arrive(now, e)
	case Finished:
		if b := g.byAttempt[e.ID]; b != nil && b.isRunning(e.ID) {
			delete(g.byAttempt, e.ID)
			b.finish(now, e)
			return g.dropShed(b.startQueued(now))
		}
	case Withdraw:
		return g.withdraw(now, e.ID)
	case Tick:
		return g.tick(now)
	}
	return nil
}

// Report returns what the guard has measured at a backend server. It returns false if the backend server is
// unknown.
func (g *Gate) Report(now time.Time, of backend.ID) (report.Report, bool) {
	b := g.backends[of]
	if b == nil {
		return report.Report{}, false
	}
	return b.report(now), true
}

// updateBackend adds or updates a backend server.
func (g *Gate) updateBackend(now time.Time, e BackendUpdated) []decision.Action {
	s := g.service(e.Backend.Service)
	b := g.backends[e.Backend.ID]
	if b == nil {
		b = newLimitedBackend(now, e.Backend, s, g.maxQueued, g.precedence)
		g.backends[e.Backend.ID] = b
		at, _ := slices.BinarySearchFunc(g.order, e.Backend.ID, func(o *limitedBackend, n backend.ID) int {
			return strings.Compare(string(o.backend.ID), string(n))
		})
		g.order = slices.Insert(g.order, at, b)
	}
	if b.backend.Incarnation != e.Backend.Incarnation {
		b.reset(now, s)
	}
	b.backend, b.inService = e.Backend, e.InService
	if e.ColdUntil.After(b.coldUntil) {
		b.coldUntil = e.ColdUntil
	}
	b.resize(now, s)
	if !b.serving() {
		return g.dropShed(b.shedAll(now, NotServing))
	}
	return g.dropShed(b.startQueued(now))
}

// removeBackend removes a backend server and sheds its queue. Its running requests are kept until they finish.
func (g *Gate) removeBackend(now time.Time, of backend.ID) []decision.Action {
	b := g.backends[of]
	if b == nil {
		return nil
	}
	delete(g.backends, of)
	g.order = slices.DeleteFunc(g.order, func(o *limitedBackend) bool { return o == b })
	b.inService = false
	return g.dropShed(b.shedAll(now, NotServing))
}

// updateService stores the configuration of a service and applies it to its backend servers.
func (g *Gate) updateService(now time.Time, s service.Service) {
	g.services[s.Name] = s
	for _, b := range g.order {
		if b.backend.Service == s.Name {
			b.resize(now, s)
		}
	}
}

// service returns the configuration of a service, the default if none is known.
func (g *Gate) service(name string) service.Service {
	if s, ok := g.services[name]; ok {
		return s
	}
	return service.New(name)
}

// arrive admits, queues or sheds a request.
func (g *Gate) arrive(now time.Time, e Arrive) []decision.Action {
	if g.byAttempt[e.ID] != nil {
		return nil
	}
	b := g.backends[e.Backend]
	if b == nil {
		return []decision.Action{Shed{ID: e.ID, Reason: UnknownBackend}}
	}
	g.byAttempt[e.ID] = b
	return g.dropShed(b.arrive(now, e))
}

// withdraw removes a queued request.
func (g *Gate) withdraw(now time.Time, attempt id.ID) []decision.Action {
	b := g.byAttempt[attempt]
	if b == nil || b.isRunning(attempt) {
		return nil
	}
	b.queue.Remove(attempt)
	delete(g.byAttempt, attempt)
	return append([]decision.Action{Withdrawn{ID: attempt}}, g.dropShed(b.startQueued(now))...)
}

// tick sheds requests, starts queued ones and returns notices for all backend servers.
func (g *Gate) tick(now time.Time) []decision.Action {
	var actions []decision.Action
	for _, b := range g.order {
		actions = append(actions, b.shedUnservable(now)...)
		actions = append(actions, b.startQueued(now)...)
		actions = append(actions, b.notice(now)...)
	}
	return g.dropShed(actions)
}

// dropShed removes the requests that actions shed from byAttempt and returns the actions.
func (g *Gate) dropShed(actions []decision.Action) []decision.Action {
	for _, action := range actions {
		if s, ok := action.(Shed); ok {
			delete(g.byAttempt, s.ID)
		}
	}
	return actions
}
