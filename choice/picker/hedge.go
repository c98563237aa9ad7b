package picker

import (
	"fmt"
	"math"
	"time"

	"berylpass/choice/breaker"
	"berylpass/choice/probation"
	"berylpass/config/class"
	"berylpass/fleet/backend"
)

const (
	// hedgeQuantile is the standard normal quantile of the service time after which a request is hedged: 95 in
	// 100 requests take less.
	hedgeQuantile = 1.645
	// minHedgeSamples is the least effective number of service times over all backend servers from which the
	// quantile is estimated.
	minHedgeSamples = 40
	// maxHedgedLoad is the load of a service, as a share of its limit, above which no request is hedged: a hedge
	// must take a slot that would stay free, not one that another request is about to get.
	maxHedgedLoad = 0.6
)

// HedgeDelay returns the time after which a request of the class should also be sent to a second backend server,
// estimated from the levels that the guards report: an ingress of a large fleet sees too few answers itself. It
// reports false if too few service times are known.
func (p *Picker) HedgeDelay(now time.Time, service string, c class.Class) (time.Duration, bool) {
	g := p.groups[service]
	if g == nil {
		return 0, false
	}
	samples, mean, square := 0.0, 0.0, 0.0
	for _, s := range g.servers {
		l := s.report.Levels[c]
		if !s.serving() || !s.fresh(now) || l.Samples < minSamples {
			continue
		}
		m := math.Log(float64(l.Time))
		samples += l.Samples
		mean += l.Samples * m
		square += l.Samples * (m*m + l.Spread*l.Spread)
	}
	if samples < minHedgeSamples {
		return 0, false
	}
	mean /= samples
	deviation := math.Sqrt(max(0, square/samples-mean*mean))
	return time.Duration(math.Exp(mean + hedgeQuantile*deviation)), true
}

// PickHedge returns a backend server that is likely to answer a hedged request soon: in this region, with a closed
// breaker, a free slot and service times that are not above those of most others. Its error wraps ErrNoBackend;
// there is none while the service has no spare room.
func (p *Picker) PickHedge(now time.Time, req Request) (backend.ID, error) {
	g := p.groups[req.Service]
	if g == nil {
		return "", fmt.Errorf("%w: service %q is unknown", ErrNoBackend, req.Service)
	}
	g.refresh()
	if !g.hasSpareRoom(now) {
		return "", fmt.Errorf("%w of service %q: no spare room for a hedge", ErrNoBackend, req.Service)
	}
	typical := median(g.peerLevels(now).levels[req.Class])
	var candidates []*server
	for _, s := range g.active {
		if s.sameRegion && req.mayServe(s) && s.fastAndFree(now, req.Class, typical) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return "", fmt.Errorf("%w of service %q is free for a hedge", ErrNoBackend, req.Service)
	}
	return p.lessLoaded(now, candidates, req.Class).backend.ID, nil
}

// hasSpareRoom reports whether the load of the active servers is at most maxHedgedLoad.
func (g *group) hasSpareRoom(now time.Time) bool {
	load, limit := 0.0, 0
	for _, s := range g.active {
		load += s.outstanding(now)
		limit += s.limit(now)
	}
	return load <= maxHedgedLoad*float64(limit)
}

// fastAndFree reports whether s has a free slot, no sign of a fault, and a reported level of the class that is known
// and not above typical, the logarithm of a service time.
func (s *server) fastAndFree(now time.Time, c class.Class, typical float64) bool {
	l := s.report.Levels[c]
	return s.fresh(now) && s.report.Breaker == breaker.Closed && s.suspect == None &&
		s.probation.State == probation.Clear && s.path.probation.State == probation.Clear &&
		l.Samples >= minSamples && math.Log(float64(l.Time)) <= typical && s.load(now) <= 1
}
