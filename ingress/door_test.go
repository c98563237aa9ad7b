package ingress

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/chooser"
	"berylpass/choice/gate"
	"berylpass/choice/picker"
	"berylpass/choice/room"
	"berylpass/choice/urgency"
	"berylpass/config/class"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/hop"
	"berylpass/hop/forwarder"
)

// manyServers is a Chooser with ten backend servers.
type manyServers struct{}

func (manyServers) Pick(r picker.Request) (chooser.Target, error) {
	for n := range 10 {
		b := backend.ID(fmt.Sprint(n))
		tried := false
		for _, e := range r.Exclude {
			tried = tried || e == b
		}
		if !tried {
			return chooser.Target{Backend: backend.New(b, "rounds", "vm-1"), Guard: member.New("vm-1", "srem").WithIncarnation(1)}, nil
		}
	}
	return chooser.Target{}, picker.ErrNoBackend
}
func (manyServers) AttemptStarted(id.ID, chooser.Target, class.Class) {}
func (manyServers) AttemptEnded(picker.AttemptEnded)                  {}
func (manyServers) AttemptDiscarded(id.ID, chooser.Target)            {}

// fullHop is a Hop whose guards refuse everything for a full queue, and say so in their rooms.
type fullHop struct{ attempts int }

func (h *fullHop) Forward(_ context.Context, _ string, e hop.Envelope, _ forwarder.Request) (forwarder.Answer, error) {
	h.attempts++
	r := room.Room{}
	for l := urgency.First; l < urgency.Count; l++ {
		r.Waits[l], r.Refused[l] = time.Second, 1
	}
	report := hop.Report{Attempt: e.Attempt, Ending: hop.NotRun, Reason: gate.QueueFull.String(), RetryAfter: time.Second, Room: &r}
	return forwarder.Answer{Status: http.StatusServiceUnavailable, Report: report}, nil
}

// TestRequestsWithoutRoomAreRefusedAtOnce sends requests to a service whose guards refuse all: after some seconds most
// are refused as not run without an attempt, with advice to return within a third of their time, and counted by reason.
func TestRequestsWithoutRoomAreRefusedAtOnce(t *testing.T) {
	for _, ranked := range []bool{true, false} {
		now := time.Unix(1_800_000_000, 0)
		h := &fullHop{}
		i := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
			Configuration: rankedConfiguration{}, Chooser: manyServers{}, Limit: fakeLimit{}, Hop: h, Guards: fakeGuards{}, Observer: noObserver{},
			Ranked: ranked, Clock: func() time.Time { return now }, Random: func() float64 { return 0.5 },
		})
		atOnce := 0
		for range 60 {
			before := h.attempts
			r := httptest.NewRequest(http.MethodPost, "/fields", nil)
			r.Header.Set("Authorization", "Bearer "+knownSecret)
			w := httptest.NewRecorder()
			i.ServeHTTP(w, r)
			if w.Code != http.StatusServiceUnavailable || w.Header().Get(OutcomeHeader) != string(NotRun) {
				t.Fatalf("status %d, outcome %s", w.Code, w.Header().Get(OutcomeHeader))
			}
			if s, err := strconv.Atoi(w.Header().Get("Retry-After")); err != nil || s > 2 {
				t.Errorf("Retry-After %q, want at most a third of 5 s, rounded up", w.Header().Get("Retry-After"))
			}
			if h.attempts == before {
				atOnce++
			}
			now = now.Add(250 * time.Millisecond)
		}
		if ranked != (atOnce > 20) {
			t.Errorf("ranked %v: %d of 60 requests refused without an attempt", ranked, atOnce)
		}
		if got := i.Admission(); ranked && (len(got) != 1 || got[0].Refused[ReasonNoRoom] != uint64(atOnce) || got[0].Admitted != urgency.Second.String()) {
			t.Errorf("state for operators: %+v", got)
		}
	}
}
