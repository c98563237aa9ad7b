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

// TestMain fixes rapid's seed and number of checks, unless the command line names one.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// step lets one thing happen.
func (w *world) step() {
	g := w.below(len(w.guards), "at")
	switch n := w.below(128, "step"); {
	case n < 64:
		w.deliver()
	case n < 80:
		w.startOne(g)
	case n < 92:
		w.finishOne(g)
	case n < 102:
		if len(w.requests) < 6 {
			w.begin()
		}
	case n < 111:
		w.advance(time.Duration(1+w.below(w.longStep, "ms")) * time.Millisecond)
	case n < 119:
		w.lose()
	case n < 123:
		w.read(g)
	case n < 125:
		w.advance(time.Duration(1+w.below(8000, "ms")) * time.Millisecond)
	case n < 127:
		w.restart(g, w.guards[g].ledger.Incarnation()+1)
	default:
		w.leave()
	}
}

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

func (w *world) take(label string) (message, bool) {
	if len(w.messages) == 0 {
		return message{}, false
	}
	i := rapid.IntRange(0, len(w.messages)-1).Draw(w.t, label)
	m := w.messages[i]
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	return m, true
}

func (w *world) deliver() {
	m, ok := w.take("deliver")
	if !ok {
		return
	}
	if m.repeat && w.chance(6, "repeat") {
		w.post(message{deliver: m.deliver, lose: func() {}})
	}
	m.deliver()
}

// lose breaks what carries a message. The message itself may arrive all the same, later.
func (w *world) lose() {
	m, ok := w.take("lose")
	if !ok {
		return
	}
	if m.lose == nil {
		w.post(m)
		return
	}
	if m.repeat && w.chance(2, "late") {
		w.post(message{deliver: m.deliver, lose: func() {}})
	}
	m.lose()
}

func (w *world) startOne(n int) {
	g := w.guards[n]
	if len(g.queued) == 0 {
		return
	}
	i := w.below(len(g.queued), "queued")
	attempt := g.queued[i]
	g.queued = append(g.queued[:i:i], g.queued[i+1:]...)
	a := w.sent[attempt]
	if w.chance(8, "refused after all") {
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

func (w *world) run(n int, attempt id.ID, a *sentAttempt) {
	if w.chance(8, "not sent") {
		w.update(n, ledger.Discard{ID: attempt})
		w.respond(a, NotRun{Attempt: a.n, Reason: "backend-unreachable"})
		return
	}
	a.runs++
	a.request.runs++
	w.checkRun(a)
	w.guards[n].running = append(w.guards[n].running, attempt)
}

func (w *world) finishOne(n int) {
	g := w.guards[n]
	if len(g.running) == 0 {
		return
	}
	i := w.below(len(g.running), "running")
	attempt := g.running[i]
	g.running = append(g.running[:i:i], g.running[i+1:]...)
	w.update(n, ledger.Finish{ID: attempt})
	a := w.sent[attempt]
	switch w.below(10, "answer") {
	case 9: // the backend server died, or its answer was cut
		w.respond(a, Lost{a.n})
	case 8: // the answer of another attempt
		other := w.requests[w.below(len(w.requests), "crossed")]
		w.respond(a, Answered{Attempt: a.n, ID: other.lifecycle.first.WithAttempt(a.n), Status: 200})
	case 7:
		w.respond(a, Answered{Attempt: a.n, ID: attempt, Status: 503})
	default:
		w.respond(a, Answered{Attempt: a.n, ID: attempt, Status: 200})
	}
}

func (w *world) leave() {
	if len(w.requests) == 0 {
		return
	}
	r := w.requests[w.below(len(w.requests), "leaver")]
	if r.reply == nil {
		r.left = true
		w.feed(r, CallerLeft{})
	}
}

// checkRun holds that non-repeatable work runs once, and nothing after "not run".
func (w *world) checkRun(a *sentAttempt) {
	if !a.request.repeatable && a.request.runs > 1 {
		w.t.Fatalf("request %v ran %d times", a.request.lifecycle.first, a.request.runs)
	}
	if a.runs > 1 {
		w.t.Fatalf("attempt %d of %v ran %d times", a.n, a.request.lifecycle.first, a.runs)
	}
	if a.request.reply != nil && a.request.reply.Outcome == NotRunOutcome {
		w.t.Fatalf("request %v ran after the caller was told not-run", a.request.lifecycle.first)
	}
}

// checkReply holds that what the caller is told is true, and unknown only if it is.
func (w *world) checkReply(r *request, reply Reply) {
	if r.reply != nil || r.left {
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
		if a == nil || a.request != r || a.runs != 1 || a.carried != reply.Attempt {
			w.t.Fatalf("request %v was answered by %v", r.lifecycle.first, reply.Attempt)
		}
	case UnknownOutcome:
		for _, a := range r.attempts {
			if a.runs > 0 || a.silent || a.cancelling && r.graceOver {
				return
			}
		}
		w.t.Fatalf("request %v: unknown, but the guards could tell", r.lifecycle.first)
	}
}

// drain lets everything that is under way come to its end.
func (w *world) drain() {
	for range 3 {
		for len(w.messages) > 0 {
			w.deliver()
		}
		w.advance(3 * time.Second)
		for n := range w.guards {
			for len(w.guards[n].queued) > 0 {
				w.startOne(n)
			}
			for len(w.guards[n].running) > 0 {
				w.finishOne(n)
			}
		}
	}
	for _, r := range w.requests {
		if r.reply == nil && !r.left {
			w.t.Fatalf("request %v got no reply", r.lifecycle.first)
		}
		if r.tokens != 0 {
			w.t.Fatalf("request %v keeps %d tokens", r.lifecycle.first, r.tokens)
		}
	}
}

// TestLifecyclesThroughFaults drives several requests, an ingress and guards with
// the real ledger over a link that delays, loses, repeats and reorders, with
// crossed and cut answers, restarts of guards and deaths of backend servers. The
// longer run: go test ./attempt/lifecycle -v -run Faults -rapid.checks=200000.
func TestLifecyclesThroughFaults(t *testing.T) {
	seen := map[Outcome]int{}
	runs := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 20 + 10*w.below(20, "steps") {
			w.step()
		}
		w.drain()
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
			t.Errorf("no request ended as %s: the schedules are too narrow", outcome)
		}
	}
}
