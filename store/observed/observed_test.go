package observed

import (
	"context"
	"slices"
	"testing"

	"berylpass/store/memory"
)

func TestOnlyChangesOfAvailabilityAreReported(t *testing.T) {
	var reported []bool
	store := memory.New()
	o := New(store, func(available bool) { reported = append(reported, available) })
	for _, unavailable := range []bool{false, true, true, false, false, true} {
		store.SetFaults(memory.Faults{Unavailable: unavailable})
		_, _ = o.Get(context.Background(), "config/current")
	}
	if want := []bool{false, true, false}; !slices.Equal(reported, want) {
		t.Errorf("reported %v, want %v", reported, want)
	}
}
