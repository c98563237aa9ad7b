package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"berylpass/attempt/lifecycle"
	"berylpass/caller/memory/holder"
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

// sentAttempt is one attempt that has been dispatched, whether or not it is over.
type sentAttempt struct {
	exchange *exchange
	number   uint8
	hedge    bool
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

// dispatch sends an attempt in the background. The sentAttempt reports the use of its token
// and the outcome of the attempt even if the request ends before the attempt does.
func (x *exchange) dispatch(a lifecycle.Dispatch) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.ctx), x.deadline)
	s := &sentAttempt{
		exchange: x,
		number:   a.ID.Attempt,
		hedge:    x.picksHedge,
		target:   x.target,
		token:    x.takeToken(),
		cancel:   cancel,
		ready:    make(chan struct{}),
		envelope: hop.Envelope{
			Attempt:       a.ID,
			RequestID:     x.info.RequestID,
			Backend:       a.Backend,
			Organisation:  x.caller.organisation,
			KeyID:         x.caller.keyID,
			Route:         x.route.Name,
			Class:         x.class,
			Rank:          x.rank,
			CallerService: x.ingress.Service,
			Repeatable:    x.route.Repeatable,
			Forced:        x.target.Forced,
			Prompt:        x.picksHedge || x.prompt(),
			Repeated:      x.mayHaveArrived(),
			Hedge:         x.picksHedge,
			Revision:      x.snapshot.Revision,
		},
	}
	x.attempts = append(x.attempts, s)
	x.ingress.Chooser.AttemptStarted(a.ID, s.target, x.class)
	go func() {
		defer cancel()
		event := s.send(ctx)
		if !x.post(event) {
			s.returnToken(event)
		}
	}()
}

// prompt reports whether a busy guard should refuse the next attempt rather than queue it:
// what this ingress knows of the guard's load is as old as the last report from there, and
// another backend server is likely to have a slot free.
func (x *exchange) prompt() bool {
	return len(x.attempts) < x.ingress.PromptAttempts && x.target.HasOther && len(x.request.Body) <= promptBody
}

// send sends the attempt, waits for its answer, reports the outcome to the limit, the
// chooser and the observer, and returns the event for the lifecycle.
func (s *sentAttempt) send(ctx context.Context) decision.Event {
	i := s.exchange.ingress
	start := i.Clock()
	err := s.fillEnvelope(ctx)
	close(s.ready)
	if err == nil {
		s.answer, err = i.Hop.Forward(ctx, s.target.Guard.Data, s.envelope, s.exchange.request)
	}
	took := i.Clock().Sub(start)
	if err == nil {
		i.Guards.RecordClock(s.target.Guard.ID, s.answer.Report.Incarnation, s.answer.Report.Clock)
		i.Observer.HeardRevision(s.answer.Report.Revision, s.target.Guard.ID)
		if r := s.answer.Report.Room; r != nil {
			i.door.hear(i.Clock(), s.exchange.service, s.target.Backend.ID, *r)
		}
		i.withdrawals.record(s.exchange.caller, s.envelope.Revision, s.answer.Report)
	}
	if errors.Is(err, forwarder.ErrMismatch) {
		i.Observer.AnswerDropped(s.envelope.Attempt)
	}
	s.reportTokenUse(err)
	s.reportToHedging(ctx, took, err)
	s.reportToChooser(ctx, took, err)
	i.Observer.AttemptEnded(AttemptRecord{
		Attempt: s.envelope.Attempt, RequestID: s.envelope.RequestID,
		Backend: s.target.Backend.ID, Guard: s.target.Guard.ID,
		Verdict: s.verdict(ctx, err), Reason: s.answer.Report.Reason, Status: s.answer.Status, Took: took, Err: err,
	})
	return s.event(err)
}

// fillEnvelope sets the envelope's incarnation and its times, which are in milliseconds of
// the guard's clock. Its errors wrap forwarder.ErrNotSent.
func (s *sentAttempt) fillEnvelope(ctx context.Context) error {
	i := s.exchange.ingress
	guardClock, err := i.Guards.Clock(ctx, s.target.Guard.ID)
	if err != nil {
		return errors.Join(forwarder.ErrNotSent, err)
	}
	now := i.Clock()
	left := s.exchange.deadline.Sub(now)
	incarnation, expires, ok := guardClock.Deadline(now, left)
	if !ok {
		return forwarder.ErrNotSent
	}
	s.envelope.Incarnation, s.envelope.Expires = incarnation, expires.Milliseconds()
	if target := s.exchange.answerBy(); !target.IsZero() {
		_, on, _ := guardClock.Deadline(now, target.Sub(now))
		s.envelope.Target = max(1, on.Milliseconds())
	}
	if s.token != nil {
		_, tokenExpires, _ := guardClock.Deadline(now, s.token.Expires.Sub(now))
		s.envelope.TokenExpires = max(0, tokenExpires.Milliseconds())
		s.envelope.TokenHolder, s.envelope.TokenID = s.token.Holder, s.token.ID
	}
	return nil
}

