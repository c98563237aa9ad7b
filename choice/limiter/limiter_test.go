package limiter_test

import (
	"testing"
	"time"

	"berylpass/choice/limiter"
	"berylpass/choice/verdict"
	"berylpass/config/class"
)

var start = time.Unix(1_800_000_000, 0)

// feed completes n requests that took the given time, 50 ms apart.
func feed(l *limiter.Limiter, now time.Time, n int, took time.Duration) time.Time {
	for range n {
		now = now.Add(50 * time.Millisecond)
		l.Completed(now, class.Transfer, now.Add(-took), verdict.OK, 3)
	}
	return now
}

// TestRamp checks the limit along the ramp.
func TestRamp(t *testing.T) {
	l := limiter.New(start, 4, 9*time.Second)
	for second, want := range []int{1, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4} {
		if got := l.Allowed(start.Add(time.Duration(second) * time.Second)); got != want {
			t.Errorf("%d allowed after %d s, want %d", got, second, want)
		}
	}
}

// TestRefusal checks that a backend server that sheds gets less, and its slots back later.
func TestRefusal(t *testing.T) {
	l := limiter.New(start, 4, 8*time.Second)
	now := feed(l, start.Add(10*time.Second), 40, 50*time.Millisecond)
	l.Completed(now, class.Transfer, now, verdict.Shed, 3)
	if got := l.Allowed(now); got != 2 {
		t.Errorf("%d allowed after a refusal at 4, want 2", got)
	}
	if got := l.Allowed(now.Add(8 * time.Second)); got != 4 {
		t.Errorf("%d allowed a ramp later, want 4", got)
	}
}

// TestJump checks that a jump of the service times cuts the limit, and that the
// cut is undone when it did not shorten them.
func TestJump(t *testing.T) {
	l := limiter.New(start, 4, 8*time.Second)
	now := feed(l, start.Add(10*time.Second), 100, 50*time.Millisecond)
	if got := l.Allowed(now); got != 4 {
		t.Fatalf("%d allowed at usual service times", got)
	}
	least := 4
	for range 100 {
		now = feed(l, now, 1, 400*time.Millisecond)
		least = min(least, l.Allowed(now))
	}
	if least >= 4 {
		t.Errorf("a jump cut nothing")
	}
	if got := l.Allowed(now); got != 4 {
		t.Errorf("%d allowed after cuts that did not help, want 4", got)
	}
}
