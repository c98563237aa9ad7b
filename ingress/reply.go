package ingress

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"berylpass/attempt/id"
	"berylpass/attempt/lifecycle"
	"berylpass/config/snapshot"
	"berylpass/guard"
	"berylpass/hop/forwarder"
)

// Outcome says how a request ended, as the caller is told. Its values are those of
// lifecycle.Outcome.
type Outcome string

// The outcomes of requests.
const (
	// Answered means that the body is the backend server's complete answer.
	Answered Outcome = "answered"
	// NotRun means that the request has not run and never will.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// The headers that every answer in berylpass's own dialect has; AttemptHeader is missing
// if the request was not admitted.
const (
	OutcomeHeader = "Berylpass-Outcome"
	AttemptHeader = "Berylpass-Attempt"
)

// The reasons of refusals, besides those of the packages guard and lifecycle.
const (
	// ReasonOverLimit means that the organisation has used up its rate and burst.
	ReasonOverLimit = "over-limit"
	// reasonNoHolder means that no holder of the organisation's limit could be reached, or
	// that the organisation has no limit. The value is older than the name.
	reasonNoHolder  = "no-lease"
	reasonNoBackend = "no-backend"
	reasonBudget    = "retry-budget-empty"
)

// result says how a request ended.
type result struct {
	outcome    Outcome
	reason     string
	status     int
	retryAfter time.Duration
	attempt    id.ID
	attempts   int
	answer     forwarder.Answer
}

// result returns the result that the caller is told for a reply of the lifecycle.
func (x *exchange) result(r lifecycle.Reply) result {
	if r.Reason == lifecycle.ReasonAnswerLost && x.expired {
		r.Reason = lifecycle.ReasonDeadlinePassed
	}
	end := result{
		outcome:    Outcome(r.Outcome),
		reason:     r.Reason,
		status:     statusOf(r),
		retryAfter: r.RetryAfter,
		attempt:    x.id,
		attempts:   len(x.attempts),
	}
	if r.Outcome == lifecycle.NotRunOutcome && end.status == http.StatusServiceUnavailable && end.retryAfter == 0 {
		end.retryAfter = unservedRetryAfter
	}
	if r.Outcome == lifecycle.NotRunOutcome && end.status == http.StatusServiceUnavailable {
		end.retryAfter = x.spread(end.reason, end.retryAfter)
	}
	if r.Outcome == lifecycle.AnsweredOutcome {
		s := x.attempts[r.Attempt.Attempt]
		end.answer, end.attempt, end.status = s.answer, r.Attempt, s.answer.Status
	}
	return end
}

// statusOf returns the HTTP status for a reply without an answer.
func statusOf(r lifecycle.Reply) int {
	switch {
	case r.Outcome == lifecycle.NotRunOutcome && r.Reason == ReasonOverLimit:
		return http.StatusTooManyRequests
	case r.Outcome == lifecycle.NotRunOutcome && r.Reason == guard.ReasonKeyWithdrawn:
		return http.StatusUnauthorized
	case r.Outcome == lifecycle.NotRunOutcome:
		return http.StatusServiceUnavailable
	case r.Reason == lifecycle.ReasonDeadlinePassed:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// refusal returns the refusal for a result without an answer.
func (e result) refusal(requestID string) Refusal {
	return Refusal{
		Status: e.status, Outcome: e.outcome, Reason: e.reason,
		Attempt: e.attempt.String(), RequestID: requestID, RetryAfter: e.retryAfter,
	}
}

// unservedRetryAfter is the Retry-After of a request that has not run and for which no
// other advice is known. A refusal for lack of slots brings advice of its own, from the
// backlog; for the others, the change that caused the refusal is known throughout the
// fleet after this time.
const unservedRetryAfter = 250 * time.Millisecond

// notReadyRetryAfter is the Retry-After while a daemon takes no requests. It has its
// configuration back within a second of reaching the store or a peer.
const notReadyRetryAfter = 500 * time.Millisecond

// refusalOf returns the refusal for an error of Ingress.admit.
func refusalOf(err error) Refusal {
	f := Refusal{Status: http.StatusInternalServerError, Outcome: NotRun, Reason: "internal-error"}
	for _, known := range []struct {
		err    error
		status int
		reason string
	}{
		{snapshot.ErrNoRoute, http.StatusNotFound, "no-route"},
		{snapshot.ErrMethod, http.StatusNotFound, "no-route-for-method"},
		{errNoKey, http.StatusUnauthorized, "no-key"},
		{errUnknownKey, http.StatusUnauthorized, "unknown-key"},
		{errKeyInURL, http.StatusBadRequest, "key-in-target"},
		{errTwoKeys, http.StatusBadRequest, "two-keys"},
		{errBody, http.StatusBadRequest, "body-unreadable"},
		{ErrNotReady, http.StatusServiceUnavailable, "not-ready"},
		// errOutdated may wrap one of the errors above and so must come after them.
		{errOutdated, http.StatusServiceUnavailable, guard.ReasonOutdated},
	} {
		if errors.Is(err, known.err) {
			f.Status, f.Reason = known.status, known.reason
		}
	}
	if f.Status == http.StatusServiceUnavailable {
		f.RetryAfter = notReadyRetryAfter
	}
	return f
}

// Refuse returns the headers and the body of the refusal of a request that has not reached
// the ingress. It ignores the status, and has the signature that listener.WithRefusal takes.
func Refuse(_ int, reason string) (http.Header, []byte) {
	body, _ := json.Marshal(refusalBody{Outcome: NotRun, Reason: reason})
	h := http.Header{}
	h.Set(OutcomeHeader, string(NotRun))
	h.Set("Content-Type", "application/json")
	return h, append(body, '\n')
}
