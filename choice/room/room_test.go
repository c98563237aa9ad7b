package room_test

import (
	"errors"
	"math"
	"testing"
	"time"

	"berylpass/choice/room"
	"berylpass/choice/urgency"
)

// TestRoundTrip checks that every field is transmitted, to within the rounding.
func TestRoundTrip(t *testing.T) {
	sent := room.Room{}
	for l := urgency.Call; l < urgency.Count; l++ {
		sent.Waits[l] = time.Duration(l) * 130 * time.Millisecond
	}
	for l := urgency.First; l < urgency.Count; l++ {
		sent.Refused[l] = 1 / float64(l)
	}
	text, err := sent.MarshalText()
	if err != nil || len(text) != 12 {
		t.Fatalf("encoded as %q, %v; want 12 characters", text, err)
	}
	var got room.Room
	if err := got.UnmarshalText(text); err != nil {
		t.Fatal(err)
	}
	near := func(a, b time.Duration) bool { return float64(a) > 0.95*float64(b) && float64(a) < 1.05*float64(b) }
	for l := urgency.Call; l < urgency.Count; l++ {
		if !near(got.Waits[l], sent.Waits[l]) || math.Abs(got.Refused[l]-sent.Refused[l]) > 0.01 {
			t.Errorf("%v: wait %v and %.3f refused, want %v and %.3f", l, got.Waits[l], got.Refused[l], sent.Waits[l], sent.Refused[l])
		}
	}
}

// FuzzUnmarshalText checks that a room that was read is the same after it is written and read again, and that every
// error wraps ErrMalformed.
func FuzzUnmarshalText(f *testing.F) {
	f.Add("AAAAAAAAAAAA")
	f.Add("__8A")
	f.Fuzz(func(t *testing.T, text string) {
		var first, second room.Room
		if err := first.UnmarshalText([]byte(text)); err != nil {
			if !errors.Is(err, room.ErrMalformed) {
				t.Fatalf("error %v does not wrap ErrMalformed", err)
			}
			return
		}
		again, _ := first.MarshalText()
		if err := second.UnmarshalText(again); err != nil || first != second {
			t.Fatalf("%q: read %+v, then %+v, %v", text, first, second, err)
		}
	})
}
