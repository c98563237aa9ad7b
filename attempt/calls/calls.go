// Package calls records which services the requests of a route call while they run.
// A repeated run makes its calls again, and these count against the retry budget of
// the called service. A guard allows the run only if that budget suffices.
//
// # Usage
//
//	c := calls.New()
//	c.RecordRun("visits")              // a run of the route started
//	c.RecordCall("visits", "parcels") // it called a service
//	for _, service := range c.Services("visits") { ... }
package calls

import (
	"maps"
	"slices"
)

const (
	// halvingRuns is the number of runs of a route at which the counts of its runs and calls
	// are halved, so that older runs count less.
	halvingRuns = 64
	// minCalls is the least number of calls per run for a service to count as called. Rarer
	// calls come from unrelated requests that were taken for calls of a run.
	minCalls = 0.1
)

// Calls counts the runs of each route and the calls they made. It is not safe for concurrent use.
type Calls struct {
	routes map[string]*route
}

// route holds the weighted number of a route's runs, and of their calls by service.
type route struct {
	runs  float64
	calls map[string]float64
}

// New returns a Calls without any runs.
func New() *Calls { return &Calls{routes: map[string]*route{}} }

// RecordRun records a run of the named route.
func (c *Calls) RecordRun(name string) {
	r := c.route(name)
	r.runs++
	if r.runs < halvingRuns {
		return
	}
	r.runs /= 2
	for service := range r.calls {
		r.calls[service] /= 2
	}
}

// RecordCall records a call to a service that a run of the named route made.
func (c *Calls) RecordCall(name, service string) { c.route(name).calls[service]++ }

// Services returns the services that recent runs of the named route call, sorted by name.
func (c *Calls) Services(name string) []string {
	r, ok := c.routes[name]
	if !ok {
		return nil
	}
	var called []string
	for _, service := range slices.Sorted(maps.Keys(r.calls)) {
		if r.calls[service] >= minCalls*r.runs {
			called = append(called, service)
		}
	}
	return called
}

// route returns the counts of the named route and creates them if necessary.
func (c *Calls) route(name string) *route {
	r, ok := c.routes[name]
	if !ok {
		r = &route{calls: map[string]float64{}}
		c.routes[name] = r
	}
	return r
}
