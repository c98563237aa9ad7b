package picker

import (
	"fmt"
	"math"
	"slices"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/spill"
)

// crossingBytes is the number of bytes that a request without body costs between regions: its headers and those
// of its answer, as this daemon and the backend server write them, and their part of a connection's handshake.
const crossingBytes = 3 << 10

// WithRegions returns an Option that keeps requests in the ingress's own region unless s lets them leave. Without it
// regions make no difference.
func WithRegions(s *spill.Spill) Option { return func(p *Picker) { p.spill = s } }

// WithOwnRegion returns an Option that names the region of this ingress. Without it the name is learnt from backend servers
// there.
func WithOwnRegion(name string) Option { return func(p *Picker) { p.region = name } }

// mayServe reports whether the request may run at s: s is neither excluded nor outside the home regions.
func (r Request) mayServe(s *server) bool {
	return !slices.Contains(r.Exclude, s.backend.ID) && (r.HomeRegions == nil || slices.Contains(r.HomeRegions, s.region))
}

// allowed returns the servers at which the request may run.
func (r Request) allowed(servers []*server) []*server {
	if len(r.Exclude) == 0 && r.HomeRegions == nil {
		return servers
	}
	rest := make([]*server, 0, len(servers))
	for _, s := range servers {
		if r.mayServe(s) {
			rest = append(rest, s)
		}
	}
	return rest
}

// maySendTrial reports whether a request that serves as a trial may go to s. Trials don't leave the region: the ingresses
// there send them.
func (p *Picker) maySendTrial(s *server, req Request) bool {
	return req.mayServe(s) && (p.spill == nil || s.sameRegion)
}

// choose returns one of the candidates, which must not be empty: one of the own region, unless there is none or the
// request may leave the region.
func (p *Picker) choose(now time.Time, candidates []*server, req Request) (*server, error) {
	if p.spill == nil {
		return p.chooseAmong(now, candidates, req), nil
	}
	var here, there []*server
	for _, s := range candidates {
		if s.sameRegion {
			here = append(here, s)
		} else {
			there = append(there, s)
		}
	}
	var local *server
	q := spill.Request{Bytes: req.BodyBytes, LargeAnswer: req.LargeAnswer, Tried: len(req.Exclude) > 0, Here: math.Inf(1)}
	if len(here) > 0 {
		local = p.chooseAmong(now, here, req)
		q.Here = p.expectedLoad(now, local)
	}
	if len(there) == 0 {
		return local, nil
	}
	abroad := p.lessLoaded(now, there, req.Class)
	q.There = abroad.penalizedLoad(now)
	q.Exhausted = local == nil && p.refusedHere(req)
	q.Forced = local == nil && req.HomeRegions != nil && p.region != "" && !p.isHome(req)
	if !p.spill.Allow(now, req.Service, q) {
		if local == nil {
			return nil, fmt.Errorf("%w in this region of service %q, and no more may leave it", ErrNoBackend, req.Service)
		}
		return local, nil
	}
	p.spill.Left()
	if q.Forced {
		abroad.forcedPicks++
	} else {
		p.spill.Charge(now, crossingBytes+req.BodyBytes)
	}
	return abroad, nil
}

// refusedHere reports whether the own region has backend servers in use that could run the request but are excluded, because
// they have refused it.
func (p *Picker) refusedHere(req Request) bool {
	return p.isHome(req) && slices.ContainsFunc(p.groups[req.Service].active, func(s *server) bool {
		return s.sameRegion && slices.Contains(req.Exclude, s.backend.ID)
	})
}

// chooseAmong returns one of the servers, which must not be empty, without regard to regions.
func (p *Picker) chooseAmong(now time.Time, servers []*server, req Request) *server {
	switch {
	case len(servers) == 1:
		return servers[0]
	case p.localFirst:
		return p.pickLocalFirst(now, servers, req)
	}
	return p.lessLoaded(now, servers, req.Class)
}

// isHome reports whether the request may run in the region of this ingress.
func (p *Picker) isHome(req Request) bool {
	return req.HomeRegions == nil || slices.Contains(req.HomeRegions, p.region)
}

// expectedLoad returns the load of s with one more request, with the region's average in place of a report that is too
// old to tell.
func (p *Picker) expectedLoad(now time.Time, s *server) float64 {
	if now.Sub(s.reportAt) <= loadDecayTime {
		return s.penalizedLoad(now)
	}
	return max(s.penalizedLoad(now), p.spill.Load(now, s.backend.Service)+1/float64(s.slots()))
}

// observeRegion passes the average load of a region's backend servers in use to the spill after a report from one of them.
// Each counts once, by its last report: a full one answers soonest, with a refusal, and would count most otherwise.
func (p *Picker) observeRegion(now time.Time, s *server) {
	if p.spill == nil {
		return
	}
	sum, known := 0.0, 0
	for _, peer := range s.group.servers {
		if peer.sameRegion == s.sameRegion && peer.active && peer.report.Limit > 0 && now.Sub(peer.reportAt) <= loadDecayTime {
			sum += float64(peer.report.InUse+peer.report.Queued) / float64(peer.report.Limit)
			known++
		}
	}
	switch {
	case known == 0:
	case s.sameRegion:
		p.spill.Observe(now, s.backend.Service, sum/float64(known))
	default:
		p.spill.ObserveAbroad(now, s.backend.Service, sum/float64(known))
	}
}

// isForced reports whether an attempt in flight was sent to another region because the request must not run in this one.
func (s *server) isForced(attempt id.ID) bool {
	return slices.ContainsFunc(s.inFlight, func(f inFlightAttempt) bool { return f.attempt == attempt && f.forced })
}

// takeForcedPick reports whether an attempt that begins at s is one that PickFor was forced to send there.
func (s *server) takeForcedPick() bool {
	if s.forcedPicks == 0 {
		return false
	}
	s.forcedPicks--
	return true
}

// chargeAnswer charges the bytes of an answer that came from another region, unless its attempt was forced to go there.
func (p *Picker) chargeAnswer(now time.Time, s *server, e AttemptEnded) {
	if p.spill != nil && !s.sameRegion && e.AnswerBytes > 0 && !s.isForced(e.Attempt) {
		p.spill.Charge(now, e.AnswerBytes)
	}
}

// SetSpillRate sets the bytes a second that requests of this ingress may use between regions.
func (p *Picker) SetSpillRate(now time.Time, bytesPerSecond float64) {
	if p.spill != nil {
		p.spill.SetRate(now, bytesPerSecond)
	}
}

// RegionStatus is what leaves the region from this ingress, by service.
type RegionStatus struct {
	Service string `json:"service"`
	// Load is the average load of the region's backend servers in requests per slot, as reported lately; Fraction,
	// from 0 to 2, is how far requests are let out: up to 1 light ones, from there also heavy ones.
	Load     float64 `json:"load"`
	Fraction float64 `json:"fraction"`
}

// Spilled returns what has left the region since the start, and the state of each service.
func (p *Picker) Spilled(now time.Time) (spill.Counts, []RegionStatus) {
	if p.spill == nil {
		return spill.Counts{}, nil
	}
	var lines []RegionStatus
	for _, g := range p.groupOrder {
		name := g.service.Name
		lines = append(lines, RegionStatus{Service: name, Load: p.spill.Load(now, name), Fraction: p.spill.Fraction(now, name)})
	}
	return p.spill.Counts(), lines
}
