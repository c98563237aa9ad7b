package picker

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"berylpass/choice/breaker"
	"berylpass/config/class"
	"berylpass/fleet/backend"
)

// ErrNoBackend reports that no backend server of a service can receive the request.
var ErrNoBackend = errors.New("no backend server available")

const (
	// loadDecayTime is the time constant with which a reported load loses weight.
	loadDecayTime = 2 * time.Second
	// remotePenalty is added to the load of a backend server in another data centre, as a share of its limit,
	// without WithLocalFirst.
	remotePenalty = 0.25
	// halfOpenPause is the time after a report in which a backend server whose breaker is in state
	// breaker.HalfOpen gets no trial request; openPause is the same for breaker.Open. The guard's pause between
	// trials grows from 300 ms to a second.
	halfOpenPause = 300 * time.Millisecond
	openPause     = 600 * time.Millisecond
	// maxPackedLoad is the load, as a share of the limit, up to which a backend server gets requests that may
	// run only once. The rest is left for calls that running requests make, and for load that this ingress has
	// not heard of yet.
	maxPackedLoad = 0.75
	// serversPerPart is the number of backend servers of a data centre that form one part. Ingresses that start
	// in the same part concentrate requests that may run only once on the same backend servers.
	serversPerPart = 8
	// localFirstPenalty is the load, as a share of the limit, by which a backend server in the own data centre
	// may exceed a remote one and still be chosen under WithLocalFirst; localFirstBodyPenalty is the same for
	// requests with bodies of more than localFirstBodyBytes.
	localFirstPenalty     = 0.6
	localFirstBodyPenalty = 1.5
	localFirstBodyBytes   = 8 << 10
	// trippedPenalty is the load, as a share of the limit, that is added for a backend server whose breaker is
	// not closed.
	trippedPenalty = 1
	// starvedAfter is the time without traffic after which any request may serve as a trial.
	starvedAfter = 2 * time.Second
	// maxTrippedShare is the upper bound on the share of requests that serve as trials of backend servers whose
	// breakers are not closed.
	maxTrippedShare = 0.4
	// trialShare is the traffic of a backend server on trial, as a share of what it would get if all had equal
	// parts.
	trialShare = 0.25
)

// Pick returns a backend server of the service for one attempt, none of those in exclude. Of two random ones it
// chooses the less loaded. Its error wraps ErrNoBackend.
func (p *Picker) Pick(now time.Time, service string, exclude []backend.ID) (backend.ID, error) {
	return p.PickFor(now, Request{Service: service, Exclude: exclude, MayBeTrial: true})
}

// Request describes the request for which a backend server is chosen.
type Request struct {
	Service string
	// Exclude lists backend servers that must not be chosen.
	Exclude []backend.ID
	// MayBeTrial reports whether the request may run more than once and would be retried if it fails, so that it
	// can serve as a trial of a backend server whose breaker is not closed. Any request can go to one that is on
	// trial after an ejection.
	MayBeTrial bool
	// RunOnce reports whether the request may run only once.
	RunOnce bool
	// Class is the class of the request.
	Class class.Class
	// BodyBytes is the length of the request body.
	BodyBytes int
	// LargeAnswer reports whether the answer is likely to be large.
	LargeAnswer bool
	// Priority ranks the request among others of its service; 0 is the most urgent.
	Priority int
	// HomeRegions are the only regions in which the request may run; nil for all. Empty and not nil allows none.
	HomeRegions []string
}

// PickFor returns a backend server for the request that req describes. Its error wraps ErrNoBackend.
func (p *Picker) PickFor(now time.Time, req Request) (backend.ID, error) {
	g := p.groups[req.Service]
	if g == nil {
		return "", fmt.Errorf("%w: service %q is unknown", ErrNoBackend, req.Service)
	}
	g.refresh()
	if s := g.pickOnSameVM(now, req); s != nil {
		return s.backend.ID, nil
	}
	if req.MayBeTrial {
		if s := p.pickTripped(now, g, req); s != nil {
			return s.backend.ID, nil
		}
	}
	if s := p.pickTrial(g, req); s != nil {
		return s.backend.ID, nil
	}
	candidates := req.allowed(g.active)
	if len(candidates) == 0 {
		return "", fmt.Errorf("%w of service %q, %d excluded", ErrNoBackend, req.Service, len(req.Exclude))
	}
	s, err := p.choose(now, candidates, req)
	if err != nil {
		return "", err
	}
	return s.backend.ID, nil
}

