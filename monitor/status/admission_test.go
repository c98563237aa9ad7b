package status_test

import (
	"strings"
	"testing"

	"berylpass/choice/admission"
	"berylpass/monitor/status"
)

// TestTableShowsAdmission checks that operators see the level admitted and the refusals by reason of each service.
func TestTableShowsAdmission(t *testing.T) {
	s := status.Status{Admission: []admission.Status{
		{Service: "rounds", Admitted: "second", Refused: map[string]uint64{"queue-full": 2, "no-room": 31}},
		{Service: "parcels", Admitted: "fourth"},
	}}
	var text strings.Builder
	if err := s.WriteTable(&text); err != nil {
		t.Fatal(err)
	}
	fields := map[string]bool{}
	for _, line := range strings.Split(text.String(), "\n") {
		fields[strings.Join(strings.Fields(line), " ")] = true
	}
	for _, want := range []string{"SERVICE ADMITTED REFUSED", "rounds second no-room 31, queue-full 2", "parcels fourth none"} {
		if !fields[want] {
			t.Errorf("no line %q in the table:\n%s", want, text.String())
		}
	}
}
