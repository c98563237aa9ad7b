// Package tally counts, at a guard, the answers of backend servers whose service moves to another version.
//
// # Usage
//
//	t := tally.New()
//	t.Watch(map[string]order.Key{"rounds": key})
//	t.Started(now, attempt, b, "visit-booking")
//	t.Ended(now, attempt, verdict.OK)
//	reports := t.Reports(now, backends)
package tally

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/verdict"
	"berylpass/fleet/backend"
	"berylpass/rollout/evidence"
	"berylpass/rollout/order"
)

// Report is the count of one backend server.
type Report struct {
	evidence.Report
	Service, Version string
}

// Tally counts from the time on at which an order is watched. It is not safe for concurrent use.
type Tally struct {
	watched map[string]order.Key
	servers map[backend.ID]*server
	running map[id.ID]run
}

// server is the count of one backend server.
type server struct {
	backend backend.Backend
	since   time.Time
	sent    uint32
	cells   map[evidence.Cell]uint32
}

// run is a request that has been sent to a backend server.
type run struct {
	backend backend.ID
	route   string
	started time.Time
}

// New returns a tally that watches no order.
func New() *Tally {
	return &Tally{watched: map[string]order.Key{}, servers: map[backend.ID]*server{}, running: map[id.ID]run{}}
}

// Watch sets the orders that run, by service. The counts of a service start anew if its order is another one.
func (t *Tally) Watch(orders map[string]order.Key) {
	for of, s := range t.servers {
		if service := s.backend.Service; t.watched[service] != orders[service] {
			delete(t.servers, of)
			maps.DeleteFunc(t.running, func(_ id.ID, r run) bool { return r.backend == of })
		}
	}
	t.watched = maps.Clone(orders)
}

// Started records that a request is sent to a backend server.
func (t *Tally) Started(now time.Time, attempt id.ID, b backend.Backend, route string) {
	if _, ok := t.watched[b.Service]; !ok {
		return
	}
	s := t.servers[b.ID]
	if s == nil || s.backend.Incarnation != b.Incarnation {
		s = &server{since: now, cells: map[evidence.Cell]uint32{}}
		t.servers[b.ID] = s
	}
	s.backend = b
	s.sent++
	t.running[attempt] = run{backend: b.ID, route: route, started: now}
}

// Ended records how a request ended. Verdicts that say nothing about the backend server aren't counted.
func (t *Tally) Ended(now time.Time, attempt id.ID, v verdict.Verdict) {
	r, ok := t.running[attempt]
	if !ok {
		return
	}
	delete(t.running, attempt)
	s := t.servers[r.backend]
	if s == nil || v != verdict.OK && !v.Faulty() {
		return
	}
	s.cells[evidence.Cell{Route: r.route, Failed: v.Faulty(), Bucket: evidence.BucketOf(now.Sub(r.started))}]++
}

// Reports returns the counts of backend servers, also of those that got no request.
func (t *Tally) Reports(now time.Time, backends []backend.Backend) []Report {
	reports := make([]Report, 0, len(backends))
	for _, b := range backends {
		r := Report{Service: b.Service, Version: b.Version, Report: evidence.Report{Server: b.ID, Incarnation: b.Incarnation}}
		if s := t.servers[b.ID]; s != nil && s.backend.Incarnation == b.Incarnation {
			r.Since, r.Sent, r.Cells, r.Running = s.since.UnixNano(), s.sent, sorted(s.cells), sorted(t.runningAt(now, b.ID))
		}
		reports = append(reports, r)
	}
	return reports
}

// runningAt counts the requests that run at a backend server, by the time for which they have run.
func (t *Tally) runningAt(now time.Time, of backend.ID) map[evidence.Cell]uint32 {
	cells := map[evidence.Cell]uint32{}
	for _, r := range t.running {
		if r.backend == of {
			cells[evidence.Cell{Route: r.route, Bucket: evidence.BucketOf(now.Sub(r.started))}]++
		}
	}
	return cells
}

// sorted returns the cells with their counts, in order.
func sorted(counts map[evidence.Cell]uint32) []evidence.Cell {
	cells := make([]evidence.Cell, 0, len(counts))
	for c, n := range counts {
		c.Count = n
		cells = append(cells, c)
	}
	slices.SortFunc(cells, func(a, b evidence.Cell) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Bucket, b.Bucket), cmp.Compare(b2i(a.Failed), b2i(b.Failed)))
	})
	return cells
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
