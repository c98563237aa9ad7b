// Package picker chooses the backend server for each attempt of an ingress.
//
// A Picker keeps a table of the backend servers of each service. It judges them by production traffic: by the
// reports of guards, which measure service times and errors on the VM of the backend server, and by the state
// of the network path from this ingress to each guard. A backend server is ejected as slow or failing only if
// it differs from its peers of the same service; if all are slow, none is ejected. A bad path ejects a backend
// server for this ingress only. An ejected backend server is put on trial after an ejection time that doubles
// while it flaps: it receives a small share of the requests, and is restored if they succeed. The floor of the
// service then decides which backend servers receive regular traffic; if they lack capacity, some that only their
// breakers exclude are added.
//
// With WithRegions, a request goes to its own region unless package spill lets it leave, and to its home regions only in
// any case. With WithExpectedCompletion, loads are weighed with the measured speed of each backend server.
//
// Among those, Pick chooses the less loaded of two random ones (M. Mitzenmacher, The Power of Two Choices in
// Randomized Load Balancing, 2001).
//
// # Usage
//
//	p := picker.New(seed)
//	p.Update(now, picker.ServiceUpdated{Service: s})
//	p.Update(now, picker.BackendUpdated{Backend: b, SameDatacentre: true, InService: true})
//	chosen, err := p.Pick(now, "rounds", nil) // errors.Is(err, picker.ErrNoBackend)
//	p.Update(now, picker.AttemptStarted{Attempt: id, Backend: chosen, Class: class.Transfer})
//	actions := p.Update(now, picker.AttemptEnded{Attempt: id, Backend: chosen, Verdict: verdict.OK, Report: &r})
//	actions = p.Update(now, picker.Tick{}) // every 100 to 250 ms
//
// Update returns the actions Ejected, Restored, Probe and RequestReport.
package picker

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"berylpass/choice/spill"
	"berylpass/config/service"
	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// Picker chooses backend servers. It does no I/O and is not safe for concurrent use.
type Picker struct {
	random  *rand.Rand
	servers map[backend.ID]*server
	paths   map[member.ID]*path
	groups  map[string]*group
	// groupOrder and pathOrder are sorted by service name and member ID, so that iteration is deterministic.
	groupOrder []*group
	pathOrder  []*path
	// lastProbeCheck is when the picker last checked whether a probe is due.
	lastProbeCheck time.Time
	// localFirst prefers backend servers in the ingress's own data centre unless remote ones are much less
	// loaded.
	localFirst bool
	// startPosition, in [0, 1), is where this ingress starts in the list of backend servers of its data centre
	// when it places requests that may run only once.
	startPosition float64
	// spill decides what leaves the own region; nil if regions make no difference. region is the name of the own region.
	spill  *spill.Spill
	region string
	// byCompletion places requests by expected completion.
	byCompletion bool
}

var _ decision.System = (*Picker)(nil)

// New returns a Picker without backend servers. The seed determines its random choices.
func New(seed uint64, options ...Option) *Picker {
	p := &Picker{
		random:  rand.New(rand.NewPCG(seed, seed)),
		servers: make(map[backend.ID]*server),
		paths:   make(map[member.ID]*path),
		groups:  make(map[string]*group),
	}
	p.startPosition = rand.New(rand.NewPCG(seed, ^seed)).Float64()
	for _, option := range options {
		option(p)
	}
	return p
}

// Option configures a Picker.
type Option func(*Picker)

// WithLocalFirst returns an Option that keeps requests in the ingress's own data centre unless remote backend
// servers are much less loaded.
func WithLocalFirst() Option { return func(p *Picker) { p.localFirst = true } }

// Update applies one event of this package and returns the resulting actions. It ignores events of other types.
func (p *Picker) Update(now time.Time, event decision.Event) []decision.Action {
	switch e := event.(type) {
	case BackendUpdated:
		p.updateBackend(now, e)
	case BackendRemoved:
		p.removeBackend(now, e.ID)
	case ServiceUpdated:
		if g := p.group(e.Service.Name); g.service != e.Service {
			g.service = e.Service
			g.invalidate()
		}
	case AttemptStarted:
		p.addInFlight(now, e)
	case AttemptDiscarded:
		p.removeInFlight(e.Attempt, e.Backend)
	case AttemptEnded:
		return p.observe(now, e)
	case ReportReceived:
		if s := p.servers[e.Backend]; s != nil {
			s.takeReport(now, e.Report)
			p.observeRegion(now, s)
		}
	case Tick:
		return p.tick(now)
	}
	return nil
}

// updateBackend adds or updates a backend server. If its incarnation has changed, its history is dropped.
func (p *Picker) updateBackend(now time.Time, e BackendUpdated) {
	s := p.servers[e.Backend.ID]
	if s != nil && (s.backend.Service != e.Backend.Service || s.backend.Member != e.Backend.Member) {
		p.removeBackend(now, e.Backend.ID)
		s = nil
	}
	if s != nil && s.unchanged(e) {
		return
	}
	g := p.group(e.Backend.Service)
	if s == nil {
		s = &server{group: g, path: p.path(e.Backend.Member), lastAnswer: now, lastPick: now}
		p.servers[e.Backend.ID] = s
		g.insert(s, e.Backend.ID)
		s.path.servers = append(s.path.servers, s)
	}
	if s.backend.Incarnation != e.Backend.Incarnation {
		s.reset(now)
	}
	s.backend = e.Backend
	s.datacentre, s.sameDatacentre, s.inService = e.Datacentre, e.SameDatacentre, e.InService
	s.sameVM, s.region, s.sameRegion = e.SameVM, e.Region, e.SameRegion
	if e.SameRegion {
		p.region = e.Region
	}
	g.invalidate()
}

func (p *Picker) removeBackend(_ time.Time, id backend.ID) {
	s := p.servers[id]
	if s == nil {
		return
	}
	delete(p.servers, id)
	s.group.inFlight -= len(s.inFlight)
	s.group.servers = slices.DeleteFunc(s.group.servers, func(o *server) bool { return o == s })
	s.group.invalidate()
	s.path.servers = slices.DeleteFunc(s.path.servers, func(o *server) bool { return o == s })
	if len(s.path.servers) == 0 {
		delete(p.paths, s.path.member)
		p.pathOrder = slices.DeleteFunc(p.pathOrder, func(o *path) bool { return o == s.path })
	}
}

// group returns the group of the service with the given name and creates it if necessary.
func (p *Picker) group(name string) *group {
	if g, ok := p.groups[name]; ok {
		return g
	}
	g := newGroup(service.New(name))
	g.byRegion = p.spill != nil
	p.groups[name] = g
	at, _ := slices.BinarySearchFunc(p.groupOrder, name, func(o *group, n string) int {
		return strings.Compare(o.service.Name, n)
	})
	p.groupOrder = slices.Insert(p.groupOrder, at, g)
	return g
}

// path returns the record of the path to a member's guard and creates it if necessary.
func (p *Picker) path(id member.ID) *path {
	if existing, ok := p.paths[id]; ok {
		return existing
	}
	created := &path{member: id}
	p.paths[id] = created
	at, _ := slices.BinarySearchFunc(p.pathOrder, id, func(o *path, m member.ID) int {
		return strings.Compare(string(o.member), string(m))
	})
	p.pathOrder = slices.Insert(p.pathOrder, at, created)
	return created
}
