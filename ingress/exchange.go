package ingress

import (
	"context"
	"math"
	"net/http"
	"time"

	"berylpass/attempt/id"
	"berylpass/attempt/lifecycle"
	"berylpass/choice/chooser"
	"berylpass/choice/picker"
	"berylpass/choice/urgency"
	"berylpass/config/class"
	"berylpass/config/home"
	"berylpass/config/route"
	"berylpass/config/snapshot"
	"berylpass/decision"
	"berylpass/hop/forwarder"
	"berylpass/limit/enforcer"
)

// maxDispatches is the largest number of attempts for one request, including those that
// a guard refuses.
const maxDispatches = 7

// The first promptDispatches attempts of a request, or Parts.PromptAttempts, are marked prompt if its body is at
// most promptBody bytes: a busy guard refuses a prompt attempt at once. Later attempts
// queue at the guard, as do those with a larger body, which costs more to send again
// than a short wait does.
const (
	promptDispatches = 2
	promptBody       = 8 << 10
)

// budgetRetryAfter is the Retry-After for a request that a backend server refused and
// that may not be sent to another because the retry budget is empty.
const budgetRetryAfter = 100 * time.Millisecond

// exchange serves one request: it carries out the actions of the request's lifecycle and
// feeds the resulting events back to it.
type exchange struct {
	ingress  *Ingress
	began    time.Time
	id       id.ID
	snapshot snapshot.Snapshot
	route    route.Route
	// service is the service that the request goes to, of those the route splits its
	// requests between.
	service  string
	class    class.Class
	rank     urgency.Rank
	info     RequestInfo
	deadline time.Time
	caller   caller
	request  forwarder.Request

	ctx       context.Context
	lifecycle *lifecycle.Lifecycle
	events    chan decision.Event
	// done is closed when run returns.
	done   chan struct{}
	timers []*time.Timer
	// tokens holds the tokens that were drawn and that no attempt has used.
	tokens []enforcer.Token
	// target is what the chooser returned for the next attempt.
	target chooser.Target
	// attempts holds the attempts dispatched so far; the index is the attempt's number.
	attempts []*sentAttempt
	// charged is the number of extra attempts paid for from the service's retry budget. reserved
	// is the number withdrawn from it and not yet charged, so that a trial that fails can
	// be retried.
	charged, reserved int
	// hedgeAfter is the time after which the request is hedged, 0 for never; picksHedge
	// reports whether the next attempt is a hedge.
	hedgeAfter time.Duration
	picksHedge bool
	// unpaid reports whether the attempt in preparation was drawn for as a hedge and is not charged yet.
	unpaid bool
	// expired reports whether a guard saw the deadline pass before this ingress did.
	expired bool
}

// run serves the request until its result is known or ctx ends. Attempts that are still
// in flight then finish in the background.
func (x *exchange) run(ctx context.Context) result {
	i := x.ingress
	x.ctx = ctx
	x.lifecycle = lifecycle.New(x.id)
	x.events = make(chan decision.Event, 8)
	x.done = make(chan struct{})
	defer x.returnTokens()
	defer x.release()
	defer close(x.done)
	defer x.stopTimers()
	repeated := 0.0
	if !x.info.HasKey {
		repeated = i.RepeatProbability(x.callerDeadline(), x.service)
	}
	i.deposit(x.service, repeated)
	x.hedgeAfter = i.hedging.delay(i.Clock(), x.route, x.service, x.class, len(x.request.Body))
	begin := lifecycle.Begin{
		Repeatable:  x.route.Repeatable,
		Deadline:    x.deadline,
		MaxAttempts: maxDispatches,
		MaxRuns:     uint8(min(x.route.AttemptLimit(), math.MaxUint8)),
		Hedge:       x.hedgeAfter,
	}
	var event decision.Event = begin
	for {
		if end, ok := x.update(event); ok {
			return end
		}
		select {
		case event = <-x.events:
			event = x.recordOutcome(event)
		case <-ctx.Done():
			x.update(lifecycle.CallerLeft{})
			return result{outcome: Unknown, reason: "caller-left", status: http.StatusBadGateway, attempt: x.id, attempts: len(x.attempts)}
		}
	}
}

// update feeds an event to the lifecycle and carries out the actions that follow, and
// does the same with each event that such an action returns at once. It returns the
// result of the request and true if the lifecycle has replied.
func (x *exchange) update(event decision.Event) (result, bool) {
	pending := []decision.Event{event}
	var end result
	over := false
	for len(pending) > 0 {
		actions := x.lifecycle.Update(x.ingress.Clock(), pending[0])
		pending = pending[1:]
		for _, action := range actions {
			if reply, ok := action.(lifecycle.Reply); ok {
				end, over = x.result(reply), true
				continue
			}
			if answer := x.carryOut(action); answer != nil {
				pending = append(pending, answer)
			}
		}
	}
	return end, over
}

// carryOut carries out an action of the lifecycle. It returns the event that answers the
// action, or nil if there is none or it is posted later.
func (x *exchange) carryOut(action decision.Action) decision.Event {
	switch a := action.(type) {
	case lifecycle.DrawToken:
		return x.draw(a.Purpose)
	case lifecycle.ReturnToken:
		x.returnHeld(a.Count)
	case lifecycle.Pick:
		return x.pick(a)
	case lifecycle.Dispatch:
		x.dispatch(a)
	case lifecycle.Cancel:
		x.cancel(a)
	case lifecycle.SetTimer:
		x.setTimer(a)
	}
	return nil
}

