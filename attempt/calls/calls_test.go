package calls

import (
	"slices"
	"testing"
)

func TestServicesOmitsRareAndPastCalls(t *testing.T) {
	c := New()
	if got := c.Services("visits"); got != nil {
		t.Errorf("services of an unknown route: got %v, want none", got)
	}
	for n := range 500 {
		c.RecordRun("visits")
		c.RecordRun("bookings")
		c.RecordCall("visits", "parcels")
		if n%50 == 0 {
			c.RecordCall("bookings", "parcels")
		}
	}
	if got := c.Services("visits"); !slices.Equal(got, []string{"parcels"}) {
		t.Errorf("services of a route whose every run calls parcels: got %v", got)
	}
	if got := c.Services("bookings"); got != nil {
		t.Errorf("services of a route with one call in 50 runs: got %v, want none", got)
	}
	for range 4 * halvingRuns {
		c.RecordRun("visits")
	}
	if got := c.Services("visits"); got != nil {
		t.Errorf("services of a route that has stopped calling: got %v, want none", got)
	}
}
