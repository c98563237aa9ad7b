package lifecycle

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"berylpass/attempt/id"
	"berylpass/attempt/ledger"
)

// TestMain sets rapid's seed and number of checks. Flags on the command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// step performs one random step of the simulation.
func (w *world) step() {
	g := w.intN(len(w.guards), "at")
	switch n := w.intN(128, "step"); {
	case n < 64:
		w.deliver()
	case n < 80:
		w.startQueued(g)
	case n < 92:
		w.finishRunning(g)
	case n < 102:
		if len(w.requests) < 6 {
			w.begin()
		}
	case n < 111:
		w.advance(time.Duration(1+w.intN(w.maxStepMillis, "ms")) * time.Millisecond)
	case n < 119:
		w.lose()
	case n < 123:
		w.readClock(g)
	case n < 125:
		w.advance(time.Duration(1+w.intN(8000, "ms")) * time.Millisecond)
	case n < 127:
		w.restart(g, w.guards[g].ledger.Incarnation()+1)
	default:
		w.disconnectCaller()
	}
}

// advance moves the time on and fires the timers that are due.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, r := range w.requests {
		kept := r.timers[:0:0]
		var due []Timer
		for _, timer := range r.timers {
			if timer.At.After(w.now) {
				kept = append(kept, timer)
			} else {
				due = append(due, timer.Timer)
			}
		}
		r.timers = kept
		for _, timer := range due {
			r.graceOver = r.graceOver || timer == Grace
			w.feed(r, TimerFired{Timer: timer})
		}
	}
}

// takeMessage removes a random message from those in transit.
func (w *world) takeMessage(label string) (message, bool) {
	if len(w.messages) == 0 {
		return message{}, false
	}
	i := rapid.IntRange(0, len(w.messages)-1).Draw(w.t, label)
	m := w.messages[i]
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	return m, true
}

// deliver delivers a random message, and sometimes a second copy of it later.
func (w *world) deliver() {
	m, ok := w.takeMessage("deliver")
	if !ok {
		return
	}
	if m.mayRepeat && w.oneIn(6, "repeat") {
		w.enqueue(message{deliver: m.deliver, lose: func() {}})
	}
	m.deliver()
}

// lose breaks the connection that carries a random message. The message itself may still arrive later.
func (w *world) lose() {
	m, ok := w.takeMessage("lose")
	if !ok {
		return
	}
	if m.lose == nil {
		w.enqueue(m)
		return
	}
	if m.mayRepeat && w.oneIn(2, "late") {
		w.enqueue(message{deliver: m.deliver, lose: func() {}})
	}
	m.lose()
}

// startQueued lets guard n start a random queued attempt or refuse it after all.
func (w *world) startQueued(n int) {
	g := w.guards[n]
	if len(g.queued) == 0 {
		return
	}
	i := w.intN(len(g.queued), "queued")
	attempt := g.queued[i]
	g.queued = append(g.queued[:i:i], g.queued[i+1:]...)
	a := w.sent[attempt]
	if w.oneIn(8, "refused after all") {
		w.update(n, ledger.Discard{ID: attempt})
		w.respond(a, NotRun{Attempt: a.n, Reason: "draining"})
		return
	}
	for _, action := range w.update(n, ledger.Start{ID: attempt}) {
		switch c := action.(type) {
		case ledger.Run:
			w.run(n, attempt, a)
		case ledger.Refused:
			w.refuse(a, c.Reason)
		}
	}
}

// run sends an attempt to the backend server of guard n, which sometimes cannot be reached.
func (w *world) run(n int, attempt id.ID, a *sentAttempt) {
	if w.oneIn(8, "not sent") {
		w.update(n, ledger.Discard{ID: attempt})
		w.respond(a, NotRun{Attempt: a.n, Reason: "backend-unreachable"})
		return
	}
	a.runs++
	a.request.runs++
	w.checkRun(a)
	w.guards[n].running = append(w.guards[n].running, attempt)
}

