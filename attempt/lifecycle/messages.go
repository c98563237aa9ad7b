package lifecycle

import (
	"time"

	"berylpass/attempt/id"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// Begin starts the lifecycle. It must be the first event.
type Begin struct {
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// Deadline is the time at which unanswered attempts are cancelled. The reply may follow
	// up to CancelGrace later.
	Deadline time.Time
	// MaxAttempts bounds the number of attempts; one is made even if it is 0.
	MaxAttempts uint8
	// MaxRuns bounds the number of attempts that may have run; 0 means no such bound.
	MaxRuns uint8
	// Hedge is the time without an answer after which a repeatable request is also sent to
	// another backend server; 0 disables hedging.
	Hedge time.Duration
}

// TokenDrawn answers DrawToken: the token was drawn.
type TokenDrawn struct{}

// TokenRefused answers DrawToken: there is no token, for instance because the organisation's limit
// or the retry budget is used up.
type TokenRefused struct {
	Reason     string
	RetryAfter time.Duration
}

// Picked answers Pick with the chosen backend server and its guard.
type Picked struct {
	Backend backend.ID
	Guard   member.ID
}

// NoneAvailable answers Pick: no backend server can take the request.
type NoneAvailable struct {
	Reason     string
	RetryAfter time.Duration
}

// Answered reports that a complete answer arrived over the attempt's connection.
type Answered struct {
	Attempt uint8
	// ID is the attempt ID that the answer itself carries.
	ID     id.ID
	Status int
}

// NotRun reports that the guard refused the attempt and guarantees that it has not run and never will.
type NotRun struct {
	Attempt    uint8
	Reason     string
	RetryAfter time.Duration
	// Everywhere reports that every other backend server would refuse the request too.
	Everywhere bool
}

// DialFailed reports that no byte of the attempt left the ingress, be it that the guard could not be reached or
// that the deadline passed first.
type DialFailed struct{ Attempt uint8 }

// Lost reports that an attempt ended without a complete answer, so that it may or may not have run.
type Lost struct{ Attempt uint8 }

// Certainty is the result of a Cancel.
type Certainty uint8

// The results of a Cancel.
const (
	// NeverRuns means that the attempt has not run and never will.
	NeverRuns Certainty = iota
	// MayRun means that the guard's answer does not exclude that the attempt has run or will run.
	MayRun
	// Unreachable means that the guard gave no answer.
	Unreachable
)

// CancelResult answers Cancel.
type CancelResult struct {
	Attempt   uint8
	Certainty Certainty
}

// TimerFired reports that the time of a SetTimer has come.
type TimerFired struct{ Timer Timer }

// CallerLeft reports that the caller disconnected before its reply.
type CallerLeft struct{}

// Timer names a timer of a lifecycle.
type Timer uint8

// The timers.
const (
	// Hedge fires when a repeatable request is to be sent to another backend server as well.
	Hedge Timer = iota
	// Deadline fires when unanswered attempts are to be cancelled.
	Deadline
	// Grace fires when the reply must no longer wait for the guards' answers to Cancel.
	Grace
)

// Purpose is what a token is drawn for.
type Purpose uint8

// The purposes. RetryPurpose and HedgePurpose of a repeatable request also need the retry budget.
const (
	FirstPurpose Purpose = iota
	RetryPurpose
	HedgePurpose
)

// DrawToken asks for a token of the organisation's limit.
type DrawToken struct{ Purpose Purpose }

// ReturnToken gives back tokens whose attempts have not run.
type ReturnToken struct{ Count int }

// Pick asks for a backend server that is none of those in Exclude, which were tried before.
type Pick struct {
	Exclude []backend.ID
	// Hedge reports whether the attempt is made beside one that is in flight.
	Hedge bool
}

// Dispatch asks the adapter to send an attempt. Each attempt is dispatched at most once.
type Dispatch struct {
	ID      id.ID
	Backend backend.ID
	Guard   member.ID
}

// Cancel asks the adapter to cancel the attempt at its guard and to close the attempt's connection.
type Cancel struct {
	ID    id.ID
	Guard member.ID
	// Pause is the time to wait before the call to the guard.
	Pause time.Duration
}

// SetTimer asks for a TimerFired event at the given time.
type SetTimer struct {
	Timer Timer
	At    time.Time
}

// Outcome tells the caller how its request ended.
type Outcome string

// The outcomes.
const (
	// AnsweredOutcome means that the caller gets the answer of Reply.Attempt.
	AnsweredOutcome Outcome = "answered"
	// NotRunOutcome means that no attempt has run and none ever will.
	NotRunOutcome Outcome = "not-run"
	// UnknownOutcome means that an attempt may have run.
	UnknownOutcome Outcome = "unknown"
)

// Reply ends the request for its caller. It is returned exactly once, or never if the caller left first.
type Reply struct {
	Outcome Outcome
	// Attempt is the attempt whose answer the caller gets; zero unless the outcome is AnsweredOutcome.
	Attempt id.ID
	// Reason says in kebab case why there is no answer; empty if there is one.
	Reason     string
	RetryAfter time.Duration
}
