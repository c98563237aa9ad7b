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

// guard is a fake guard with the real ledger. Its backend server only counts.
type guard struct {
	ledger  *ledger.Ledger
	started time.Time
	// rate is how fast its clock runs.
	rate            float64
	queued, running []id.ID
}

func (g *guard) now(at time.Time) time.Time {
	return g.started.Add(time.Duration(float64(at.Sub(g.started)) * g.rate))
}

// sentAttempt is what the ingress remembers of an attempt, and what the oracle knows of it.
type sentAttempt struct {
	request     *request
	n           uint8
	guard       int
	incarnation uint64
	deadline    time.Duration
	runs        int
	// silent tells that a Cancel got no answer, or one from another incarnation.
	silent bool
	// outstanding tells that the ingress still waits for the attempt's one ending.
	outstanding, cancelling bool
	// carried is the attempt that the answer names which came in last.
	carried id.ID
	// freed tells that the attempt's token went back to the request.
	freed bool
}

// request is a lifecycle and what the oracle expects of it.
type request struct {
	lifecycle  *Lifecycle
	repeatable bool
	runs       int
	attempts   []*sentAttempt
	timers     []SetTimer
	reply      *Reply
	left       bool
	tokens     int
	graceOver  bool
}

// message is anything that is on its way, or waits for its turn.
type message struct {
	deliver func()
	// lose tells what follows if it gets lost; nil if it can't be.
	lose func()
	// repeat tells that the link may deliver it twice.
	repeat bool
}

type world struct {
	t        *rapid.T
	now      time.Time
	guards   []*guard
	clocks   []clock.Clock
	requests []*request
	sent     map[id.ID]*sentAttempt
	messages []message
	// longStep is the longest time between two steps, in milliseconds.
	longStep int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: epoch, sent: map[id.ID]*sentAttempt{}, longStep: 300}
	if w.chance(4, "long steps") {
		w.longStep = 8000
	}
	for g := range rapid.IntRange(1, 3).Draw(t, "guards") {
		w.guards = append(w.guards, &guard{})
		w.clocks = append(w.clocks, clock.Clock{})
		w.guards[g].rate = rapid.Float64Range(1-clock.MaxDrift/4, 1+clock.MaxDrift/4).Draw(t, "rate")
		w.restart(g, 1)
		w.read(g)
	}
	return w
}

func (w *world) restart(g int, incarnation uint64) {
	old := w.guards[g]
	w.guards[g] = &guard{ledger: ledger.New(w.now, incarnation, 2+w.below(4, "capacity")), started: w.now, rate: old.rate}
}

// read gives the ingress a reading of the guard's clock.
func (w *world) read(g int) {
	guard := w.guards[g]
	reading := guard.ledger.Clock(guard.now(w.now))
	w.clocks[g] = w.clocks[g].WithReading(guard.ledger.Incarnation(), reading, w.now)
}

func (w *world) post(m message) { w.messages = append(w.messages, m) }

// below draws a number from 0 to n-1, all about as likely. The generators for
// integers prefer the ends of their range, which leaves most schedules shallow.
func (w *world) below(n int, label string) int {
	drawn := 0
	for size := 1; size < 8*n; size *= 2 {
		drawn *= 2
		if rapid.Bool().Draw(w.t, label) {
			drawn++
		}
	}
	return drawn % n
}

// chance is true about once in n.
func (w *world) chance(n int, label string) bool { return w.below(n, label) == n-1 }

func (w *world) begin() {
	r := &request{repeatable: w.chance(3, "repeatable")}
	r.lifecycle = New(id.New("ingress", 1, uint64(len(w.requests))))
	w.requests = append(w.requests, r)
	b := Begin{Repeatable: r.repeatable, Deadline: w.now.Add(3 * time.Second), MaxAttempts: 3}
	if w.chance(2, "hedged") {
		b.Hedge = 100 * time.Millisecond
	}
	w.feed(r, b)
}

// feed gives an event to a lifecycle and carries out what follows.
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
			if w.sent[a.ID].carried == a.ID {
				w.t.Fatalf("attempt %v has answered and is cancelled", a.ID)
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
	if w.chance(8, "token refused") {
		w.post(message{deliver: func() { w.feed(r, TokenRefused{Reason: "limit"}) }})
		return
	}
	w.post(message{deliver: func() { r.tokens++; w.feed(r, TokenDrawn{}) }})
}

