package guard

import (
	"context"
	"errors"
	"time"

	"berylpass/attempt/id"
	"berylpass/attempt/ledger"
	"berylpass/choice/gate"
	"berylpass/decision"
	"berylpass/hop"
)

// attempt is the state of one attempt or probe that is queued or running.
type attempt struct {
	envelope hop.Envelope
	// decisions receives the gate's decision, exactly once.
	decisions chan gateDecision
	decided   bool
	// running is true once the gate has given the attempt a slot.
	running bool
	// deadline is the time at which the attempt is aborted.
	deadline time.Time
	// reason, unless empty, replaces the gate's reason if the attempt is not run.
	reason string
	// cancel cancels the attempt's context, which aborts its request to the backend server.
	cancel context.CancelFunc
}

// gateDecision is the gate's decision on an attempt: to run it, or why not.
type gateDecision struct {
	run        bool
	reason     string
	retryAfter time.Duration
}

// admit enters a new attempt in the ledger, checks it and hands it to the gate. If it is
// refused, admit returns nil, the reason, and the ending to report; otherwise the ending
// means nothing.
func (g *Guard) admit(now time.Time, e hop.Envelope, cancel context.CancelFunc) (*attempt, string, hop.Ending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	accept := ledger.Accept{ID: e.Attempt, Incarnation: e.Incarnation, Deadline: milliseconds(e.Expires)}
	for _, action := range g.ledger.Update(now, accept) {
		if refused, ok := action.(ledger.Refused); ok {
			return nil, string(refused.Reason), endingOf(refused.Reason)
		}
	}
	reason := g.checkArrival(now, e)
	if reason == reasonNone && e.Repeated && !g.mayRepeat(e.Route) {
		reason = ReasonRetryBudget
	}
	if reason == reasonNone && e.Hedge && len(g.calls.Services(e.Route)) > 0 {
		reason = ReasonMakesCalls
	}
	if reason == reasonNone && !g.hasRoomForCalls(now, e) {
		reason = ReasonNoRoomForCalls
	}
	if reason != reasonNone {
		g.ledger.Update(now, ledger.Discard{ID: e.Attempt})
		return nil, reason, hop.NotRun
	}
	return g.queue(now, e, cancel), reasonNone, hop.Ran
}

// admitProbe hands a probe to the gate without an entry in the ledger.
func (g *Guard) admitProbe(now time.Time, e hop.Envelope, cancel context.CancelFunc) *attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue(now, e, cancel)
}

// queue asks the gate for a slot. The caller holds g.mu.
func (g *Guard) queue(now time.Time, e hop.Envelope, cancel context.CancelFunc) *attempt {
	expires := g.started.Add(milliseconds(e.Expires))
	a := &attempt{envelope: e, decisions: make(chan gateDecision, 1), cancel: cancel, deadline: expires}
	g.attempts[e.Attempt] = a
	g.apply(now, g.gate.Update(now, gate.Arrive{
		ID:           e.Attempt,
		Backend:      e.Backend,
		Organisation: e.Organisation,
		Class:        e.Class,
		Rank:         e.Rank,
		Target:       g.target(e),
		Expires:      expires,
		Repeatable:   e.Repeatable,
		Forced:       e.Forced,
		Prompt:       e.Prompt,
	}))
	return a
}

// target returns until when the answer to the attempt should arrive, the zero time for no such time.
func (g *Guard) target(e hop.Envelope) time.Time {
	if e.Target == 0 {
		return time.Time{}
	}
	return g.started.Add(milliseconds(e.Target))
}

// endingOf returns the ending that a refusal by the ledger proves. The forwarder sends
// each attempt once, so a refused attempt has not run unless it duplicates one that was
// accepted; whether that one ran is unknown.
func endingOf(r ledger.Reason) hop.Ending {
	if r == ledger.Duplicate {
		return hop.Unknown
	}
	return hop.NotRun
}

// checkArrival returns why a new attempt must not run, or reasonNone. The caller holds g.mu.
func (g *Guard) checkArrival(now time.Time, e hop.Envelope) string {
	if g.leaving {
		return ReasonLeaving
	}
	return g.check(now, g.Configuration.Current(), e)
}

// errNotStarted reports a request that was refused right before it would have been sent
// to its backend server.
var errNotStarted = errors.New("request refused before it was sent to the backend server")

// notStarted is an error that wraps errNotStarted and holds the reason.
type notStarted struct{ reason string }

func (e notStarted) Error() string { return errNotStarted.Error() + ": " + e.reason }

func (e notStarted) Unwrap() error { return errNotStarted }

// start repeats the checks and asks the ledger to start the attempt, right before the
// request is written to its backend server. Its error is a notStarted.
func (g *Guard) start(now time.Time, e hop.Envelope) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason := g.check(now, g.Configuration.Current(), e); reason != reasonNone {
		return notStarted{reason: reason}
	}
	for _, action := range g.ledger.Update(now, ledger.Start{ID: e.Attempt}) {
		if refused, ok := action.(ledger.Refused); ok {
			return notStarted{reason: string(refused.Reason)}
		}
	}
	g.calls.RecordRun(e.Route)
	g.Versions.Started(e.Attempt, g.backends[e.Backend].Backend, e.Route)
	return nil
}

// finish removes an attempt and tells the ledger whether it may have run. Unless finished
// is nil, it also frees the attempt's slot at the gate.
func (g *Guard) finish(now time.Time, a *attempt, ran bool, finished *gate.Finished) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.attempts, a.envelope.Attempt)
	if ran {
		g.ledger.Update(now, ledger.Finish{ID: a.envelope.Attempt})
	} else {
		g.ledger.Update(now, ledger.Discard{ID: a.envelope.Attempt})
	}
	if finished != nil {
		g.apply(now, g.gate.Update(now, *finished))
	}
}

// apply carries out actions of the ledger and the gate. The caller holds g.mu.
func (g *Guard) apply(now time.Time, actions []decision.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case gate.Run:
			g.decide(a.ID, gateDecision{run: true})
		case gate.Shed:
			g.decide(a.ID, gateDecision{reason: a.Reason.String(), retryAfter: a.RetryAfter})
		case gate.Withdrawn:
			g.decide(a.ID, gateDecision{reason: string(ledger.WasCancelled)})
		case gate.Notice:
			g.Observer.LoadChanged(a.Backend, a.Report)
		case ledger.Stop:
			g.stop(now, a.ID)
		}
	}
}

// decide passes the gate's first decision on an attempt to the goroutine that serves it.
// The caller holds g.mu.
func (g *Guard) decide(attemptID id.ID, d gateDecision) {
	a, ok := g.attempts[attemptID]
	if !ok || a.decided {
		return
	}
	a.decided, a.running = true, d.run
	if a.reason != reasonNone && !d.run {
		d.reason = a.reason
	}
	a.decisions <- d
}

// stop takes an attempt out of the queue, or cancels it at its backend server. The caller
// holds g.mu.
func (g *Guard) stop(now time.Time, attemptID id.ID) {
	a, ok := g.attempts[attemptID]
	if !ok {
		return
	}
	g.apply(now, g.gate.Update(now, gate.Withdraw{ID: attemptID}))
	a.cancel()
}

// tick removes the backend servers that have been silent for too long and advances the gate.
func (g *Guard) tick(now time.Time) {
	for _, silent := range g.silent(now) {
		// Unlike BackendLeft, this doesn't end the process: a silent one serves again after its
		// next heartbeat or announcement. The error only says that it is removed already.
		_ = g.Remove(silent)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(now, g.gate.Update(now, gate.Tick{}))
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
