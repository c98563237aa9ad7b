package instance

import (
	"testing"
	"time"
)

// TestClockDoesNotGoBack guards against a removed process that serves by a late heartbeat, since the time of day was set
// back and the process seems to have started after its removal.
func TestClockDoesNotGoBack(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var c clock
	for n, step := range []struct{ elapsed, timeOfDay, want time.Duration }{
		{0, 0, 0},
		{time.Second, time.Second, time.Second},
		{time.Second, -2 * time.Second, 2 * time.Second},
		{time.Second, -time.Second, 3 * time.Second},
		{time.Second, 4 * time.Second, 4 * time.Second},
		{time.Second, 9 * time.Second, 9 * time.Second},
	} {
		if got := c.advance(start.Add(step.timeOfDay), step.elapsed).Sub(start); got != step.want {
			t.Errorf("step %d: got %v after the start, want %v", n, got, step.want)
		}
	}
}
