package status

import (
	"strings"
	"testing"

	"berylpass/choice/picker"
)

// TestSpillIsShownInFleetsOfSeveralRegions checks that the table shows what has left the region, and only if there are several.
func TestSpillIsShownInFleetsOfSeveralRegions(t *testing.T) {
	s := Status{Daemon: "vm-1", Datacentre: "srem", Ready: "ready"}
	var without strings.Builder
	if err := s.WriteTable(&without); err != nil || strings.Contains(without.String(), "LEFT IT") {
		t.Errorf("in a fleet with one region: %v\n%s", err, without.String())
	}
	s.Spill = &Spill{Region: "wielkopolska", Requests: 17, Bytes: 40960, Kept: 3, Services: []picker.RegionStatus{{Service: "rounds", Load: 1.3, Fraction: 0.4}}}
	var with strings.Builder
	if err := s.WriteTable(&with); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"wielkopolska  17", "40960", "rounds", "1.30", "0.40"} {
		if !strings.Contains(with.String(), want) {
			t.Errorf("the table lacks %q:\n%s", want, with.String())
		}
	}
}