// draw draws the token for an attempt. For the first attempt it waits for the token; for
// retries it charges the retry budget, for hedges pick does so, and draws the token in the background.
func (x *exchange) draw(p lifecycle.Purpose) decision.Event {
	if p == lifecycle.FirstPurpose {
		token, event := x.drawToken()
		x.holdToken(token)
		return event
	}
	x.unpaid = p == lifecycle.HedgePurpose
	if x.unpaid && !x.mayHedge() || !x.unpaid && !x.charge() {
		return lifecycle.TokenRefused{Reason: reasonBudget}
	}
	go func() {
		token, event := x.drawToken()
		if !x.post(drawn{token: token, event: event}) && token != nil {
			x.ingress.Limit.Return(*token)
		}
	}()
	return nil
}

// drawn is the event that carries a token which was drawn in the background. The token is
// nil if the attempt needs none or got none.
type drawn struct {
	token *enforcer.Token
	event decision.Event
}

// backendRefusals returns the number of attempts that reached a backend server and were
// refused there.
func (x *exchange) backendRefusals() int {
	n := 0
	for _, s := range x.attempts {
		if s.refusedByBackend {
			n++
		}
	}
	return n
}

// callerDeadline returns when the caller stops waiting: after its timeout if it gave one,
// at the route's deadline otherwise.
func (x *exchange) callerDeadline() time.Time {
	if x.info.Timeout > 0 {
		return x.began.Add(x.info.Timeout)
	}
	return x.deadline
}

// mayHaveArrived reports whether an earlier attempt may have reached a backend server, so
// that one sent now may be a repetition there.
func (x *exchange) mayHaveArrived() bool {
	for _, s := range x.attempts {
		if !s.neverArrived {
			return true
		}
	}
	return false
}

// chargeRefusals charges the retry budget until as many attempts are charged as were
// refused by backend servers: an attempt that follows such a refusal counts as a retry,
// although the refused one has not run. It reports whether the budget sufficed.
func (x *exchange) chargeRefusals() bool {
	for x.charged < x.backendRefusals() {
		if !x.charge() {
			return false
		}
	}
	return true
}

// charge takes one extra attempt from the reserve, or else from the service's retry budget, and
// reports whether there was one.
func (x *exchange) charge() bool {
	if x.reserved > 0 {
		x.reserved--
	} else if !x.ingress.withdraw(x.service) {
		x.ingress.Observer.BudgetEmpty(x.service)
		return false
	}
	x.charged++
	return true
}

// reserve withdraws one extra attempt from the retry budget, unless one is reserved already,
// and reports whether one is reserved. Without such a reserve, the picker uses the request as
// a trial of a backend server whose breaker is not closed only if that is on this VM and has
// had no traffic for some time: if a trial fails, the request must be retried, so that its
// caller doesn't see the failure.
func (x *exchange) reserve() bool {
	if !x.route.Repeatable {
		return false
	}
	if x.reserved == 0 && x.ingress.withdraw(x.service) {
		x.reserved++
	}
	return x.reserved > 0
}

// release returns the reserve to the retry budget.
func (x *exchange) release() {
	x.ingress.refund(x.service, x.reserved)
	x.reserved = 0
}

// pick asks the chooser for a backend server for the next attempt.
func (x *exchange) pick(p lifecycle.Pick) decision.Event {
	if !x.chargeRefusals() {
		return lifecycle.NoneAvailable{Reason: reasonBudget, RetryAfter: budgetRetryAfter}
	}
	request := picker.Request{
		Service: x.service, Exclude: p.Exclude, Class: x.class,
		BodyBytes: len(x.request.Body), RunOnce: !x.route.Repeatable,
		LargeAnswer: x.route.LargeAnswer, Priority: x.route.Priority,
		HomeRegions: home.New(x.route, x.snapshot.Organisations[x.caller.organisation]).Regions(),
	}
	x.picksHedge = p.Hedge
	if p.Hedge {
		return x.pickHedge(request)
	}
	if x.unpaid && !x.charge() {
		return lifecycle.NoneAvailable{Reason: reasonBudget, RetryAfter: budgetRetryAfter}
	}
	x.unpaid = false
	request.MayBeTrial = x.reserve()
	target, err := x.ingress.Chooser.Pick(request)
	if err != nil {
		return lifecycle.NoneAvailable{Reason: reasonNoBackend, RetryAfter: time.Second}
	}
	x.target = target
	if !target.TrialOnly {
		x.release()
	}
	return lifecycle.Picked{Backend: target.Backend.ID, Guard: target.Guard.ID}
}

// setTimer posts a TimerFired when the time has come.
func (x *exchange) setTimer(a lifecycle.SetTimer) {
	fired := lifecycle.TimerFired{Timer: a.Timer}
	left := a.At.Sub(x.ingress.Clock())
	// A stopped timer may stay referenced until its time: it must not hold the request's bodies.
	events, done := x.events, x.done
	x.timers = append(x.timers, time.AfterFunc(left, func() {
		select {
		case events <- fired:
		case <-done:
		}
	}))
}

func (x *exchange) stopTimers() {
	for _, t := range x.timers {
		t.Stop()
	}
}

// post hands an event to run. It reports false if run has returned.
func (x *exchange) post(event decision.Event) bool {
	select {
	case x.events <- event:
		return true
	case <-x.done:
		return false
	}
}
