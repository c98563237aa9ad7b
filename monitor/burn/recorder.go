// Package burn records the data for the burn rates of the routes' service level objectives.
//
// A Recorder counts requests by route and organisation, in ring buffers of time
// slots that cover the last six hours, and keeps the latest ejections. Its memory
// is bounded: beyond MaxSeries pairs of route and organisation, further pairs are
// counted together under Overflow. A Snapshot is a copy of a recorder's figures: a
// daemon serves it under /burn, it can be saved in a file, and package report reads
// it. Merge adds up the snapshots of several daemons.
//
// The time windows are those of multiwindow burn-rate alerts (Site Reliability Workbook,
// Beyer et al., chapter 5): 5 minutes with 1 hour, and 30 minutes with 6 hours.
//
// # Usage
//
//	r := burn.New(time.Now())
//	r.Record(time.Now(), burn.Sample{Route: "renewals", Organisation: "hope-bay", Objective: 0.999, Outcome: burn.InTime, Latency: d})
//	r.Eject(time.Now(), "club-office-3", "club-office", "slow", firstEvidence)
//	snapshot := r.Snapshot(time.Now())
package burn

import (
	"sync"
	"time"
)

// Bounds of what a recorder holds.
const (
	// MaxSeries is the number of pairs of route and organisation that are counted separately.
	MaxSeries = 50000
	// MaxRoutes is the number of routes with a latency distribution and a timeline.
	MaxRoutes = 10000
	// MaxEjections is the number of ejections kept; older ones are dropped.
	MaxEjections = 512
	// Overflow is the route, and the organisation, under which all further requests are counted.
	Overflow = "(others)"
)

// Sample is one request that has ended.
type Sample struct {
	Route string
	// Organisation is empty on a route open to all.
	Organisation string
	// Objective is the share of good requests that the route aims at, from 0 to 1; 0 for none.
	Objective float64
	Outcome   Outcome
	// Latency is the time from arrival to answer; it is counted only for answered requests.
	Latency time.Duration
}

// Ejection is one ejection of a backend server.
type Ejection struct {
	Backend string `json:"backend"`
	Service string `json:"service"`
	Reason  string `json:"reason"`
	// Since is when the evidence for the ejection began.
	Since time.Time `json:"since"`
	// At is the time of the ejection.
	At time.Time `json:"at"`
	// Restored is when the backend server got requests again; zero while it is ejected.
	Restored time.Time `json:"restored,omitzero"`
}

// DetectionTime returns the time from the first evidence to the ejection.
func (e Ejection) DetectionTime() time.Duration { return e.At.Sub(e.Since) }

// seriesKey identifies a series.
type seriesKey struct{ route, organisation string }

// Recorder counts requests. It is safe for concurrent use.
type Recorder struct {
	mu        sync.Mutex
	start     time.Time
	series    map[seriesKey]*series
	routes    map[string]*routeSeries
	ejections []Ejection
}

// New returns an empty recorder that starts at now.
func New(now time.Time) *Recorder {
	return &Recorder{start: now, series: map[seriesKey]*series{}, routes: map[string]*routeSeries{}}
}

// Record counts a request that ended at now. It ignores a sample with an invalid outcome.
func (r *Recorder) Record(now time.Time, s Sample) {
	if s.Outcome >= OutcomeCount {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seriesFor(now, s).add(now, s.Outcome)
	r.routeFor(s).add(now, s)
}

// Eject records that a backend server was ejected at now, on evidence that began at since.
func (r *Recorder) Eject(now time.Time, backend, service, reason string, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ejections) == MaxEjections {
		r.ejections = append(r.ejections[:0:0], r.ejections[1:]...)
	}
	r.ejections = append(r.ejections, Ejection{Backend: backend, Service: service, Reason: reason, Since: since, At: now})
}

// Restore records that an ejected backend server gets requests again from now on.
func (r *Recorder) Restore(now time.Time, backend string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.ejections) - 1; i >= 0; i-- {
		if r.ejections[i].Backend == backend {
			if r.ejections[i].Restored.IsZero() {
				r.ejections[i].Restored = now
			}
			return
		}
	}
}

// seriesFor returns the series that counts the sample: one for its route and
// organisation or, if there is no room, the one for Overflow. The caller holds r.mu.
func (r *Recorder) seriesFor(now time.Time, s Sample) *series {
	key := seriesKey{route: s.Route, organisation: s.Organisation}
	found, ok := r.series[key]
	if ok {
		return found
	}
	if len(r.series) >= MaxSeries {
		r.dropIdle(now)
	}
	if len(r.series) >= MaxSeries {
		key = seriesKey{route: Overflow, organisation: Overflow}
		if found, ok := r.series[key]; ok {
			return found
		}
	}
	found = &series{}
	r.series[key] = found
	return found
}

// dropIdle drops the series without a request in the last six hours. Since it visits
// all series, it runs at most once in a long slot while requests overflow.
func (r *Recorder) dropIdle(now time.Time) {
	overflow, ok := r.series[seriesKey{route: Overflow, organisation: Overflow}]
	if ok && overflow.longSlots.last == slotOf(now, longSlotWidth) {
		return
	}
	for key, s := range r.series {
		if slotOf(now, longSlotWidth)-s.longSlots.last >= ringSlots {
			delete(r.series, key)
		}
	}
}

// routeFor returns the figures of the sample's route or, if there is no room, those
// of Overflow. The caller holds r.mu.
func (r *Recorder) routeFor(s Sample) *routeSeries {
	name := s.Route
	found, ok := r.routes[name]
	if !ok && len(r.routes) >= MaxRoutes {
		name = Overflow
		found, ok = r.routes[name]
	}
	if !ok {
		found = &routeSeries{}
		r.routes[name] = found
	}
	return found
}
