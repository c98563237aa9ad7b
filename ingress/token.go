package ingress

import (
	"context"
	"errors"
	"time"

	"berylpass/attempt/lifecycle"
	"berylpass/decision"
	"berylpass/guard"
	"berylpass/limit/enforcer"
)

// drawToken takes a token from the organisation's rate limit and returns the event that
// tells the lifecycle the result. A request without an organisation, which only open
// routes allow, needs no token.
func (x *exchange) drawToken() (*enforcer.Token, decision.Event) {
	if x.caller.organisation == "" {
		return nil, lifecycle.TokenDrawn{}
	}
	ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
	defer cancel()
	token, err := x.ingress.Limit.Draw(ctx, x.caller.organisation)
	if err == nil {
		return &token, lifecycle.TokenDrawn{}
	}
	refused := lifecycle.TokenRefused{Reason: ReasonOverLimit, RetryAfter: time.Second}
	var refusal *enforcer.Refusal
	if errors.As(err, &refusal) {
		refused.RetryAfter = refusal.RetryAfter
		x.ingress.Observer.LimitRefused(x.info.RequestID, refusal)
	}
	// enforcer.ErrClosed counts as no-lease too: the daemon is ending.
	if !errors.Is(err, enforcer.ErrOverLimit) {
		refused.Reason = reasonNoHolder
	}
	if errors.Is(err, enforcer.ErrOutdated) || x.ingress.Configuration.Behind(x.ingress.Clock()) {
		refused.Reason = guard.ReasonOutdated
	}
	return nil, refused
}

// holdToken keeps token, if it isn't nil, until an attempt uses it.
func (x *exchange) holdToken(token *enforcer.Token) {
	if token != nil {
		x.tokens = append(x.tokens, *token)
	}
}

// takeToken removes the oldest token that is held and returns it, or nil if none is held.
func (x *exchange) takeToken() *enforcer.Token {
	if len(x.tokens) == 0 {
		return nil
	}
	token := x.tokens[0]
	x.tokens = x.tokens[1:]
	return &token
}

// returnHeld gives up to n held tokens back to the limit.
func (x *exchange) returnHeld(n int) {
	for range n {
		if token := x.takeToken(); token != nil {
			x.ingress.Limit.Return(*token)
		}
	}
}

// recordOutcome updates the exchange from an event that a background goroutine posted,
// holds the token that comes back with it, and returns the event for the lifecycle.
func (x *exchange) recordOutcome(event decision.Event) decision.Event {
	switch e := event.(type) {
	case drawn:
		x.holdToken(e.token)
		return e.event
	case lifecycle.NotRun:
		x.holdToken(x.attempts[e.Attempt].token)
		s := x.attempts[e.Attempt]
		s.refusedByBackend = e.Reason == guard.ReasonShed || e.Reason == guard.ReasonOtherInstance
		s.neverArrived = !s.refusedByBackend
	case lifecycle.DialFailed:
		x.holdToken(x.attempts[e.Attempt].token)
		x.attempts[e.Attempt].neverArrived = true
	case lifecycle.Lost:
		x.expired = x.expired || x.attempts[e.Attempt].answer.Report.Reason == guard.ReasonDeadlinePassed
	}
	return event
}

// returnTokens gives back the tokens that are held and those of events already posted
// but not yet received by run.
func (x *exchange) returnTokens() {
	for {
		select {
		case event := <-x.events:
			x.recordOutcome(event)
		default:
			x.returnHeld(len(x.tokens))
			return
		}
	}
}
