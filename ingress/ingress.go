// Package ingress takes callers' requests and sees each one to its end: answered,
// not run, or unknown.
//
// # Usage
//
//	i := ingress.New(self, parts)
//	listener, err := listener.New(address, i)
package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"berylpass/attempt/id"
	"berylpass/config/key"
	"berylpass/config/route"
	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/header"
	"berylpass/hop"
	"berylpass/hop/forwarder"
)

// Configuration yields the snapshot in force.
type Configuration interface {
	Current() snapshot.Snapshot
}

// Fleet knows the members and backend servers.
type Fleet interface {
	Pick(now time.Time, service string) (backend.Backend, member.Member, error)
}

// Ingress serves callers.
type Ingress struct {
	self          member.Member
	configuration Configuration
	fleet         Fleet
	forwarder     *forwarder.Forwarder
	clock         func() time.Time
	requests      atomic.Uint64
}

// New returns an ingress of the daemon self.
func New(self member.Member, configuration Configuration, fleet Fleet, f *forwarder.Forwarder) *Ingress {
	return &Ingress{self: self, configuration: configuration, fleet: fleet, forwarder: f, clock: time.Now}
}

// ServeHTTP serves one request of a caller.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := i.clock()
	s := i.configuration.Current()
	matched, err := s.Route(r.Method, hostname(r.Host), r.URL.Path)
	if err != nil {
		reply(w, refusalOf(err))
		return
	}
	caller, err := authenticate(s, matched, r.Header)
	if err != nil {
		reply(w, refusalOf(err))
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	target, guard, err := i.fleet.Pick(now, matched.Service)
	if err != nil {
		reply(w, refusal{status: http.StatusServiceUnavailable, outcome: NotRun, reason: "no-backend"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), matched.Deadline)
	defer cancel()
	envelope := i.envelope(s, matched, caller, target, guard)
	answer, err := i.forwarder.Forward(ctx, guard.Data, envelope, forwarder.Request{
		Method: r.Method,
		Target: r.URL.RequestURI(),
		Host:   r.Host,
		Header: header.FromCaller(r.Header),
		Body:   body,
	})
	i.finish(w, envelope, answer, err)
}

func (i *Ingress) envelope(s snapshot.Snapshot, matched route.Route, c caller, target backend.Backend, guard member.Member) hop.Envelope {
	return hop.Envelope{
		Attempt:      id.New(i.self.ID, i.self.Incarnation, i.requests.Add(1)),
		Backend:      target.ID,
		Incarnation:  guard.Incarnation,
		Expires:      1 << 50,
		Organisation: c.organisation,
		KeyID:        c.keyID,
		Route:        matched.Name,
		Class:        matched.Class,
		Revision:     s.Revision,
	}
}

func (i *Ingress) finish(w http.ResponseWriter, e hop.Envelope, answer forwarder.Answer, err error) {
	attempt := e.Attempt.String()
	switch {
	case errors.Is(err, forwarder.ErrNotSent):
		reply(w, refusal{status: http.StatusServiceUnavailable, outcome: NotRun, reason: "guard-unreachable", attempt: attempt})
	case err != nil:
		reply(w, refusal{status: http.StatusGatewayTimeout, outcome: Unknown, reason: "answer-lost", attempt: attempt})
	case answer.Report.Ending == hop.NotRun:
		reply(w, refusal{status: http.StatusServiceUnavailable, outcome: NotRun, reason: answer.Report.Reason, attempt: attempt})
	case answer.Report.Ending == hop.Unknown:
		reply(w, refusal{status: http.StatusBadGateway, outcome: Unknown, reason: answer.Report.Reason, attempt: attempt})
	default:
		pass(w, answer, attempt)
	}
}

// caller is who a request runs for.
type caller struct{ organisation, keyID string }

func authenticate(s snapshot.Snapshot, matched route.Route, h http.Header) (caller, error) {
	secret, err := presentedKey(h)
	if errors.Is(err, errNoKey) && matched.Open {
		return caller{}, nil
	}
	if err != nil {
		return caller{}, err
	}
	o, k, ok := s.Caller(key.Sum(secret))
	if !ok {
		return caller{}, errUnknownKey
	}
	return caller{organisation: o.Name, keyID: k.ID}, nil
}