// reportTokenUse tells the limit that the token was used, unless it is certain that the
// attempt has not run.
func (s *sentAttempt) reportTokenUse(err error) {
	notRun := errors.Is(err, forwarder.ErrNotSent) || err == nil && s.answer.Report.Ending == hop.NotRun
	if s.token != nil && !notRun {
		s.exchange.ingress.Limit.Started(*s.token)
	}
}

// returnToken gives back the token of an attempt that has not run and whose request has
// ended already.
func (s *sentAttempt) returnToken(event decision.Event) {
	switch event.(type) {
	case lifecycle.NotRun, lifecycle.DialFailed:
		if s.token != nil {
			s.exchange.ingress.Limit.Return(*s.token)
		}
	}
}

// reportToChooser tells the chooser the outcome of the attempt, or only that it is over
// if it was cancelled.
func (s *sentAttempt) reportToChooser(ctx context.Context, took time.Duration, err error) {
	i := s.exchange.ingress
	if errors.Is(ctx.Err(), context.Canceled) {
		i.Chooser.AttemptDiscarded(s.envelope.Attempt, s.target)
		return
	}
	ended := picker.AttemptEnded{
		Attempt:     s.envelope.Attempt,
		Backend:     s.target.Backend.ID,
		Class:       s.exchange.class,
		Took:        took,
		Verdict:     s.verdict(ctx, err),
		Report:      s.answer.Report.Load,
		AnswerBytes: len(s.answer.Body),
	}
	i.Chooser.AttemptEnded(ended)
}

// reportToHedging tells the hedging what a hedge took, or how long another attempt did.
func (s *sentAttempt) reportToHedging(ctx context.Context, took time.Duration, err error) {
	i := s.exchange.ingress
	if !s.hedge {
		i.hedging.observe(i.Clock(), s.exchange.route, s.exchange.service, took, s.verdict(ctx, err))
		return
	}
	notRun := errors.Is(err, forwarder.ErrNotSent) || err == nil && s.answer.Report.Ending == hop.NotRun
	s.settleHedge(took, !notRun, err == nil && s.answer.Report.Ending == hop.Ran && ctx.Err() == nil)
}

// verdict returns what the outcome of the attempt says about the backend server or the
// path to it.
func (s *sentAttempt) verdict(ctx context.Context, err error) verdict.Verdict {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.Timeout
	case errors.Is(err, holder.ErrFull):
		return verdict.Cancelled
	case err != nil:
		return verdict.PathFailure
	case s.answer.Report.Ending == hop.NotRun && s.answer.Report.Reason == guard.ReasonNotSent:
		return verdict.Reset
	case s.answer.Report.Ending == hop.NotRun:
		return verdict.Shed
	case s.answer.Report.Ending == hop.Unknown:
		return verdict.Reset
	case s.answer.Status >= http.StatusInternalServerError:
		return verdict.Error
	}
	return verdict.OK
}

// event returns the event that tells the lifecycle the outcome of the attempt.
func (s *sentAttempt) event(err error) decision.Event {
	r := s.answer.Report
	switch {
	case errors.Is(err, forwarder.ErrNotSent):
		return lifecycle.DialFailed{Attempt: s.number}
	case err != nil || r.Ending == hop.Unknown:
		return lifecycle.Lost{Attempt: s.number}
	case r.Ending == hop.NotRun:
		return lifecycle.NotRun{
			Attempt:    s.number,
			Reason:     r.Reason,
			RetryAfter: r.RetryAfter,
			Everywhere: refusedEverywhere(r, s.envelope.Revision),
		}
	}
	return lifecycle.Answered{Attempt: s.number, ID: r.Attempt, Status: s.answer.Status}
}

// refusedEverywhere reports whether every other guard would refuse for the same reason. A guard
// whose configuration is below the revision that this ingress used doesn't decide for others.
func refusedEverywhere(r hop.Report, revision uint64) bool {
	switch r.Reason {
	case guard.ReasonKeyWithdrawn, guard.ReasonNoRoute, guard.ReasonUnproven, guard.ReasonOverLimit, guard.ReasonNoHolder,
		guard.ReasonNoRoomForCalls:
		return r.Revision >= revision
	case guard.ReasonExpired:
		return true
	}
	return false
}

// cancel closes the attempt's connection and asks its guard, in the background, not to run
// it. An attempt whose envelope is not yet filled in is never sent.
func (x *exchange) cancel(a lifecycle.Cancel) {
	s := x.attempts[a.ID.Attempt]
	go func() {
		s.cancel()
		<-s.ready
		if a.Pause > 0 {
			<-time.After(a.Pause)
		}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), cancelTimeout)
		defer cancel()
		certainty := x.ingress.Guards.Cancel(ctx, a.Guard, s.envelope)
		_ = x.post(lifecycle.CancelResult{Attempt: s.number, Certainty: certainty})
	}()
}
