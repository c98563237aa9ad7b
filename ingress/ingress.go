// Package ingress accepts callers' requests, sends them to guards and tells each caller
// the outcome: answered, not run, or unknown.
//
// # Usage
//
//	i := ingress.New(self, ingress.Parts{Configuration: c, Chooser: ch, Limit: l, Hop: f, Guards: g, Observer: o})
//	listener, err := listener.New(address, i)
package ingress

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"berylpass/attempt/clock"
	"berylpass/attempt/id"
	"berylpass/attempt/lifecycle"
	"berylpass/caller/body"
	"berylpass/choice/admission"
	"berylpass/choice/chooser"
	"berylpass/choice/picker"
	"berylpass/choice/urgency"
	"berylpass/choice/verdict"
	"berylpass/config/class"
	"berylpass/config/key"
	"berylpass/config/organisation"
	"berylpass/config/revision"
	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/hop"
	"berylpass/hop/forwarder"
	"berylpass/limit/enforcer"
)

// Configuration holds the snapshot in force. Ready returns nil if the daemon may take
// requests, and otherwise the reason why not; an error that wraps revision.ErrIsolated
// still allows requests on open routes. Behind reports whether a newer configuration is known
// to exist, and ProvenNewest whether it is certain that none has been accepted for long.
type Configuration interface {
	Current() snapshot.Snapshot
	Ready(now time.Time) error
	Behind(now time.Time) bool
	ProvenNewest(now time.Time) bool
}

// Chooser chooses backend servers and learns the outcomes of attempts on them. AttemptStarted is
// called when an attempt is sent; one call of AttemptEnded, or of AttemptDiscarded for a cancelled
// attempt, follows when it is over.
type Chooser interface {
	Pick(r picker.Request) (chooser.Target, error)
	AttemptStarted(attempt id.ID, target chooser.Target, of class.Class)
	AttemptEnded(o picker.AttemptEnded)
	AttemptDiscarded(attempt id.ID, target chooser.Target)
}

// Limit hands out tokens of organisations' rate limits. Started tells that the attempt
// with a token may have run, Return gives an unused token back.
type Limit interface {
	Draw(ctx context.Context, organisation string) (enforcer.Token, error)
	Started(t enforcer.Token)
	Return(t enforcer.Token)
}

// Hop sends requests to guards. The errors of Forward wrap forwarder.ErrNotSent,
// forwarder.ErrAnswerLost or forwarder.ErrMismatch.
type Hop interface {
	Forward(ctx context.Context, address string, e hop.Envelope, r forwarder.Request) (forwarder.Answer, error)
}

// RequestRecord describes a request that has ended.
type RequestRecord struct {
	// Attempt is the ID of the request's first attempt, which serves as berylpass's ID of the
	// request; RequestID is the caller's own.
	Attempt      id.ID
	RequestID    string
	Revision     uint64
	Route        string
	Organisation string
	Outcome      Outcome
	// Reason is empty for an answered request.
	Reason string
	Status int
	// Took is the time from the request's arrival to its end.
	Took time.Duration
	// Deadline is the route's: the longest time for a request from its arrival to its end.
	Deadline time.Duration
	// Objective is the route's objective, a share from 0 to 1; 0 for none.
	Objective float64
	Attempts  int
	// Service is the service that the request went to.
	Service    string
	RetryAfter time.Duration
	// Level is the request's level of urgency.
	Level urgency.Level
}

// AttemptRecord describes an attempt that is over.
type AttemptRecord struct {
	Attempt   id.ID
	RequestID string
	Backend   backend.ID
	Guard     member.ID
	Verdict   verdict.Verdict
	// Reason is the guard's reason, empty if it gave none.
	Reason string
	Status int
	Took   time.Duration
	// Err is the reason why the guard's answer did not arrive, nil if it did.
	Err error
}

// Observer is told what happens to requests. Its methods must not block.
type Observer interface {
	// Ended is called once for each request, when its outcome is known.
	Ended(now time.Time, r RequestRecord)
	// HeardRevision is called with the configuration revision in each guard's answer.
	HeardRevision(revision uint64, from member.ID)
	// AttemptEnded is called when an attempt is over.
	AttemptEnded(s AttemptRecord)
	// LimitRefused is called when the limit refuses a request a token.
	LimitRefused(requestID string, r *enforcer.Refusal)
	// AnswerDropped is called when an answer is dropped because it belongs to another attempt.
	AnswerDropped(attempt id.ID)
	// BudgetEmpty is called when an attempt is not made because the service's retry budget
	// is empty.
	BudgetEmpty(service string)
	// LevelClosed and LevelOpened are called when requests of a level of urgency are refused
	// for want of room from now on, and when they are admitted again.
	LevelClosed(c admission.Closed)
	LevelOpened(o admission.Opened)
}

