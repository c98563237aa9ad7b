package lifecycle

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/decision"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// timedEvent is an event and the time since the previous one.
type timedEvent struct {
	wait  time.Duration
	event decision.Event
}

const (
	ms     = time.Millisecond
	second = time.Second
)

func attemptID(n uint8) id.ID { return id.New("vm-1", 7, 42).WithAttempt(n) }

var nonRepeatable = Begin{Deadline: epoch.Add(2 * second), MaxAttempts: 3}

var repeatable = Begin{Repeatable: true, Deadline: epoch.Add(2 * second), MaxAttempts: 3, Hedge: 100 * ms}

var sessions = map[string][]timedEvent{
	"answered": {
		{0, nonRepeatable}, {0, TokenDrawn{}}, {0, Picked{"rounds-1", "vm-2"}}, {30 * ms, Answered{0, attemptID(0), 200}},
	},
	"over-the-limit": {{0, nonRepeatable}, {ms, TokenRefused{"over-limit", second}}},
	"refused-then-answered-elsewhere": {
		{0, nonRepeatable}, {0, TokenDrawn{}}, {0, Picked{"rounds-1", "vm-2"}},
		{ms, NotRun{Attempt: 0, Reason: "draining"}}, {0, Picked{"rounds-2", "vm-3"}}, {ms, DialFailed{1}},
		{0, Picked{"rounds-3", "vm-4"}}, {30 * ms, Answered{2, attemptID(2), 201}},
	},
	"refused-everywhere": {
		{0, nonRepeatable}, {0, TokenDrawn{}}, {0, Picked{"rounds-1", "vm-2"}},
		{ms, NotRun{Attempt: 0, Reason: "key-withdrawn", Everywhere: true}},
	},
	"lost-and-never-run": {
		{0, nonRepeatable}, {0, TokenDrawn{}}, {0, Picked{"rounds-1", "vm-2"}}, {ms, Lost{0}},
		{ms, CancelResult{0, Unreachable}}, {ms, CancelResult{0, NeverRuns}},
		{0, Picked{"rounds-2", "vm-3"}}, {30 * ms, Answered{1, attemptID(1), 200}},
	},
	"lost-and-started": {
		{0, nonRepeatable}, {0, TokenDrawn{}}, {0, Picked{"rounds-1", "vm-2"}}, {ms, Lost{0}}, {ms, CancelResult{0, MayRun}},
	},
	"lost-and-guard-unreachable": {
		{0, nonRepeatable}, {0, TokenDrawn{}}, {0, Picked{"rounds-1", "vm-2"}}, {ms, Lost{0}},
		{0, CancelResult{0, Unreachable}}, {250 * ms, CancelResult{0, Unreachable}}, {250 * ms, CancelResult{0, Unreachable}},
	},
	"crossed-answer": {
		{0, nonRepeatable}, {0, TokenDrawn{}}, {0, Picked{"rounds-1", "vm-2"}},
		{ms, Answered{0, id.New("vm-1", 7, 41), 200}}, {ms, CancelResult{0, MayRun}},
	},
	"queued-at-the-deadline": {
		{0, nonRepeatable}, {0, TokenDrawn{}}, {0, Picked{"rounds-1", "vm-2"}}, {2 * second, TimerFired{Deadline}},
		{ms, CancelResult{0, NeverRuns}}, {250 * ms, TimerFired{Grace}},
	},
	"guard-silent-at-the-deadline": {
		{0, nonRepeatable}, {0, TokenDrawn{}}, {0, Picked{"rounds-1", "vm-2"}}, {2 * second, TimerFired{Deadline}},
		{250 * ms, TimerFired{Grace}}, {ms, CancelResult{0, NeverRuns}},
	},
	"caller-left": {
		{0, nonRepeatable}, {0, TokenDrawn{}}, {0, Picked{"rounds-1", "vm-2"}}, {ms, CallerLeft{}}, {ms, CancelResult{0, NeverRuns}},
	},
	"hedge-wins": {
		{0, repeatable}, {0, TokenDrawn{}}, {0, Picked{"rounds-1", "vm-2"}}, {100 * ms, TimerFired{Hedge}},
		{0, TokenDrawn{}}, {0, Picked{"rounds-2", "vm-3"}}, {20 * ms, Answered{1, attemptID(1), 200}}, {ms, CancelResult{0, MayRun}},
	},
	"failed-answer-without-a-better-one": {
		{0, repeatable}, {0, TokenDrawn{}}, {0, Picked{"rounds-1", "vm-2"}}, {20 * ms, Answered{0, attemptID(0), 503}},
		{0, TokenRefused{Reason: "budget"}},
	},
}

// TestGoldenSessions compares the events and actions of complete lifecycles with golden
// files. Rewrite them with go test ./attempt/lifecycle -run Sessions -update.
func TestGoldenSessions(t *testing.T) {
	for name, session := range sessions {
		t.Run(name, func(t *testing.T) {
			got := replay(session)
			path := filepath.Join("testdata", name+".golden")
			if *update {
				if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
		})
	}
}

// replay feeds the events to a new lifecycle and returns them with the actions as text.
func replay(session []timedEvent) string {
	var out strings.Builder
	l, now := New(attemptID(0)), epoch
	for _, s := range session {
		now = now.Add(s.wait)
		fmt.Fprintf(&out, "%v %s\n", now.Sub(epoch), describe(s.event))
		for _, action := range l.Update(now, s.event) {
			fmt.Fprintf(&out, "  -> %s\n", describe(action))
		}
	}
	return out.String()
}

// describe formats an event or action, with points in time as durations since epoch.
func describe(message any) string {
	switch m := message.(type) {
	case Begin:
		return fmt.Sprintf("Begin repeatable=%t deadline=%v attempts=%d hedge=%v", m.Repeatable, m.Deadline.Sub(epoch), m.MaxAttempts, m.Hedge)
	case SetTimer:
		return fmt.Sprintf("SetTimer %d at %v", m.Timer, m.At.Sub(epoch))
	}
	return strings.TrimPrefix(fmt.Sprintf("%T%+v", message, message), "lifecycle.")
}
