package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"berylpass/attempt/lifecycle"
	"berylpass/choice/chooser"
	"berylpass/choice/picker"
	"berylpass/choice/verdict"
	"berylpass/decision"
	"berylpass/guard"
	"berylpass/hop"
	"berylpass/hop/forwarder"
	"berylpass/limit/enforcer"
)

// cancelTimeout bounds Guards.Cancel, since the caller's context no longer does once the
// caller has left. hop/control sets a shorter timeout of its own.
const cancelTimeout = 2 * time.Second

// flight is one attempt that has been dispatched, whether or not it is over.
type flight struct {
	exchange *exchange
	attempt  uint8
	target   chooser.Target
	token    *enforcer.Token
	cancel   context.CancelFunc
	// envelope is complete once ready is closed, unless fillEnvelope failed.
	envelope hop.Envelope
	ready    chan struct{}
	answer   forwarder.Answer
	// refusedByBackend reports whether a backend server received the attempt and refused
	// it, neverArrived whether it certainly reached none. Only the goroutine of
	// exchange.run reads and sets them.
	refusedByBackend, neverArrived bool
}

// dispatch sends an attempt in the background. The flight reports the use of its token
// and the outcome of the attempt even if the request ends before the attempt does.
func (x *exchange) dispatch(a lifecycle.Dispatch) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.ctx), x.deadline)
	f := &flight{
		exchange: x,
		attempt:  a.ID.Attempt,
		target:   x.target,
		token:    x.takeToken(),
		cancel:   cancel,
		ready:    make(chan struct{}),
		envelope: hop.Envelope{
			Attempt:      a.ID,
			RequestID:    x.info.RequestID,
			Backend:      a.Backend,
			Organisation: x.caller.organisation,
			KeyID:        x.caller.keyID,
			Route:        x.route.Name,
			Class:        x.class,
			Caller:       x.ingress.Service,
			Repeatable:   x.route.Repeatable,
			Forced:       x.target.Forced,
			Prompt:       x.prompt(),
			Repeated:     x.mayHaveArrived(),
			Revision:     x.snapshot.Revision,
		},
	}
	x.flights = append(x.flights, f)
	x.ingress.Chooser.AttemptStarted(a.ID, f.target, x.class)
	go func() {
		defer cancel()
		event := f.send(ctx)
		if !x.post(event) {
			f.returnToken(event)
		}
	}()
}

// prompt reports whether a busy guard should refuse the next attempt rather than queue it:
// what this ingress knows of the guard's load is as old as the last report from there, and
// another backend server is likely to have a slot free.
func (x *exchange) prompt() bool {
	return len(x.flights) < promptDispatches && x.target.HasOther && len(x.request.Body) <= promptBody
}

// send sends the attempt, waits for its answer, reports the outcome to the limit, the
// chooser and the observer, and returns the event for the lifecycle.
func (f *flight) send(ctx context.Context) decision.Event {
	i := f.exchange.ingress
	start := i.Clock()
	err := f.fillEnvelope(ctx)
	close(f.ready)
	if err == nil {
		f.answer, err = i.Hop.Forward(ctx, f.target.Guard.Data, f.envelope, f.exchange.request)
	}
	took := i.Clock().Sub(start)
	if err == nil {
		i.Guards.RecordClock(f.target.Guard.ID, f.answer.Report.Incarnation, f.answer.Report.Clock)
		i.Observer.HeardRevision(f.answer.Report.Revision, f.target.Guard.ID)
	}
	if errors.Is(err, forwarder.ErrMismatch) {
		i.Observer.AnswerDropped(f.envelope.Attempt)
	}
	f.reportTokenUse(err)
	f.reportToChooser(ctx, took, err)
	i.Observer.AttemptEnded(AttemptRecord{
		Attempt: f.envelope.Attempt, RequestID: f.envelope.RequestID,
		Backend: f.target.Backend.ID, Guard: f.target.Guard.ID,
		Verdict: f.verdict(ctx, err), Reason: f.answer.Report.Reason, Status: f.answer.Status, Took: took, Err: err,
	})
	return f.event(err)
}

