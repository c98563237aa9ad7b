package hop_test

import (
	"errors"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/urgency"
	"berylpass/config/class"
	"berylpass/hop"
)

// parseHeader returns the header of text with lines in the form name:value, without Prefix.
func parseHeader(text string) http.Header {
	h := http.Header{}
	for _, line := range strings.Split(text, "\n") {
		if name, value, ok := strings.Cut(line, ":"); ok {
			h.Set(hop.Prefix+name, value)
		}
	}
	return h
}

// formatHeader returns a header in the form that parseHeader parses.
func formatHeader(h http.Header) string {
	var lines []string
	for name, values := range h {
		lines = append(lines, strings.TrimPrefix(name, hop.Prefix)+":"+values[0])
	}
	return strings.Join(lines, "\n")
}

// TestEnvelopeRoundTrip sets every field, so that it fails if one is not transmitted.
func TestEnvelopeRoundTrip(t *testing.T) {
	sent := hop.Envelope{
		Attempt: id.New("vm-1", 7, 9), RequestID: "9c41", Backend: "rounds 1/ä", Incarnation: 1, Expires: 20, TokenExpires: 3,
		TokenHolder: "vm-2", TokenID: 1 << 63,
		Organisation: "kowalski-orchards", KeyID: "k1", Route: "visits", Class: class.Reservation, CallerService: "fieldwork",
		Repeatable: true, Forced: true, Prompt: true, Repeated: true, Hedge: true, Revision: 4,
		Rank: urgency.Of(2, "kowalski-orchards").OfCall(), Target: 12,
	}
	for _, field := range reflect.VisibleFields(reflect.TypeOf(sent)) {
		if field.Name != "Class" && reflect.ValueOf(sent).FieldByIndex(field.Index).IsZero() {
			t.Errorf("the test does not set the field %s", field.Name)
		}
	}
	h := http.Header{}
	sent.Write(h)
	got, err := hop.ReadEnvelope(h)
	if err != nil || !reflect.DeepEqual(got, sent) {
		t.Errorf("got %+v, %v; want %+v", got, err, sent)
	}
}

// FuzzReadEnvelope checks that an envelope that was read is the same after it is written and read
// again, and that every error wraps ErrMalformed.
func FuzzReadEnvelope(f *testing.F) {
	h := http.Header{}
	hop.Envelope{
		Attempt: id.New("vm-1", 7, 9), Backend: "rounds 1/ä", Incarnation: 1, Expires: 20, TokenExpires: 3,
		Organisation: "kowalski-orchards", KeyID: "k1", Route: "visits", Class: class.Reservation, Revision: 4,
	}.Write(h)
	f.Add(formatHeader(h))
	f.Add("Attempt:vm-1/1/1/0\nClass:background\nExpires:-1")
	f.Add("Attempt:vm-1/1/1/0\nClass:background\nLevel:9\nInherited:1\nTarget:-2")
	f.Fuzz(func(t *testing.T, text string) {
		first, err := hop.ReadEnvelope(parseHeader(text))
		if err != nil {
			if !errors.Is(err, hop.ErrMalformed) {
				t.Fatalf("error %v does not wrap ErrMalformed", err)
			}
			return
		}
		h := http.Header{}
		first.Write(h)
		second, err := hop.ReadEnvelope(h)
		if err != nil || first != second {
			t.Fatalf("read %+v again as %+v, %v", first, second, err)
		}
	})
}

// FuzzReadReport checks the same for reports as FuzzReadEnvelope for envelopes.
func FuzzReadReport(f *testing.F) {
	h := http.Header{}
	hop.Report{
		Attempt: id.New("vm-1", 7, 9), Ending: hop.NotRun, Reason: "over-limit", RetryAfter: time.Second,
		Incarnation: 1, Clock: 5, Revision: 4, ServiceTime: time.Millisecond,
	}.Write(h)
	f.Add(formatHeader(h))
	f.Add(formatHeader(h) + "\nRoom:AAECAwQFBgcI")
	f.Add("Attempt:vm-1/1/1/0\nEnding:maybe")
	f.Add(strings.Replace(formatHeader(h), "Retry-After-Ms:1000", "Retry-After-Ms:9223372036855", 1))
	f.Fuzz(func(t *testing.T, text string) {
		first, err := hop.ReadReport(parseHeader(text))
		if err != nil {
			if !errors.Is(err, hop.ErrMalformed) {
				t.Fatalf("error %v does not wrap ErrMalformed", err)
			}
			return
		}
		h := http.Header{}
		first.Write(h)
		second, err := hop.ReadReport(h)
		if err != nil || !reflect.DeepEqual(first, second) {
			t.Fatalf("read %+v again as %+v, %v", first, second, err)
		}
	})
}