func (w *world) pick(r *request) {
	if w.chance(10, "none") {
		w.post(message{deliver: func() { w.feed(r, NoneAvailable{Reason: "none"}) }})
		return
	}
	g := w.below(len(w.guards), "guard")
	w.post(message{deliver: func() {
		w.feed(r, Picked{Backend: backend.ID(rune('a' + g)), Guard: member.ID(rune('a' + g))})
	}})
}

func (w *world) dispatch(r *request, d Dispatch) {
	g := int(d.Guard[0] - 'a')
	incarnation, deadline, _ := w.clocks[g].Deadline(w.now, r.lifecycle.begin.Deadline.Sub(w.now))
	a := &sentAttempt{request: r, n: d.ID.Attempt, guard: g, incarnation: incarnation, deadline: deadline, outstanding: true}
	w.sent[d.ID] = a
	r.attempts = append(r.attempts, a)
	r.tokens--
	if w.chance(10, "dial fails") {
		w.post(message{deliver: func() { w.ending(a, DialFailed{a.n}) }})
		return
	}
	w.post(message{
		deliver: func() { w.arrive(d.ID, a) },
		lose:    func() { w.ending(a, Lost{a.n}) },
		repeat:  true,
	})
}

// ending tells a lifecycle how an attempt ended, once.
func (w *world) ending(a *sentAttempt, event decision.Event) {
	if !a.outstanding {
		return
	}
	a.outstanding = false
	switch e := event.(type) {
	case NotRun, DialFailed:
		a.freeToken()
	case Answered:
		a.carried = e.ID
	}
	w.feed(a.request, event)
}

// freeToken gives the attempt's token back to the request, once.
func (a *sentAttempt) freeToken() {
	if !a.freed {
		a.freed = true
		a.request.tokens++
	}
}

// respond sends a guard's answer over the attempt's connection.
func (w *world) respond(a *sentAttempt, event decision.Event) {
	w.post(message{
		deliver: func() { w.read(a.guard); w.ending(a, event) },
		lose:    func() { w.ending(a, Lost{a.n}) },
	})
}

func (w *world) cancel(a *sentAttempt) {
	a.cancelling = true
	done := false
	result := func(c Certainty) {
		if done {
			return
		}
		done = true
		a.cancelling = false
		a.silent = a.silent || c == Unreachable
		if c == NeverRuns {
			a.freeToken()
		}
		w.feed(a.request, CancelResult{Attempt: a.n, Certainty: c})
	}
	unanswered := func() { result(Unreachable) }
	w.post(message{
		deliver: func() {
			c := w.cancelAt(a)
			w.post(message{deliver: func() { result(c) }, lose: unanswered})
		},
		lose:   unanswered,
		repeat: true,
	})
}

func (w *world) update(g int, event decision.Event) []decision.Action {
	guard := w.guards[g]
	return guard.ledger.Update(guard.now(w.now), event)
}

func (w *world) cancelAt(a *sentAttempt) Certainty {
	g := w.guards[a.guard]
	attempt := a.request.lifecycle.first.WithAttempt(a.n)
	certainty := MayRun
	event := ledger.Cancel{ID: attempt, Incarnation: a.incarnation, Deadline: a.deadline}
	for _, action := range w.update(a.guard, event) {
		switch c := action.(type) {
		case ledger.Stop:
			if w.chance(4, "too late to leave the queue") {
				continue
			}
			g.queued = slices.DeleteFunc(g.queued, func(i id.ID) bool { return i == attempt })
		case ledger.Cancelled:
			if c.State == ledger.NotRun {
				certainty = NeverRuns
			}
			a.silent = a.silent || c.State == ledger.Unknown
		}
	}
	return certainty
}

// arrive brings an attempt, or another copy of it, to its guard.
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

func (w *world) refuse(a *sentAttempt, reason ledger.Reason) {
	if reason.Final() {
		w.respond(a, NotRun{Attempt: a.n, Reason: string(reason)})
		return
	}
	w.respond(a, Lost{a.n})
}