// finishRunning ends a random running attempt of guard n with one of the possible answers.
func (w *world) finishRunning(n int) {
	g := w.guards[n]
	if len(g.running) == 0 {
		return
	}
	i := w.intN(len(g.running), "running")
	attempt := g.running[i]
	g.running = append(g.running[:i:i], g.running[i+1:]...)
	w.update(n, ledger.Finish{ID: attempt})
	a := w.sent[attempt]
	switch w.intN(10, "answer") {
	case 9: // the backend server died, or its answer was truncated
		w.respond(a, Lost{a.n})
	case 8: // the answer of another attempt
		other := w.requests[w.intN(len(w.requests), "crossed")]
		w.respond(a, Answered{Attempt: a.n, ID: other.lifecycle.first.WithAttempt(a.n), Status: 200})
	case 7:
		w.respond(a, Answered{Attempt: a.n, ID: attempt, Status: 503})
	default:
		w.respond(a, Answered{Attempt: a.n, ID: attempt, Status: 200})
	}
}

// disconnectCaller lets the caller of a random open request leave.
func (w *world) disconnectCaller() {
	if len(w.requests) == 0 {
		return
	}
	r := w.requests[w.intN(len(w.requests), "leaver")]
	if r.reply == nil {
		r.callerLeft = true
		w.feed(r, CallerLeft{})
	}
}

// checkRun fails the test if a non-repeatable request or an attempt runs twice, or if a
// request runs after its caller was told not-run.
func (w *world) checkRun(a *sentAttempt) {
	if !a.request.repeatable && a.request.runs > 1 {
		w.t.Fatalf("request %v ran %d times", a.request.lifecycle.first, a.request.runs)
	}
	if a.runs > 1 {
		w.t.Fatalf("attempt %d of %v ran %d times", a.n, a.request.lifecycle.first, a.runs)
	}
	if a.request.reply != nil && a.request.reply.Outcome == NotRunOutcome {
		w.t.Fatalf("request %v ran after its caller was told not-run", a.request.lifecycle.first)
	}
}

// checkReply fails the test if the reply is untrue, or unknown although the guards'
// answers left no doubt.
func (w *world) checkReply(r *request, reply Reply) {
	if r.reply != nil || r.callerLeft {
		w.t.Fatalf("request %v got a second reply", r.lifecycle.first)
	}
	r.reply = &reply
	switch reply.Outcome {
	case NotRunOutcome:
		if r.runs > 0 {
			w.t.Fatalf("request %v: not-run after %d runs", r.lifecycle.first, r.runs)
		}
	case AnsweredOutcome:
		a := w.sent[reply.Attempt]
		if a == nil || a.request != r || a.runs != 1 || a.answerID != reply.Attempt {
			w.t.Fatalf("request %v was answered by %v", r.lifecycle.first, reply.Attempt)
		}
	case UnknownOutcome:
		for _, a := range r.attempts {
			if a.runs > 0 || a.cancelInconclusive || a.cancelling && r.graceOver {
				return
			}
		}
		w.t.Fatalf("request %v: got outcome unknown although every cancel was conclusive", r.lifecycle.first)
	}
}

// runToEnd delivers all messages, finishes all attempts and checks that every request
// got its reply and holds no token.
func (w *world) runToEnd() {
	for range 3 {
		for len(w.messages) > 0 {
			w.deliver()
		}
		w.advance(3 * time.Second)
		for n := range w.guards {
			for len(w.guards[n].queued) > 0 {
				w.startQueued(n)
			}
			for len(w.guards[n].running) > 0 {
				w.finishRunning(n)
			}
		}
	}
	for _, r := range w.requests {
		if r.reply == nil && !r.callerLeft {
			w.t.Fatalf("request %v got no reply", r.lifecycle.first)
		}
		if r.tokens != 0 {
			w.t.Fatalf("request %v still holds %d tokens, want 0", r.lifecycle.first, r.tokens)
		}
	}
}

// TestRepliesAreTrueDespiteFaults simulates several requests of one ingress to guards that
// use the real ledger. The links delay, lose, duplicate and reorder messages; answers
// are truncated or belong to another attempt; guards restart and backend servers die.
// A longer run: go test ./attempt/lifecycle -v -run Faults -rapid.checks=200000.
func TestRepliesAreTrueDespiteFaults(t *testing.T) {
	seen := map[Outcome]int{}
	runs := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 20 + 10*w.intN(20, "steps") {
			w.step()
		}
		w.runToEnd()
		for _, r := range w.requests {
			runs += r.runs
			if r.reply != nil {
				seen[r.reply.Outcome]++
			}
		}
	})
	t.Logf("%d runs, replies %v", runs, seen)
	for _, outcome := range []Outcome{AnsweredOutcome, NotRunOutcome, UnknownOutcome} {
		if seen[outcome] == 0 {
			t.Errorf("no request ended as %s: the generated schedules do not cover it", outcome)
		}
	}
}
