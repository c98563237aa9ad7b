package clock

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBoundIsNeverAheadOfTheGuardsClock runs the guard's clock at a random rate within MaxDrift;
// its readings arrive late and out of order.
func TestBoundIsNeverAheadOfTheGuardsClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		rate := rapid.Float64Range(1-MaxDrift, 1+MaxDrift).Draw(t, "rate")
		guard := func(at time.Time) time.Duration { return time.Duration(float64(at.Sub(start)) * rate) }
		now, c := start, Clock{}
		var inTransit []time.Duration
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "advance")))
			inTransit = append(inTransit, guard(now))
			if rapid.Bool().Draw(t, "arrives") {
				i := rapid.IntRange(0, len(inTransit)-1).Draw(t, "reading")
				c = c.WithReading(1, inTransit[i], now)
			}
			if _, bound, ok := c.Deadline(now, 0); ok && bound > guard(now) {
				t.Fatalf("bound %v is ahead of the guard's %v", bound, guard(now))
			}
		}
	})
}

func TestNewerIncarnationReplacesTheOld(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	if _, _, ok := (Clock{}).Deadline(at, time.Second); ok {
		t.Error("got a deadline from a Clock without a reading")
	}
	c := Clock{}.WithReading(3, time.Hour, at).WithReading(4, time.Second, at).WithReading(3, 2*time.Hour, at)
	incarnation, deadline, ok := c.Deadline(at, time.Second)
	if incarnation != 4 || deadline != 2*time.Second-resolution || !ok {
		t.Errorf("got incarnation %d, deadline %v, %t; want the reading of incarnation 4", incarnation, deadline, ok)
	}
}
