package spill

import (
	"testing"
	"time"
)

// TestDeathsRaiseThePartLate checks that a daemon takes over parts of daemons that seem dead only after a minute, while
// those that join count at once.
func TestDeathsRaiseThePartLate(t *testing.T) {
	var p Peers
	for _, step := range []struct {
		at      time.Duration
		n, want int
	}{
		{0, 48, 48},
		{time.Second, 1, 48},
		{10 * time.Second, 20, 48},
		{20 * time.Second, 50, 50},
		{30 * time.Second, 40, 50},
		{79 * time.Second, 40, 50},
		{81 * time.Second, 40, 40},
		{5 * time.Minute, 0, 1},
	} {
		if got := p.Update(start.Add(step.at), step.n); got != step.want {
			t.Errorf("%d live daemons after %v: the share is divided by %d, want %d", step.n, step.at, got, step.want)
		}
	}
}
