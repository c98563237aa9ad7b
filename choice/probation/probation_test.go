package probation_test

import (
	"testing"
	"time"

	"berylpass/choice/probation"
)

// TestBackOff checks that the time out doubles while ejections follow each other, and is forgotten after rest.
func TestBackOff(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var p probation.Probation
	for i, want := range []time.Duration{2, 4, 8, 16, 32, 60, 60} {
		p = p.Eject(now)
		now = now.Add(want*time.Second - 1)
		if got := p.Advance(now); got.State != probation.Ejected {
			t.Fatalf("ejection %d ends before %v s", i, int(want))
		}
		now = now.Add(1)
		p = p.Advance(now)
		if p.State != probation.OnTrial {
			t.Fatalf("ejection %d lasts over %v s", i, int(want))
		}
		p = p.Restore(now)
		now = now.Add(time.Second)
	}
	p = p.Eject(now.Add(4 * time.Minute))
	if p.Strikes != 1 {
		t.Errorf("%d strikes after four minutes of rest", p.Strikes)
	}
}
