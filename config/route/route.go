// Package route describes which requests go to which service of backend servers, and under
// which conditions.
//
// # Usage
//
//	r := route.New("renewals", "club-office").
//		WithMatch("", "/renewals", "POST").
//		WithClass(class.Reservation).
//		WithDeadline(5 * time.Second)
//	ok := r.MatchesMethod("POST")
package route

import (
	"slices"
	"strings"
	"time"

	"berylpass/config/class"
)

// DefaultDeadline is the deadline of a new route.
const DefaultDeadline = 10 * time.Second

// DefaultMaxAttempts is the number of backend servers on which a request may run if its
// route's MaxAttempts is 0.
const DefaultMaxAttempts = 3

// Route says which requests it serves, by host, path and method, and which service runs them.
type Route struct {
	Name string
	// Service is the service that gets all requests unless Split shares them out.
	Service string
	// Host is the host of the requests, in lower case and without port; empty for any host.
	Host string
	// Prefix is the path prefix. It is compared with the path as the caller sent it, without decoding. One that ends
	// with a slash serves the paths that begin with it; any other one serves the path itself and those below it.
	Prefix string
	// Methods are the HTTP methods of the requests; empty for all.
	Methods []string
	// Repeatable reports whether a request may run more than once.
	Repeatable bool
	// Open reports whether the route accepts requests without a key.
	Open  bool
	Class class.Class
	// Deadline is the longest time for a request, from its arrival at the ingress to its
	// answer.
	Deadline time.Duration
	// Objective is the target share, from 0 to 1, of requests that are answered in time; 0
	// for none. The burn report uses it.
	Objective float64
	// MaxAttempts is the largest number of backend servers on which a request may run; 0 for
	// DefaultMaxAttempts.
	MaxAttempts int
	// TargetLatency is the latency up to which an answer counts as in time; 0 if the route
	// has no target.
	TargetLatency time.Duration
	// Split shares the requests out between services by weight; empty if all go to Service.
	Split []SplitPart
	// Priority ranks the route's requests while there is too little room for all; 0 is the most
	// urgent.
	Priority int
	// LargeAnswer reports whether answers are too large to be kept whole at each daemon.
	LargeAnswer bool
	// HomeRegions are the only regions in which requests may run and their bodies may be kept;
	// empty for all.
	HomeRegions []string
}

// SplitPart is the part of a split route's requests that goes to one service.
type SplitPart struct {
	Service string
	// Weight is the size of the part relative to the weights of the others.
	Weight int
}

// New returns a route of class.Transfer to a service: not repeatable, not open, for every
// host, path and method, with the default deadline.
func New(name, service string) Route {
	return Route{Name: name, Service: service, Prefix: "/", Class: class.Transfer, Deadline: DefaultDeadline}
}

// WithMatch returns a copy that serves the host, path prefix and methods. An empty host stands
// for any, no methods for all.
func (r Route) WithMatch(host, prefix string, methods ...string) Route {
	r.Host, r.Prefix, r.Methods = strings.ToLower(host), prefix, slices.Clone(methods)
	return r
}

// WithClass returns a copy whose requests are of class c.
func (r Route) WithClass(c class.Class) Route {
	r.Class = c
	return r
}

// WithRepeatable returns a copy with Repeatable set.
func (r Route) WithRepeatable(repeatable bool) Route {
	r.Repeatable = repeatable
	return r
}

// WithOpen returns a copy with Open set.
func (r Route) WithOpen(open bool) Route {
	r.Open = open
	return r
}

// WithDeadline returns a copy with the deadline d.
func (r Route) WithDeadline(d time.Duration) Route {
	r.Deadline = d
	return r
}

// WithObjective returns a copy with the objective, a share from 0 to 1.
func (r Route) WithObjective(share float64) Route {
	r.Objective = share
	return r
}

// WithMaxAttempts returns a copy whose requests may run on at most n backend servers.
func (r Route) WithMaxAttempts(n int) Route {
	r.MaxAttempts = n
	return r
}

// WithTargetLatency returns a copy with the target latency d.
func (r Route) WithTargetLatency(d time.Duration) Route {
	r.TargetLatency = d
	return r
}

// WithSplit returns a copy that shares its requests out between the services of the parts.
func (r Route) WithSplit(parts ...SplitPart) Route {
	r.Split = slices.Clone(parts)
	return r
}

// WithPriority returns a copy whose requests have the priority; 0 is the most urgent.
func (r Route) WithPriority(priority int) Route {
	r.Priority = priority
	return r
}

// WithLargeAnswer returns a copy with LargeAnswer set.
func (r Route) WithLargeAnswer(large bool) Route {
	r.LargeAnswer = large
	return r
}

// WithHomeRegions returns a copy whose requests run in the named regions only; in all if there
// is no name.
func (r Route) WithHomeRegions(regions ...string) Route {
	r.HomeRegions = slices.Clone(regions)
	return r
}

// Serves reports whether requests on the route may go to the service.
func (r Route) Serves(service string) bool {
	if len(r.Split) == 0 {
		return r.Service == service
	}
	return slices.ContainsFunc(r.Split, func(p SplitPart) bool { return p.Service == service && p.Weight > 0 })
}

// ServiceFor returns the service of a request: Service, or for a split route the service of one
// of its parts. point is a random number in [0, 1), drawn for the request.
func (r Route) ServiceFor(point float64) string {
	total := 0
	for _, p := range r.Split {
		total += p.Weight
	}
	left := point * float64(total)
	for _, p := range r.Split {
		if left -= float64(p.Weight); left < 0 {
			return p.Service
		}
	}
	return r.Service
}

// AttemptLimit returns the largest number of backend servers on which a request may run.
func (r Route) AttemptLimit() int {
	if r.MaxAttempts > 0 {
		return r.MaxAttempts
	}
	return DefaultMaxAttempts
}

// MatchesMethod reports whether the route serves the HTTP method.
func (r Route) MatchesMethod(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}
