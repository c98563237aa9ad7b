package limiter_test

import (
	"testing"
	"time"

	"berylpass/choice/limiter"
	"berylpass/choice/verdict"
	"berylpass/config/class"
)

var start = time.Unix(1_800_000_000, 0)

// complete completes n requests that took the given time, 50 ms apart, and returns the time of the last one.
func complete(l *limiter.Limiter, now time.Time, n int, took time.Duration) time.Time {
	for range n {
		now = now.Add(50 * time.Millisecond)
		l.Completed(now, class.Transfer, now.Add(-took), verdict.OK, 3)
	}
	return now
}

// TestLimitRampsUpAfterStart checks the limit in each second of the ramp.
func TestLimitRampsUpAfterStart(t *testing.T) {
	l := limiter.New(start, 4, 9*time.Second)
	for second, want := range []int{1, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4} {
		if got := l.Allowed(start.Add(time.Duration(second) * time.Second)); got != want {
			t.Errorf("%d allowed after %d s, want %d", got, second, want)
		}
	}
}

// TestRefusalHalvesLimitUntilItRampsUpAgain checks that the limit of a backend server that sheds a request is
// halved, and reaches the slots again after a ramp.
func TestRefusalHalvesLimitUntilItRampsUpAgain(t *testing.T) {
	l := limiter.New(start, 4, 8*time.Second)
	now := complete(l, start.Add(10*time.Second), 40, 50*time.Millisecond)
	l.Completed(now, class.Transfer, now, verdict.Shed, 3)
	if got := l.Allowed(now); got != 2 {
		t.Errorf("%d allowed after a refusal at a limit of 4, want 2", got)
	}
	if got := l.Allowed(now.Add(8 * time.Second)); got != 4 {
		t.Errorf("%d allowed one ramp after the refusal, want 4", got)
	}
}

// TestServiceTimeJumpCutsLimitForAWhile checks that a jump of the service times cuts the limit, and that the
// cut is undone if it has not shortened them.
func TestServiceTimeJumpCutsLimitForAWhile(t *testing.T) {
	l := limiter.New(start, 4, 8*time.Second)
	now := complete(l, start.Add(10*time.Second), 100, 50*time.Millisecond)
	if got := l.Allowed(now); got != 4 {
		t.Fatalf("%d allowed at baseline service times, want 4", got)
	}
	least := 4
	for range 100 {
		now = complete(l, now, 1, 400*time.Millisecond)
		least = min(least, l.Allowed(now))
	}
	if least >= 4 {
		t.Errorf("a jump of the service times did not cut the limit")
	}
	if got := l.Allowed(now); got != 4 {
		t.Errorf("%d allowed after cuts that did not help, want 4", got)
	}
}
