// Package journey leads one request through its attempts, from the caller's
// arrival to the reply.
//
// A request that may not be repeated has one attempt at a time, and gets another
// only after it is certain that the one before has not run and never will. A
// repeatable one may be sent to a second backend server while the first is slow,
// or after it failed. The caller is told "not run" only if that is certain of all
// attempts, and "unknown" if the guards can't tell in time.
//
// # Usage
//
//	j := journey.New(id.New(ingress, incarnation, request))
//	for _, action := range j.Update(now, journey.Begin{Deadline: d, MaxAttempts: 3}) {
//		// carry out DrawToken, ReturnToken, Pick, Dispatch, Cancel, SetTimer, Reply
//	}
//
// DrawToken, Pick and Cancel are each answered by one event, Dispatch by one of
// Answered, NotRun, DialFailed and Lost. Events that come after the Reply must
// still be fed in: what turns out not to have run gives its token back.
package journey

import (
	"net/http"
	"time"

	"berylpass/attempt/id"
	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

const (
	// CancelGrace is how long after the deadline the guards' words are awaited.
	CancelGrace = 250 * time.Millisecond
	// cancelTries bounds how often a guard that does not answer is asked to cancel.
	cancelTries = 3
)

// Reasons of replies without an answer.
const (
	ReasonDeadline = "deadline-passed"
	ReasonLost     = "answer-lost"
	ReasonDial     = "guard-unreachable"
)

// progress is what is known of an attempt.
type progress uint8

const (
	inFlight progress = iota
	// asked means that its guard was asked to cancel it.
	asked
	// neverRuns means that it has not run and never will.
	neverRuns
	// mayRun means that nobody can tell any more.
	mayRun
	// failed means that its whole answer says that the backend server failed.
	failed
	// won means that its answer is the caller's.
	won
)

type attempt struct {
	id       id.ID
	backend  backend.ID
	guard    member.ID
	progress progress
	asked    int
}

// Journey is the state of one request. It is not safe for concurrent use.
type Journey struct {
	first    id.ID
	begin    Begin
	attempts []attempt
	// held counts the tokens that are drawn and not used.
	held int
	// preparing tells that a token or a backend server is awaited.
	preparing bool
	// closing tells that the deadline has passed, or the grace.
	closing bool
	ended   bool
	reason  string
	after   time.Duration
	actions []decision.Action
}

var _ decision.System = (*Journey)(nil)

// New returns the journey of the request whose first attempt has the ID.
func New(first id.ID) *Journey { return &Journey{first: first} }

// Update applies an event.
func (j *Journey) Update(now time.Time, event decision.Event) []decision.Action {
	j.actions = nil
	switch e := event.(type) {
	case Begin:
		j.start(e)
	case TokenDrawn:
		j.tokenDrawn()
	case TokenRefused:
		j.tokenRefused(e)
	case Picked:
		j.dispatch(now, e)
	case NoneAvailable:
		j.notPrepared(e.Reason, e.RetryAfter)
	case Answered:
		j.answered(now, e)
	case NotRun:
		j.note(e.Reason, e.RetryAfter)
		j.notRun(now, e.Attempt, !e.Everywhere)
	case DialFailed:
		j.note(ReasonDial, 0)
		j.notRun(now, e.Attempt, true)
	case Lost:
		j.lost(now, e.Attempt)
	case CancelResult:
		j.cancelResult(now, e)
	case TimerFired:
		j.timerFired(now, e.Timer)
	case CallerLeft:
		j.callerLeft()
	}
	return j.actions
}

func (j *Journey) emit(a decision.Action) { j.actions = append(j.actions, a) }

func (j *Journey) start(e Begin) {
	j.begin = e
	j.emit(SetTimer{Timer: Deadline, At: e.Deadline})
	j.prepare(First)
}

// prepare begins another attempt: with a token that is left over, or with a new one.
func (j *Journey) prepare(purpose Purpose) {
	j.preparing = true
	if j.held > 0 {
		j.pick()
		return
	}
	j.emit(DrawToken{Purpose: purpose})
}

func (j *Journey) pick() {
	exclude := make([]backend.ID, 0, len(j.attempts))
	for _, a := range j.attempts {
		exclude = append(exclude, a.backend)
	}
	j.emit(Pick{Exclude: exclude})
}

func (j *Journey) tokenDrawn() {
	if !j.preparing {
		j.emit(ReturnToken{Count: 1})
		return
	}
	j.held++
	j.pick()
}

// tokenRefused falls back on a token that has become free in the meantime.
func (j *Journey) tokenRefused(e TokenRefused) {
	if j.preparing && j.held > 0 && j.count(inFlight) == 0 {
		j.pick()
		return
	}
	j.notPrepared(e.Reason, e.RetryAfter)
}

// notPrepared gives up the attempt in preparation.
func (j *Journey) notPrepared(reason string, after time.Duration) {
	if !j.preparing {
		return
	}
	j.preparing = false
	if len(j.attempts) == 0 || j.allNeverRun() {
		j.note(reason, after)
	}
	j.settle()
}

func (j *Journey) dispatch(now time.Time, e Picked) {
	if !j.preparing {
		return
	}
	j.preparing = false
	j.held--
	a := attempt{id: j.first.WithAttempt(uint8(len(j.attempts))), backend: e.Backend, guard: e.Guard}
	j.attempts = append(j.attempts, a)
	j.emit(Dispatch{ID: a.id, Backend: e.Backend, Guard: e.Guard})
	if j.begin.Repeatable && j.begin.Hedge > 0 {
		j.emit(SetTimer{Timer: Hedge, At: now.Add(j.begin.Hedge)})
	}
}

// mayPrepare reports whether another attempt is allowed now.
func (j *Journey) mayPrepare(now time.Time) bool {
	if j.ended || j.closing || j.preparing || len(j.attempts) >= int(j.begin.MaxAttempts) || !now.Before(j.begin.Deadline) {
		return false
	}
	return j.begin.Repeatable || j.allNeverRun()
}

func (j *Journey) allNeverRun() bool { return j.count(neverRuns) == len(j.attempts) }

func (j *Journey) count(p progress) int {
	n := 0
	for _, a := range j.attempts {
		if a.progress == p {
			n++
		}
	}
	return n
}

// note keeps why there is no answer.
func (j *Journey) note(reason string, after time.Duration) { j.reason, j.after = reason, after }

// badGateway reports whether a status says that the backend server failed at a request.
func badGateway(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