// Guards makes control calls to guards and keeps track of their clocks. RecordClock records a
// reading of a guard's clock.
type Guards interface {
	RecordClock(guard member.ID, incarnation uint64, reading int64)
	Clock(ctx context.Context, guard member.ID) (clock.Clock, error)
	Cancel(ctx context.Context, guard member.ID, e hop.Envelope) lifecycle.Certainty
}

// Parts are the parts that an ingress is built from.
type Parts struct {
	Configuration Configuration
	Chooser       Chooser
	Limit         Limit
	Hop           Hop
	Guards        Guards
	Observer      Observer
	Clock         func() time.Time
	// Dialect reads requests and writes answers; berylpass's own dialect if nil.
	Dialect Dialect
	// OpenToAnyKey makes open routes accept requests with an unknown key too.
	OpenToAnyKey bool
	// Service is the service of the backend server on this VM, empty if unknown.
	Service string
	// RetryBudget returns the present bounds of the retry budgets; the defaults if nil.
	RetryBudget func() RetryBudget
	// Hedges decides on hedged requests; without a chooser there are none.
	Hedges Hedges
	// RepeatProbability returns the probability, from 0 to 1, that a request without a key comes from
	// a run on this VM's backend server that is itself a repetition, judged by the
	// deadline and the service of the request. A nil RepeatProbability counts as 0.
	RepeatProbability func(deadline time.Time, service string) float64
	// PromptAttempts is the number of first attempts of a request that a busy guard refuses rather than queues; 2 if zero.
	PromptAttempts int
	// Ranked reports whether the priorities of routes and organisations rank requests.
	Ranked bool
	// RankOfCall returns the rank of a request without a key, and true if a run on this VM's backend server makes
	// it; see guard.Guard.RankOfCall. A nil RankOfCall counts as false.
	RankOfCall func(deadline time.Time) (urgency.Rank, bool)
	// Random returns a random number in [0, 1); rand.Float64 if nil.
	Random func() float64
}

// Ingress is the http.Handler that serves callers' requests. The RequestURI of a request must be a
// target in origin form: a path and possibly a query.
type Ingress struct {
	Parts
	self       member.Member
	retryState *retryState
	hedging    *hedging
	requests   atomic.Uint64
	// lastFailedCall is when a request without a key last failed; nil for never.
	lastFailedCall atomic.Pointer[time.Time]
	inFlight       atomic.Int64
	withdrawals    *withdrawals
	door           *door
}

// New returns an ingress of the daemon self.
func New(self member.Member, parts Parts) *Ingress {
	if parts.Clock == nil {
		parts.Clock = time.Now
	}
	if parts.Dialect == nil {
		parts.Dialect = defaultDialect{}
	}
	if parts.RetryBudget == nil {
		parts.RetryBudget = defaultRetries
	}
	if parts.RepeatProbability == nil {
		parts.RepeatProbability = func(time.Time, string) float64 { return 0 }
	}
	if parts.PromptAttempts == 0 {
		parts.PromptAttempts = promptDispatches
	}
	if parts.Random == nil {
		parts.Random = rand.Float64
	}
	return &Ingress{
		Parts: parts, self: self, retryState: newRetryState(parts.RetryBudget), hedging: newHedging(parts.Hedges),
		withdrawals: newWithdrawals(), door: newDoor(),
	}
}

// LastFailedCall returns when a request without a key, such as a call of the backend
// server on this VM, last ended with a status of 400 or more; zero for never.
func (i *Ingress) LastFailedCall() time.Time {
	if at := i.lastFailedCall.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// recordFailedCall remembers the time if a request without a key failed.
func (i *Ingress) recordFailedCall(x *exchange, status int) {
	if !x.info.HasKey && status >= http.StatusBadRequest {
		now := i.Clock()
		i.lastFailedCall.Store(&now)
	}
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
		f.RequestID = x.info.RequestID
		i.Observer.Ended(i.Clock(), x.record(result{outcome: f.Outcome, reason: f.Reason, status: f.Status, retryAfter: f.RetryAfter}))
		i.recordFailedCall(x, f.Status)
		i.Dialect.Refuse(w, f)
		return
	}
	if end, refused := i.refuse(x); refused {
		i.finish(w, x, end)
		return
	}
	i.finish(w, x, x.run(r.Context()))
}

