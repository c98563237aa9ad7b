package probation_test

import (
	"testing"
	"time"

	"berylpass/choice/probation"
)

// TestEjectionTimeDoublesUntilReset checks that the ejection time doubles up to its maximum while ejections
// follow each other closely, and starts again from the first after a long time without ejections.
func TestEjectionTimeDoublesUntilReset(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var p probation.Probation
	for i, want := range []time.Duration{2, 4, 8, 16, 32, 60, 60} {
		p = p.Eject(now)
		now = now.Add(want*time.Second - 1)
		if got := p.Advance(now); got.State != probation.Ejected {
			t.Fatalf("ejection %d ended in less than %v s", i, int(want))
		}
		now = now.Add(1)
		p = p.Advance(now)
		if p.State != probation.OnTrial {
			t.Fatalf("ejection %d lasted longer than %v s", i, int(want))
		}
		p = p.Restore(now)
		now = now.Add(time.Second)
	}
	p = p.Eject(now.Add(4 * time.Minute))
	if p.RecentEjections != 1 {
		t.Errorf("%d recent ejections four minutes after the restoration, want 1", p.RecentEjections)
	}
}