// fillEnvelope sets the envelope's incarnation and its times, which are in milliseconds of
// the guard's clock. Its errors wrap forwarder.ErrNotSent.
func (f *flight) fillEnvelope(ctx context.Context) error {
	i := f.exchange.ingress
	guardClock, err := i.Guards.Clock(ctx, f.target.Guard.ID)
	if err != nil {
		return errors.Join(forwarder.ErrNotSent, err)
	}
	now := i.Clock()
	left := f.exchange.deadline.Sub(now)
	incarnation, expires, ok := guardClock.Deadline(now, left)
	if !ok {
		return forwarder.ErrNotSent
	}
	f.envelope.Incarnation, f.envelope.Expires = incarnation, expires.Milliseconds()
	if f.token != nil {
		_, tokenExpires, _ := guardClock.Deadline(now, f.token.Expires.Sub(now))
		f.envelope.TokenExpires = max(0, tokenExpires.Milliseconds())
	}
	return nil
}

// reportTokenUse tells the limit that the token was used, unless it is certain that the
// attempt has not run.
func (f *flight) reportTokenUse(err error) {
	notRun := errors.Is(err, forwarder.ErrNotSent) || err == nil && f.answer.Report.Ending == hop.NotRun
	if f.token != nil && !notRun {
		f.exchange.ingress.Limit.Started(*f.token)
	}
}

// returnToken gives back the token of an attempt that has not run and whose request has
// ended already.
func (f *flight) returnToken(event decision.Event) {
	switch event.(type) {
	case lifecycle.NotRun, lifecycle.DialFailed:
		if f.token != nil {
			f.exchange.ingress.Limit.Return(*f.token)
		}
	}
}

// reportToChooser tells the chooser the outcome of the attempt, or only that it is over
// if it was cancelled.
func (f *flight) reportToChooser(ctx context.Context, took time.Duration, err error) {
	i := f.exchange.ingress
	if errors.Is(ctx.Err(), context.Canceled) {
		i.Chooser.AttemptDiscarded(f.envelope.Attempt, f.target)
		return
	}
	ended := picker.AttemptEnded{
		Attempt: f.envelope.Attempt,
		Backend: f.target.Backend.ID,
		Class:   f.exchange.class,
		Took:    took,
		Verdict: f.verdict(ctx, err),
		Report:  f.answer.Report.Load,
	}
	i.Chooser.AttemptEnded(ended)
	if ended.Verdict == verdict.OK {
		i.observeLatency(f.exchange.route.Name, took)
	}
}

// verdict returns what the outcome of the attempt says about the backend server or the
// path to it.
func (f *flight) verdict(ctx context.Context, err error) verdict.Verdict {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.Timeout
	case err != nil:
		return verdict.PathFailure
	case f.answer.Report.Ending == hop.NotRun && f.answer.Report.Reason == guard.ReasonNotSent:
		return verdict.Reset
	case f.answer.Report.Ending == hop.NotRun:
		return verdict.Shed
	case f.answer.Report.Ending == hop.Unknown:
		return verdict.Reset
	case f.answer.Status >= http.StatusInternalServerError:
		return verdict.Error
	}
	return verdict.OK
}

// event returns the event that tells the lifecycle the outcome of the attempt.
func (f *flight) event(err error) decision.Event {
	r := f.answer.Report
	switch {
	case errors.Is(err, forwarder.ErrNotSent):
		return lifecycle.DialFailed{Attempt: f.attempt}
	case err != nil || r.Ending == hop.Unknown:
		return lifecycle.Lost{Attempt: f.attempt}
	case r.Ending == hop.NotRun:
		return lifecycle.NotRun{
			Attempt:    f.attempt,
			Reason:     r.Reason,
			RetryAfter: r.RetryAfter,
			Everywhere: refusedEverywhere(r.Reason),
		}
	}
	return lifecycle.Answered{Attempt: f.attempt, ID: r.Attempt, Status: f.answer.Status}
}

// refusedEverywhere reports whether every other guard would refuse for the same reason.
func refusedEverywhere(reason string) bool {
	switch reason {
	case guard.ReasonKeyWithdrawn, guard.ReasonNoRoute, guard.ReasonOverLimit, guard.ReasonNoLease, guard.ReasonExpired:
		return true
	}
	return false
}

// cancel closes the attempt's connection and asks its guard, in the background, not to run
// it. An attempt whose envelope is not yet filled in is never sent.
func (x *exchange) cancel(a lifecycle.Cancel) {
	f := x.flights[a.ID.Attempt]
	go func() {
		f.cancel()
		<-f.ready
		if a.Pause > 0 {
			<-time.After(a.Pause)
		}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), cancelTimeout)
		defer cancel()
		certainty := x.ingress.Guards.Cancel(ctx, a.Guard, f.envelope)
		_ = x.post(lifecycle.CancelResult{Attempt: f.attempt, Certainty: certainty})
	}()
}