// lessLoaded returns the less loaded of two random servers, or the one with the earlier expected completion for a request of
// class c.
func (p *Picker) lessLoaded(now time.Time, servers []*server, c class.Class) *server {
	if len(servers) == 1 {
		return servers[0]
	}
	i := p.random.IntN(len(servers))
	j := p.random.IntN(len(servers) - 1)
	if j >= i {
		j++
	}
	if p.cost(now, servers[j], c) < p.cost(now, servers[i], c) {
		i = j
	}
	return servers[i]
}

// pickLocalFirst returns the less loaded of two random servers in the own data centre, unless the less loaded
// of two remote ones has a lower load even with the penalty for another data centre. The penalty exists because
// traffic between data centres is expensive, most of all large bodies; remote servers are used at all because
// those of one data centre may be loaded unevenly or fail. A request that may run only once goes to the first
// local server with capacity.
func (p *Picker) pickLocalFirst(now time.Time, candidates []*server, req Request) *server {
	var local, remote []*server
	for _, s := range candidates {
		if s.sameDatacentre {
			local = append(local, s)
		} else {
			remote = append(remote, s)
		}
	}
	if len(local) == 0 || len(remote) == 0 {
		return p.lessLoaded(now, candidates, req.Class)
	}
	if req.RunOnce && (!p.byCompletion || len(req.Exclude) == 0) {
		if s := firstWithCapacity(now, local, p.startPosition); s != nil {
			return s
		}
	}
	penalty := localFirstPenalty
	if req.BodyBytes > localFirstBodyBytes {
		penalty = localFirstBodyPenalty
	}
	l, r := p.lessLoaded(now, local, req.Class), p.lessLoaded(now, remote, req.Class)
	if p.effort(now, r, req.Class)+penalty < p.effort(now, l, req.Class) {
		return r
	}
	return l
}

// pickTrial returns, for a small random share of the requests, a backend server on trial that has no request of
// this ingress in flight.
func (p *Picker) pickTrial(g *group, req Request) *server {
	n := len(g.trials)
	if n == 0 {
		return nil
	}
	share := trialShare * float64(n) / float64(n+len(g.active))
	if p.random.Float64() >= share {
		return nil
	}
	s := g.trials[p.random.IntN(n)]
	if len(s.inFlight) > 0 || !p.maySendTrial(s, req) {
		return nil
	}
	return s
}

// pickOnSameVM returns a backend server on the same VM whose breaker is not closed and may admit a trial. It
// does so for every request that can serve as a trial, and for any other request if the backend server has had
// no traffic for starvedAfter, because its guard may then admit any request as a trial.
func (g *group) pickOnSameVM(now time.Time, req Request) *server {
	for _, s := range g.tripped {
		starved := now.Sub(s.lastPick) >= starvedAfter && now.Sub(s.reportAt) >= starvedAfter
		if s.sameVM && len(s.inFlight) == 0 && len(req.Exclude) == 0 && req.mayServe(s) && s.trialAllowed(now) && (req.MayBeTrial || starved) {
			return s
		}
	}
	return nil
}

// pickTripped returns one of the backend servers that only their breakers exclude, for at most maxTrippedShare
// of the requests, so that each of them gets trials.
func (p *Picker) pickTripped(now time.Time, g *group, req Request) *server {
	n := len(g.tripped)
	if n == 0 || len(req.Exclude) > 0 || p.random.Float64() >= min(maxTrippedShare, float64(n)/float64(n+len(g.active))) {
		return nil
	}
	first := p.random.IntN(n)
	for i := range n {
		s := g.tripped[(first+i)%n]
		if len(s.inFlight) == 0 && s.trialAllowed(now) && p.maySendTrial(s, req) {
			return s
		}
	}
	return nil
}

