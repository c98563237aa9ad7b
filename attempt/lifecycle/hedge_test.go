package lifecycle

import "testing"

// TestAttemptAfterAFailureIsNoHedge lets the first attempt fail while the token of its hedge is drawn. The attempt in
// preparation is then the only one: as a hedge it would be given up without spare room, and the caller get no retry.
func TestAttemptAfterAFailureIsNoHedge(t *testing.T) {
	for name, failure := range map[string]any{
		"not run": NotRun{Attempt: 0, Reason: "draining"},
		"failed":  Answered{0, attemptID(0), 503},
		"lost":    Lost{0},
	} {
		l, now := New(attemptID(0)), epoch
		l.Update(now, repeatable)
		l.Update(now, TokenDrawn{})
		l.Update(now, Picked{"rounds-1", "vm-2"})
		now = now.Add(repeatable.Hedge)
		l.Update(now, TimerFired{Hedge})
		l.Update(now, failure)
		for _, a := range l.Update(now, TokenDrawn{}) {
			if p, ok := a.(Pick); ok && p.Hedge {
				t.Errorf("%s: with nothing in flight the next attempt is picked as a hedge", name)
			}
		}
	}
}
