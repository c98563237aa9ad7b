// Package lifecycle is the state machine of one request: it decides when the
// ingress makes attempts, cancels them and replies to the caller.
//
// A non-repeatable request has one attempt at a time. It gets another only after
// it is certain that the previous attempt has not run and never will. A
// repeatable request may be sent to a second backend server while the first is
// slow (a hedged request) or after the first failed (a retry). The caller gets the
// outcome "not-run" only if it is certain for all attempts, and "unknown" if the
// guards cannot confirm it in time.
//
// # Usage
//
//	l := lifecycle.New(id.New(ingress, incarnation, request))
//	for _, action := range l.Update(now, lifecycle.Begin{Deadline: d, MaxAttempts: 3}) {
//		// carry out DrawToken, ReturnToken, Pick, Dispatch, Cancel, SetTimer, Reply
//	}
//
// The adapter answers each DrawToken, Pick and Cancel with one event, and each
// Dispatch with one of Answered, NotRun, DialFailed and Lost. It must pass in events
// that come after the Reply as well: the token of an attempt that turns out not to
// have run is then returned.
package lifecycle

import (
	"net/http"
	"time"

	"berylpass/attempt/id"
	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

const (
	// CancelGrace is how long after the deadline the lifecycle waits for the guards'
	// answers to Cancel.
	CancelGrace = 150 * time.Millisecond
	// maxCancelTries bounds the Cancel calls for one attempt to an unreachable guard.
	maxCancelTries = 3
	// cancelRetryDelay is the pause before Cancel is sent again to an unreachable guard. It
	// exceeds the 200 ms that pass before a failed connection to the guard is dialled again.
	cancelRetryDelay = 250 * time.Millisecond
)

// Reasons of a Reply without an answer.
const (
	ReasonDeadlinePassed   = "deadline-passed"
	ReasonAnswerLost       = "answer-lost"
	ReasonGuardUnreachable = "guard-unreachable"
)

// progress is what the ingress knows about an attempt.
type progress uint8

const (
	inFlight progress = iota
	// cancelling means that the guard was asked to cancel it and has not answered.
	cancelling
	// neverRuns means that the attempt has not run and never will.
	neverRuns
	// mayRun means that the attempt may have run and that Cancel brought no certainty.
	mayRun
	// failed means that the backend server answered with an error status.
	failed
	// won means that its answer is sent to the caller.
	won
)

type attempt struct {
	id       id.ID
	backend  backend.ID
	guard    member.ID
	progress progress
	// cancels is the number of Cancel calls made.
	cancels int
}

// Lifecycle is the state of one request. It is not safe for concurrent use.
type Lifecycle struct {
	first    id.ID
	begin    Begin
	attempts []attempt
	// unusedTokens is the number of tokens that were drawn and are held by no attempt.
	unusedTokens int
	// preparing reports whether a DrawToken or a Pick for the next attempt is pending.
	preparing bool
	// hedging reports whether the attempt in preparation was started beside one that was in flight.
	hedging bool
	// deadlinePassed is set when the Deadline timer has fired.
	deadlinePassed bool
	// ended is set when the caller got its reply or left.
	ended      bool
	reason     string
	retryAfter time.Duration
	actions    []decision.Action
}

var _ decision.System = (*Lifecycle)(nil)

// New returns the lifecycle of the request whose first attempt has the given ID.
func New(first id.ID) *Lifecycle { return &Lifecycle{first: first} }

// Update applies an event and returns the actions for the adapter to carry out.
func (l *Lifecycle) Update(now time.Time, event decision.Event) []decision.Action {
	l.actions = nil
	switch e := event.(type) {
	case Begin:
		l.start(e)
	case TokenDrawn:
		l.tokenDrawn()
	case TokenRefused:
		l.tokenRefused(e)
	case Picked:
		l.dispatch(now, e)
	case NoneAvailable:
		l.preparationFailed(e.Reason, e.RetryAfter)
	case Answered:
		l.answered(now, e)
	case NotRun:
		l.setReason(e.Reason, e.RetryAfter)
		l.notRun(now, e.Attempt, !e.Everywhere)
	case DialFailed:
		l.setReason(ReasonGuardUnreachable, 0)
		l.notRun(now, e.Attempt, true)
	case Lost:
		l.lost(now, e.Attempt)
	case CancelResult:
		l.cancelResult(now, e)
	case TimerFired:
		l.timerFired(now, e.Timer)
	case CallerLeft:
		l.callerLeft()
	}
	return l.actions
}

func (l *Lifecycle) emit(a decision.Action) { l.actions = append(l.actions, a) }

func (l *Lifecycle) start(e Begin) {
	l.begin = e
	l.emit(SetTimer{Timer: Deadline, At: e.Deadline})
	l.prepare(FirstPurpose)
}

// prepare starts another attempt. It uses an unused token if there is one and draws one otherwise.
func (l *Lifecycle) prepare(purpose Purpose) {
	l.preparing, l.hedging = true, purpose == HedgePurpose
	if l.unusedTokens > 0 {
		l.pick()
		return
	}
	l.emit(DrawToken{Purpose: purpose})
}

func (l *Lifecycle) pick() {
	exclude := make([]backend.ID, 0, len(l.attempts))
	for _, a := range l.attempts {
		exclude = append(exclude, a.backend)
	}
	l.emit(Pick{Exclude: exclude, Hedge: l.hedging && l.count(inFlight) > 0})
}

func (l *Lifecycle) tokenDrawn() {
	if !l.preparing {
		l.emit(ReturnToken{Count: 1})
		return
	}
	l.unusedTokens++
	l.pick()
}

// tokenRefused goes on with a token that an earlier attempt has given back in the
// meantime, provided that no attempt is in flight, and gives up the preparation otherwise.
func (l *Lifecycle) tokenRefused(e TokenRefused) {
	if l.preparing && l.unusedTokens > 0 && l.count(inFlight) == 0 {
		l.pick()
		return
	}
	l.preparationFailed(e.Reason, e.RetryAfter)
}

// preparationFailed gives up the attempt in preparation. Its reason goes into the
// Reply if no earlier attempt may have run.
func (l *Lifecycle) preparationFailed(reason string, retryAfter time.Duration) {
	if !l.preparing {
		return
	}
	l.preparing = false
	if len(l.attempts) == 0 || l.allNeverRun() {
		l.setReason(reason, retryAfter)
	}
	l.concludeIfDone()
}

func (l *Lifecycle) dispatch(now time.Time, e Picked) {
	if !l.preparing {
		return
	}
	l.preparing = false
	l.unusedTokens--
	a := attempt{id: l.first.WithAttempt(uint8(len(l.attempts))), backend: e.Backend, guard: e.Guard}
	l.attempts = append(l.attempts, a)
	l.emit(Dispatch{ID: a.id, Backend: e.Backend, Guard: e.Guard})
	if l.begin.Repeatable && l.begin.Hedge > 0 {
		l.emit(SetTimer{Timer: Hedge, At: now.Add(l.begin.Hedge)})
	}
}

// mayPrepare reports whether another attempt may be prepared now.
func (l *Lifecycle) mayPrepare(now time.Time) bool {
	if l.ended || l.deadlinePassed || l.preparing ||
		len(l.attempts) >= int(l.begin.MaxAttempts) || !now.Before(l.begin.Deadline) {
		return false
	}
	if runs := len(l.attempts) - l.count(neverRuns); l.begin.MaxRuns > 0 && runs >= int(l.begin.MaxRuns) {
		return false
	}
	return l.begin.Repeatable || l.allNeverRun()
}

func (l *Lifecycle) allNeverRun() bool { return l.count(neverRuns) == len(l.attempts) }

func (l *Lifecycle) count(p progress) int {
	n := 0
	for _, a := range l.attempts {
		if a.progress == p {
			n++
		}
	}
	return n
}

// setReason sets the Reply's reason for the case that there is no answer.
func (l *Lifecycle) setReason(reason string, retryAfter time.Duration) {
	l.reason, l.retryAfter = reason, retryAfter
}

// backendFailed reports whether a status code says that the backend server failed: 500, 502, 503 or 504.
func backendFailed(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
