package lifecycle

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"berylpass/attempt/clock"
	"berylpass/attempt/id"
	"berylpass/attempt/ledger"
	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

var epoch = time.Unix(1_700_000_000, 0)

// guard is a simulated guard with the real ledger.
type guard struct {
	ledger  *ledger.Ledger
	started time.Time
	// rate is the rate of its clock relative to the simulation's time.
	rate            float64
	queued, running []id.ID
}

// now returns the guard's wall-clock time when the simulation's time is at.
func (g *guard) now(at time.Time) time.Time {
	return g.started.Add(time.Duration(float64(at.Sub(g.started)) * g.rate))
}

// sentAttempt is a dispatched attempt, with the facts that the test's checks need.
type sentAttempt struct {
	request     *request
	n           uint8
	guard       int
	incarnation uint64
	deadline    time.Duration
	runs        int
	// cancelInconclusive is set when a Cancel got no answer, or the guard answered Unknown.
	cancelInconclusive bool
	// outstanding is set until the lifecycle was told how the attempt ended, cancelling while a
	// Cancel awaits its result.
	outstanding, cancelling bool
	// answerID is the attempt ID that the received answer carries.
	answerID id.ID
	// tokenReturned is set when the attempt's token went back to the request.
	tokenReturned bool
}

// request is a lifecycle, with the facts that the test's checks need.
type request struct {
	lifecycle  *Lifecycle
	repeatable bool
	runs       int
	attempts   []*sentAttempt
	timers     []SetTimer
	reply      *Reply
	callerLeft bool
	tokens     int
	graceOver  bool
}

// message is a message in transit or any other pending step.
type message struct {
	deliver func()
	// lose is called when the message is lost; nil if it cannot be lost.
	lose func()
	// mayRepeat reports whether the link may deliver the message twice.
	mayRepeat bool
}

// world simulates an ingress, its guards and the links between them.
type world struct {
	t        *rapid.T
	now      time.Time
	guards   []*guard
	clocks   []clock.Clock
	requests []*request
	sent     map[id.ID]*sentAttempt
	messages []message
	// maxStepMillis bounds the time of most time steps, in milliseconds.
	maxStepMillis int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: epoch, sent: map[id.ID]*sentAttempt{}, maxStepMillis: 300}
	if w.oneIn(4, "long steps") {
		w.maxStepMillis = 8000
	}
	for g := range rapid.IntRange(1, 3).Draw(t, "guards") {
		w.guards = append(w.guards, &guard{})
		w.clocks = append(w.clocks, clock.Clock{})
		w.guards[g].rate = rapid.Float64Range(1-clock.MaxDrift/4, 1+clock.MaxDrift/4).Draw(t, "rate")
		w.restart(g, 1)
		w.readClock(g)
	}
	return w
}

// restart replaces guard g by one with an empty ledger and the given incarnation.
func (w *world) restart(g int, incarnation uint64) {
	old := w.guards[g]
	w.guards[g] = &guard{ledger: ledger.New(w.now, incarnation, 2+w.intN(4, "capacity")), started: w.now, rate: old.rate}
}

// readClock gives the ingress a reading of guard g's clock.
func (w *world) readClock(g int) {
	guard := w.guards[g]
	reading := guard.ledger.Clock(guard.now(w.now))
	w.clocks[g] = w.clocks[g].WithReading(guard.ledger.Incarnation(), reading, w.now)
}

func (w *world) enqueue(m message) { w.messages = append(w.messages, m) }

// intN draws a nearly uniform number from 0 to n-1. Rapid's integer generators prefer the
// ends of their range, which would leave most schedules with few kinds of steps.
func (w *world) intN(n int, label string) int {
	drawn := 0
	for size := 1; size < 8*n; size *= 2 {
		drawn *= 2
		if rapid.Bool().Draw(w.t, label) {
			drawn++
		}
	}
	return drawn % n
}

// oneIn reports true with a probability of about 1/n.
func (w *world) oneIn(n int, label string) bool { return w.intN(n, label) == n-1 }

func (w *world) begin() {
	r := &request{repeatable: w.oneIn(3, "repeatable")}
	r.lifecycle = New(id.New("ingress", 1, uint64(len(w.requests))))
	w.requests = append(w.requests, r)
	b := Begin{Repeatable: r.repeatable, Deadline: w.now.Add(3 * time.Second), MaxAttempts: 3}
	if w.oneIn(2, "hedged") {
		b.Hedge = 100 * time.Millisecond
	}
	w.feed(r, b)
}

// feed passes an event to a request's lifecycle and carries out the actions.
func (w *world) feed(r *request, event decision.Event) {
	for _, action := range r.lifecycle.Update(w.now, event) {
		switch a := action.(type) {
		case DrawToken:
			w.drawToken(r)
		case ReturnToken:
			r.tokens -= a.Count
		case Pick:
			w.pick(r)
		case Dispatch:
			w.dispatch(r, a)
		case Cancel:
			if w.sent[a.ID].answerID == a.ID {
				w.t.Fatalf("attempt %v was cancelled after its answer was received", a.ID)
			}
			w.cancel(w.sent[a.ID])
		case SetTimer:
			r.timers = append(r.timers, a)
		case Reply:
			w.checkReply(r, a)
		}
	}
}