// trialAllowed reports whether the breaker of s may admit a trial again.
func (s *server) trialAllowed(now time.Time) bool {
	if s.report.Breaker == breaker.Open {
		return now.Sub(s.reportAt) >= openPause
	}
	return now.Sub(s.reportAt) >= halfOpenPause
}

// Forced reports whether a backend server receives regular traffic although its breaker is not closed.
func (p *Picker) Forced(of backend.ID) bool {
	s := p.refreshed(of)
	return s != nil && s.active && s.tripped()
}

// refreshed returns the server with the given ID after its group was refreshed, or nil.
func (p *Picker) refreshed(of backend.ID) *server {
	s := p.servers[of]
	if s != nil {
		s.group.refresh()
	}
	return s
}

// HasOther reports whether a backend server other than the chosen one receives regular traffic and could run the
// request in the region of the chosen one.
func (p *Picker) HasOther(req Request, chosen backend.ID) bool {
	g := p.groups[req.Service]
	if g == nil {
		return false
	}
	g.refresh()
	of := p.servers[chosen]
	return slices.ContainsFunc(g.active, func(s *server) bool {
		return s.backend.ID != chosen && req.mayServe(s) && (p.spill == nil || of == nil || s.sameRegion == of.sameRegion)
	})
}

// TrialOnly reports whether a backend server receives trial requests only.
func (p *Picker) TrialOnly(of backend.ID) bool {
	s := p.refreshed(of)
	return s != nil && !s.active
}

// firstWithCapacity returns the first server with capacity for one more request, or nil. The servers are
// divided into parts; an ingress starts with the part given by its position, in [0, 1), so that only some of
// the ingresses of a data centre share an order. If all did, too many would choose the same server before they
// hear of each other's requests.
//
// Each backend server fails for some seconds now and then, and a request that may run only once is lost if it
// is the first to meet such an episode. Concentrated on few backend servers, such requests meet few episodes;
// failures of the other backend servers are detected by requests that can be retried.
func firstWithCapacity(now time.Time, servers []*server, position float64) *server {
	parts := max(1, len(servers)/serversPerPart)
	start := int(position*float64(parts)) * len(servers) / parts
	for i := range servers {
		s := servers[(start+i)%len(servers)]
		if s.load(now) <= maxPackedLoad && s.report.Breaker == breaker.Closed {
			return s
		}
	}
	return nil
}

// cost returns the effort of a request of class c at s, plus remotePenalty if s is in another data centre.
func (p *Picker) cost(now time.Time, s *server, c class.Class) float64 {
	cost := p.effort(now, s, c)
	if !s.sameDatacentre {
		cost += remotePenalty
	}
	return cost
}

// penalizedLoad returns the load of s, plus trippedPenalty if its breaker is not closed: failed requests end soon
// and make a failing backend server look idle.
func (s *server) penalizedLoad(now time.Time) float64 {
	if s.tripped() {
		return s.load(now) + trippedPenalty
	}
	return s.load(now)
}

// load returns the expected load of s with one more request, as a share of its limit.
func (s *server) load(now time.Time) float64 {
	return (s.outstanding(now) + 1) / float64(s.limit(now))
}

// limit returns the number of requests that may run at s at once: as last reported, else its slots.
func (s *server) limit(now time.Time) int {
	if s.fresh(now) && s.report.Limit > 0 {
		return s.report.Limit
	}
	return s.slots()
}

// outstanding returns the expected number of requests that are queued or running at s.
func (s *server) outstanding(now time.Time) float64 {
	others := float64(s.report.InUse + s.report.Queued - s.inFlightAtReport)
	age := float64(max(0, now.Sub(s.reportAt))) / float64(loadDecayTime)
	return float64(len(s.inFlight)) + max(others, 0)*math.Exp(-age)
}
