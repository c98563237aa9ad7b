package budget

import (
	"testing"

	"pgregory.net/rapid"
)

func TestExtraAttemptsStayWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b := New(share, 5)
		requests, extra := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				b.Deposit()
				requests++
			} else if b.Withdraw() {
				extra++
			}
			if float64(extra) > 5+share*float64(requests)+1e-9 {
				t.Fatalf("%d extra attempts for %d requests", extra, requests)
			}
		}
	})
}

func TestNewBudgetAllowsItsBurst(t *testing.T) {
	b := New(0, 2)
	for n, want := range []bool{true, true, false} {
		if got := b.Withdraw(); got != want {
			t.Errorf("extra attempt %d: got %t, want %t", n+1, got, want)
		}
	}
}

// TestFleetStaysWithinItsBudget checks that daemons that each have a part of the fleet's burst
// stay within the bound of the fleet together, also when some of them restart.
func TestFleetStaysWithinItsBudget(t *testing.T) {
	const daemons, fleetBurst, share = 31, 64.0, 0.2
	restart := func() *Budget { return New(share, fleetBurst/daemons).WithEmptyBalance() }
	rapid.Check(t, func(t *rapid.T) {
		var fleet []*Budget
		for range daemons {
			fleet = append(fleet, New(share, fleetBurst/daemons))
		}
		requests, extra := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			at := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			b := fleet[at]
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				fleet[at] = restart()
				continue
			}
			if rapid.Bool().Draw(t, "request") {
				b.Deposit()
				requests++
			} else if b.Withdraw() {
				extra++
			}
			if float64(extra) > fleetBurst+share*float64(requests)+1e-9 {
				t.Fatalf("%d extra attempts for %d requests", extra, requests)
			}
		}
	})
}

func TestDepositsRepayCharges(t *testing.T) {
	b := New(1, 2)
	b.Charge(3)
	b.Deposit()
	if b.Withdraw() {
		t.Error("an extra attempt was allowed while charges were unpaid")
	}
	b.Deposit()
	if !b.Withdraw() {
		t.Error("no extra attempt was allowed after deposits had repaid the charges")
	}
}