func (w *world) drawToken(r *request) {
	if w.oneIn(8, "token refused") {
		w.enqueue(message{deliver: func() { w.feed(r, TokenRefused{Reason: "limit"}) }})
		return
	}
	w.enqueue(message{deliver: func() { r.tokens++; w.feed(r, TokenDrawn{}) }})
}

func (w *world) pick(r *request) {
	if w.oneIn(10, "none") {
		w.enqueue(message{deliver: func() { w.feed(r, NoneAvailable{Reason: "none"}) }})
		return
	}
	g := w.intN(len(w.guards), "guard")
	w.enqueue(message{deliver: func() {
		w.feed(r, Picked{Backend: backend.ID(rune('a' + g)), Guard: member.ID(rune('a' + g))})
	}})
}

// dispatch sends an attempt to its guard, or lets the dial fail.
func (w *world) dispatch(r *request, d Dispatch) {
	g := int(d.Guard[0] - 'a')
	incarnation, deadline, _ := w.clocks[g].Deadline(w.now, r.lifecycle.begin.Deadline.Sub(w.now))
	a := &sentAttempt{request: r, n: d.ID.Attempt, guard: g, incarnation: incarnation, deadline: deadline, outstanding: true}
	w.sent[d.ID] = a
	r.attempts = append(r.attempts, a)
	r.tokens--
	if w.oneIn(10, "dial fails") {
		w.enqueue(message{deliver: func() { w.reportEnding(a, DialFailed{a.n}) }})
		return
	}
	w.enqueue(message{
		deliver:   func() { w.arrive(d.ID, a) },
		lose:      func() { w.reportEnding(a, Lost{a.n}) },
		mayRepeat: true,
	})
}

// reportEnding passes the event that ends an attempt to its lifecycle. Only the first one counts.
func (w *world) reportEnding(a *sentAttempt, event decision.Event) {
	if !a.outstanding {
		return
	}
	a.outstanding = false
	switch e := event.(type) {
	case NotRun, DialFailed:
		a.returnToken()
	case Answered:
		a.answerID = e.ID
	}
	w.feed(a.request, event)
}

// returnToken returns the attempt's token to the request. Only the first call has an effect.
func (a *sentAttempt) returnToken() {
	if !a.tokenReturned {
		a.tokenReturned = true
		a.request.tokens++
	}
}

// respond sends a guard's answer over the attempt's connection.
func (w *world) respond(a *sentAttempt, event decision.Event) {
	w.enqueue(message{
		deliver: func() { w.readClock(a.guard); w.reportEnding(a, event) },
		lose:    func() { w.reportEnding(a, Lost{a.n}) },
	})
}

// cancel sends a Cancel to the guard and passes its result to the lifecycle.
func (w *world) cancel(a *sentAttempt) {
	a.cancelling = true
	done := false
	result := func(c Certainty) {
		if done {
			return
		}
		done = true
		a.cancelling = false
		a.cancelInconclusive = a.cancelInconclusive || c == Unreachable
		if c == NeverRuns {
			a.returnToken()
		}
		w.feed(a.request, CancelResult{Attempt: a.n, Certainty: c})
	}
	unanswered := func() { result(Unreachable) }
	w.enqueue(message{
		deliver: func() {
			c := w.cancelAtGuard(a)
			w.enqueue(message{deliver: func() { result(c) }, lose: unanswered})
		},
		lose:      unanswered,
		mayRepeat: true,
	})
}

// update applies an event to the ledger of guard g.
func (w *world) update(g int, event decision.Event) []decision.Action {
	guard := w.guards[g]
	return guard.ledger.Update(guard.now(w.now), event)
}

// cancelAtGuard applies a Cancel at the attempt's guard and returns the result.
func (w *world) cancelAtGuard(a *sentAttempt) Certainty {
	g := w.guards[a.guard]
	attempt := a.request.lifecycle.first.WithAttempt(a.n)
	certainty := MayRun
	event := ledger.Cancel{ID: attempt, Incarnation: a.incarnation, Deadline: a.deadline}
	for _, action := range w.update(a.guard, event) {
		switch c := action.(type) {
		case ledger.Stop:
			if w.oneIn(4, "too late to leave the queue") {
				continue
			}
			g.queued = slices.DeleteFunc(g.queued, func(i id.ID) bool { return i == attempt })
		case ledger.Cancelled:
			if c.State == ledger.NotRun {
				certainty = NeverRuns
			}
			a.cancelInconclusive = a.cancelInconclusive || c.State == ledger.Unknown
		}
	}
	return certainty
}

// arrive delivers an attempt, or another copy of it, to its guard.
func (w *world) arrive(attempt id.ID, a *sentAttempt) {
	event := ledger.Accept{ID: attempt, Incarnation: a.incarnation, Deadline: a.deadline}
	for _, action := range w.update(a.guard, event) {
		switch c := action.(type) {
		case ledger.Accepted:
			w.guards[a.guard].queued = append(w.guards[a.guard].queued, attempt)
		case ledger.Refused:
			w.refuse(a, c.Reason)
		}
	}
}

// refuse answers a refused attempt: with NotRun if the reason is final, with Lost otherwise.
func (w *world) refuse(a *sentAttempt, reason ledger.Reason) {
	if reason.Final() {
		w.respond(a, NotRun{Attempt: a.n, Reason: string(reason)})
		return
	}
	w.respond(a, Lost{a.n})
}
