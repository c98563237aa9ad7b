// Package ingress takes callers' requests and sees each one to its end: answered,
// not run, or unknown.
//
// # Usage
//
//	i := ingress.New(self, ingress.Parts{Configuration: c, Chooser: ch, Limit: l, Hop: f, Guards: g, Observer: o})
//	listener, err := listener.New(address, i)
package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"berylpass/attempt/clock"
	"berylpass/attempt/id"
	"berylpass/attempt/lifecycle"
	"berylpass/choice/chooser"
	"berylpass/choice/picker"
	"berylpass/config/class"
	"berylpass/config/key"
	"berylpass/config/revision"
	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/header"
	"berylpass/hop"
	"berylpass/hop/forwarder"
	"berylpass/limit/enforcer"
)

// Configuration yields the snapshot in force. Ready returns why the daemon takes
// no requests; an error that wraps revision.ErrIsolated allows those on open routes.
type Configuration interface {
	Current() snapshot.Snapshot
	Ready(now time.Time) error
}

// Chooser chooses backend servers and learns how they fare.
type Chooser interface {
	Pick(service string, exclude []backend.ID) (chooser.Target, error)
	Picked(attempt id.ID, target chooser.Target, of class.Class)
	Observed(o picker.Observed)
	Released(attempt id.ID, target chooser.Target)
}

// Limit draws tokens of organisations' limits.
type Limit interface {
	Draw(ctx context.Context, organisation string) (enforcer.Token, error)
	Started(t enforcer.Token)
	Return(t enforcer.Token)
}

// Hop sends requests to guards. Its errors wrap forwarder.ErrNotSent, ErrLost or ErrMismatch.
type Hop interface {
	Forward(ctx context.Context, address string, e hop.Envelope, r forwarder.Request) (forwarder.Answer, error)
}

// Record is what an Observer learns of a request that has ended.
type Record struct {
	Route        string
	Organisation string
	Outcome      Outcome
	// Reason is empty for an answered request.
	Reason string
	Status int
	// Took is the time from the request's arrival to its end.
	Took time.Duration
	// Deadline is that of the route.
	Deadline time.Duration
	// Objective is that of the route, a share from 0 to 1; 0 for none.
	Objective float64
	Attempts  int
}

// Observer learns of ended requests. Its methods must not block.
type Observer interface {
	Ended(now time.Time, r Record)
	HeardRevision(revision uint64, from member.ID)
	// AnswerDropped tells of an answer that belonged to another attempt.
	AnswerDropped(attempt id.ID)
	// BudgetEmpty tells of a second attempt that was not made.
	BudgetEmpty(route string)
}

// Guards makes control calls to guards and knows their clocks.
type Guards interface {
	Heard(guard member.ID, incarnation uint64, reading int64)
	Clock(ctx context.Context, guard member.ID) (clock.Clock, error)
	Cancel(ctx context.Context, guard member.ID, e hop.Envelope) lifecycle.Certainty
}

// Parts are what an ingress works with.
type Parts struct {
	Configuration Configuration
	Chooser       Chooser
	Limit         Limit
	Hop           Hop
	Guards        Guards
	Observer      Observer
	Clock         func() time.Time
}

// Ingress serves callers.
type Ingress struct {
	Parts
	self     member.Member
	routes   *routeTable
	requests atomic.Uint64
	inFlight atomic.Int64
}

// New returns an ingress of the daemon self.
func New(self member.Member, parts Parts) *Ingress {
	if parts.Clock == nil {
		parts.Clock = time.Now
	}
	return &Ingress{Parts: parts, self: self, routes: newRouteTable()}
}

// InFlight returns the number of requests that have not ended.
func (i *Ingress) InFlight() int { return int(i.inFlight.Load()) }

// ServeHTTP serves one request of a caller.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.inFlight.Add(1)
	defer i.inFlight.Add(-1)
	now := i.Clock()
	x, err := i.admit(now, r)
	if err != nil {
		f := refusalOf(err)
		i.Observer.Ended(i.Clock(), x.record(ended{outcome: f.outcome, reason: f.reason, status: f.status}))
		reply(w, f)
		return
	}
	i.finish(w, x, x.run(r.Context()))
}

// admit finds route and caller of a request and reads its body.
func (i *Ingress) admit(now time.Time, r *http.Request) (*exchange, error) {
	x := &exchange{ingress: i, began: now, id: id.New(i.self.ID, i.self.Incarnation, i.requests.Add(1))}
	ready := i.Configuration.Ready(now)
	if ready != nil && !errors.Is(ready, revision.ErrIsolated) {
		return x, ready
	}
	x.snapshot = i.Configuration.Current()
	matched, err := x.snapshot.Route(r.Method, hostname(r.Host), r.URL.Path)
	if err != nil {
		return x, err
	}
	x.route = matched
	if ready != nil && !matched.Open {
		return x, ready
	}
	secret, err := presentedKey(r.Header)
	if err == nil {
		x.caller, err = authenticate(x.snapshot, secret)
	}
	if err != nil && (!matched.Open || !errors.Is(err, errNoKey)) {
		return x, err
	}
	if inTarget(r.URL, secret) {
		return x, errKeyInURL
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return x, errBody
	}
	x.request = forwarder.Request{
		Method: r.Method,
		Target: r.URL.RequestURI(),
		Host:   r.Host,
		Header: withoutKey(header.FromCaller(r.Header), secret),
		Body:   body,
	}
	return x, nil
}

func (i *Ingress) finish(w http.ResponseWriter, x *exchange, end ended) {
	i.Observer.Ended(i.Clock(), x.record(end))
	if end.outcome == Answered {
		pass(w, end.answer, end.attempt.String())
		return
	}
	reply(w, end.refusal())
}

// record sums up a request that has ended for the observer.
func (x *exchange) record(end ended) Record {
	return Record{
		Route:        x.route.Name,
		Organisation: x.caller.organisation,
		Outcome:      end.outcome,
		Reason:       end.reason,
		Status:       end.status,
		Took:         x.ingress.Clock().Sub(x.began),
		Deadline:     x.route.Deadline,
		Objective:    x.route.Objective,
		Attempts:     end.attempts,
	}
}

// caller is who a request runs for.
type caller struct{ organisation, keyID string }

// authenticate finds whose key a secret is.
func authenticate(s snapshot.Snapshot, secret string) (caller, error) {
	o, k, ok := s.Caller(key.Sum(secret))
	if !ok {
		return caller{}, errUnknownKey
	}
	return caller{organisation: o.Name, keyID: k.ID}, nil
}