// admit finds the route and the caller of a request and reads its body. The exchange is
// never nil; with an error it holds what was known when the request was refused.
func (i *Ingress) admit(now time.Time, r *http.Request) (*exchange, error) {
	x := &exchange{ingress: i, began: now, id: id.New(i.self.ID, i.self.Incarnation, i.requests.Add(1))}
	info, infoErr := i.Dialect.ReadRequest(r.Header)
	x.info = info
	ready := i.Configuration.Ready(now)
	if ready != nil && !errors.Is(ready, revision.ErrIsolated) {
		return x, ready
	}
	x.snapshot = i.Configuration.Current()
	path, _, _ := strings.Cut(r.RequestURI, "?")
	matched, err := x.snapshot.Route(r.Method, hostname(r.Host), path)
	if err != nil {
		return x, i.denial(now, err)
	}
	x.route, x.service = matched, matched.ServiceFor(i.Random())
	x.deadline = now.Add(matched.Deadline)
	if info.Timeout > 0 && info.Timeout < matched.Deadline {
		x.deadline = now.Add(info.Timeout)
	}
	if ready != nil && !matched.Open {
		return x, ready
	}
	if infoErr != nil {
		return x, infoErr
	}
	if err := x.identify(); err != nil {
		return x, i.denial(now, err)
	}
	if i.withdrawals.contains(x.caller, x.snapshot.Revision) {
		return x, errOutdated
	}
	if targetContainsKey(r.RequestURI, r.URL, info.Key) {
		return x, errKeyInURL
	}
	whole, err := body.Read(r)
	if err != nil {
		return x, errBody
	}
	x.request = forwarder.Request{
		Method: r.Method,
		Target: r.RequestURI,
		Host:   r.Host,
		Header: i.Dialect.ToGuard(r.Header, info),
		Body:   whole,
	}
	return x, nil
}

// denial returns the error for a request that the configuration doesn't allow. Callers don't
// repeat a request that was denied, so a daemon that may have missed a newer configuration must
// not deny it.
func (i *Ingress) denial(now time.Time, err error) error {
	if i.Configuration.ProvenNewest(now) {
		return err
	}
	return fmt.Errorf("%w: %w", errOutdated, err)
}

// identify finds the organisation whose key came with the request, and sets the class and the
// rank of the request. Open routes need no key.
func (x *exchange) identify() error {
	x.class = x.route.Class
	if !x.info.HasKey {
		if x.route.Open {
			x.setRank(organisation.Organisation{})
			return nil
		}
		return errNoKey
	}
	o, k, ok := x.snapshot.KeyByDigest(key.DigestOf(x.info.Key))
	if !ok && x.route.Open && x.ingress.OpenToAnyKey {
		x.setRank(organisation.Organisation{})
		return nil
	}
	if !ok {
		return errUnknownKey
	}
	x.caller = caller{organisation: o.Name, keyID: k.ID}
	if !x.route.Open {
		x.class = o.ClassOf(x.route.Class)
	}
	x.setRank(o)
	return nil
}

// finish answers the request and tells the observer.
func (i *Ingress) finish(w http.ResponseWriter, x *exchange, end result) {
	i.Observer.Ended(i.Clock(), x.record(end))
	i.recordFailedCall(x, end.status)
	if end.outcome == NotRun {
		i.door.count(x.service, end.reason)
	}
	if end.outcome == Answered {
		// With its length the answer is sent as it is, without a copy of it.
		if n := len(end.answer.Body); n > 0 {
			w.Header().Set("Content-Length", strconv.Itoa(n))
		}
		i.Dialect.WriteAnswer(w, end.answer, end.attempt.String())
		return
	}
	i.Dialect.Refuse(w, end.refusal(x.info.RequestID))
}

// record returns the record of a request that has ended.
func (x *exchange) record(end result) RequestRecord {
	return RequestRecord{
		Attempt:      x.id,
		RequestID:    x.info.RequestID,
		Revision:     x.snapshot.Revision,
		Route:        x.route.Name,
		Organisation: x.caller.organisation,
		Outcome:      end.outcome,
		Reason:       end.reason,
		Status:       end.status,
		Took:         x.ingress.Clock().Sub(x.began),
		Deadline:     x.route.Deadline,
		Objective:    x.route.Objective,
		Attempts:     end.attempts,
		Service:      x.service,
		RetryAfter:   end.retryAfter,
		Level:        x.rank.Level,
	}
}

// caller is the organisation and the key of a request; both are empty for a request that
// was taken on an open route without a known key.
type caller struct{ organisation, keyID string }
