package allowance

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestExtraWorkStaysWithinTheShare checks that, whatever the order of work and hedges, the extra slot time is at
// most the share of the work plus what may be saved up and what the last hedges took beyond their estimate.
func TestExtraWorkStaysWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		a := New(share)
		var work, extra, reserved, worst time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			took := time.Duration(rapid.IntRange(1, 3000).Draw(t, "took")) * time.Millisecond
			if rapid.Bool().Draw(t, "work") {
				a, work = a.WithWork(took), work+took
				continue
			}
			expected := time.Duration(rapid.IntRange(1, 1000).Draw(t, "expected")) * time.Millisecond
			if !a.Allows(expected) {
				continue
			}
			a = a.WithExtra(expected).WithExtra(took - expected)
			extra, reserved, worst = extra+took, reserved+expected, max(worst, took-expected)
		}
		if bound := time.Duration(share*float64(work)) + worst + time.Millisecond; extra > bound {
			t.Fatalf("extra work %v for work %v at share %g, want at most %v", extra, work, share, bound)
		}
	})
}

func TestNothingIsAllowedWithoutAShare(t *testing.T) {
	if a := New(0).WithWork(time.Hour); a.Allows(0) {
		t.Error("a hedge is allowed although the share is 0")
	}
	if a := New(0.1); a.Allows(time.Millisecond) {
		t.Error("a hedge is allowed before there was any work")
	}
}

func TestSavingsAreBounded(t *testing.T) {
	a := New(0.5).WithWork(time.Hour)
	if a.Allows(maxSaved + 1) {
		t.Errorf("more than %v is saved up", maxSaved)
	}
	if a = a.WithExtra(maxSaved); a.Allows(time.Millisecond) {
		t.Error("a hedge is allowed after the savings were spent")
	}
	if a = a.WithExtra(-maxSaved); !a.Allows(maxSaved) {
		t.Error("a hedge that has not run was not given back")
	}
}
