package budget

import (
	"testing"

	"pgregory.net/rapid"
)

func TestSecondAttemptsStayWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b := New(share, 5)
		requests, seconds := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				b.Deposit()
				requests++
			} else if b.Withdraw() {
				seconds++
			}
			if float64(seconds) > 5+share*float64(requests)+1e-9 {
				t.Fatalf("%d second attempts for %d requests", seconds, requests)
			}
		}
	})
}

func TestFullBudgetIsSpent(t *testing.T) {
	b := New(0, 2)
	for n, want := range []bool{true, true, false} {
		if got := b.Withdraw(); got != want {
			t.Errorf("second attempt %d: %t, want %t", n+1, got, want)
		}
	}
}
