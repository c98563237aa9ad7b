// Package guard is the only way to the backend servers of one VM.
//
// It holds the exact truth about each backend server beside it and checks every
// forwarded request again with its own configuration, so that an ingress with an
// old view can't break an invariant alone.
//
// # Usage
//
//	g := guard.New(self, configuration, guard.WithClock(time.Now))
//	g.Announce(b)
//	port, err := httpport.New(address, g, httpport.WithTLS(tls))
package guard

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/hop"
)

// Configuration yields the snapshot in force.
type Configuration interface {
	Current() snapshot.Snapshot
}

// Leg runs a request on a backend server.
type Leg interface {
	Run(ctx context.Context, address string, r Request) (Answer, error)
}

// Request is what a backend server receives.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is a backend server's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// NotRun tells that the backend server refused before any work.
	NotRun bool
}

// Guard forwards requests to the backend servers beside it.
type Guard struct {
	self          member.Member
	configuration Configuration
	leg           Leg
	clock         func() time.Time
	started       time.Time

	mu       sync.Mutex
	backends map[backend.ID]backend.Backend
}

// Option changes how a guard is set up.
type Option func(*Guard)

// WithClock sets the clock, time.Now by default.
func WithClock(clock func() time.Time) Option { return func(g *Guard) { g.clock = clock } }

// New returns a guard for the daemon self without backend servers.
func New(self member.Member, configuration Configuration, leg Leg, options ...Option) *Guard {
	g := &Guard{
		self:          self,
		configuration: configuration,
		leg:           leg,
		clock:         time.Now,
		backends:      map[backend.ID]backend.Backend{},
	}
	for _, option := range options {
		option(g)
	}
	g.started = g.clock()
	return g
}

// Announce adds a backend server or replaces what is known of it.
func (g *Guard) Announce(b backend.Backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backends[b.ID] = b
}

// Clock returns the guard's clock in milliseconds since its start.
func (g *Guard) Clock() int64 { return g.clock().Sub(g.started).Milliseconds() }

// ServeHTTP runs one forwarded request.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	envelope, err := hop.ReadEnvelope(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	g.mu.Lock()
	target, known := g.backends[envelope.Backend]
	g.mu.Unlock()
	if reason := check(g.configuration.Current(), g.self, envelope, g.Clock(), target, known); reason != "" {
		g.refuse(w, envelope, reason)
		return
	}
	left := time.Duration(envelope.Expires-g.Clock()) * time.Millisecond
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	start := g.clock()
	answer, err := g.leg.Run(ctx, target.Address, Request{
		Method: r.Method,
		Target: r.URL.RequestURI(),
		Host:   r.Host,
		Header: r.Header,
		Body:   body,
	})
	g.reply(w, envelope, answer, err, g.clock().Sub(start))
}

func (g *Guard) report(e hop.Envelope, ending hop.Ending, reason string) hop.Report {
	return hop.Report{
		Attempt:     e.Attempt,
		Ending:      ending,
		Reason:      reason,
		Incarnation: g.self.Incarnation,
		Clock:       g.Clock(),
		Revision:    g.configuration.Current().Revision,
	}
}

func (g *Guard) refuse(w http.ResponseWriter, e hop.Envelope, reason string) {
	g.report(e, hop.NotRun, reason).Write(w.Header())
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (g *Guard) reply(w http.ResponseWriter, e hop.Envelope, answer Answer, err error, took time.Duration) {
	if err != nil {
		g.report(e, hop.Unknown, "backend-lost").Write(w.Header())
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	if answer.NotRun {
		g.refuse(w, e, "backend-shed")
		return
	}
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	report := g.report(e, hop.Ran, "")
	report.ServiceTime = took
	report.Write(w.Header())
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
