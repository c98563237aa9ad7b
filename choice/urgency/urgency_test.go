package urgency_test

import (
	"testing"

	"berylpass/choice/urgency"
	"berylpass/config/class"
)

// TestCallsInheritFromTheRequestThatMakesThem checks that a call goes before all newcomers and keeps, also if it calls
// on, the level and the organisation of the request at its start.
func TestCallsInheritFromTheRequestThatMakesThem(t *testing.T) {
	r := urgency.Of(2, "kowalski-orchards")
	if r.Level != urgency.Third || r.Inherited != urgency.Third {
		t.Errorf("rank of priority 2: %+v", r)
	}
	c := r.OfCall().OfCall()
	if c.Level != urgency.Call || c.Inherited != urgency.Third || c.Owner != "kowalski-orchards" {
		t.Errorf("rank of a call: %+v", c)
	}
	if c.Level >= urgency.FromPriority(0) {
		t.Error("a call does not go before newcomers")
	}
}

// TestLevelsAreBounded checks priorities beyond the levels, and requests without one.
func TestLevelsAreBounded(t *testing.T) {
	for priority, want := range map[int]urgency.Level{-1: urgency.First, 0: urgency.First, 1: urgency.Second, 3: urgency.Fourth, 900: urgency.Fourth} {
		if got := urgency.FromPriority(priority); got != want {
			t.Errorf("priority %d: %v, want %v", priority, got, want)
		}
	}
	got := urgency.Rank{}.Ranked(class.Background, "srem")
	if got.Level != urgency.Third || got.Owner != "srem" {
		t.Errorf("rank without a priority: %+v", got)
	}
	if kept := urgency.Of(1, "a").Ranked(class.Background, "b"); kept != urgency.Of(1, "a") {
		t.Errorf("a given rank became %+v", kept)
	}
}
