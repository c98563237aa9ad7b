package picker

import (
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/report"
	"berylpass/config/class"
	"berylpass/config/service"
	"berylpass/fleet/backend"
)

// newUnevenPicker returns a Picker with four backend servers, of which "slow" takes three times as long as the others.
func newUnevenPicker(now time.Time, options ...Option) *Picker {
	p := New(1, options...)
	p.Update(now, ServiceUpdated{Service: service.New("rounds").WithRamp(0)})
	for _, name := range []backend.ID{"a", "b", "c", "slow"} {
		took := 500 * time.Millisecond
		if name == "slow" {
			took *= 3
		}
		p.Update(now, BackendUpdated{Backend: backend.New(name, "rounds", "vm-"+"1").WithSlots(4), SameDatacentre: true, InService: true})
		p.Update(now, ReportReceived{Backend: name, Report: report.Report{Limit: 4}.
			WithLevel(class.Transfer, report.Level{Time: took, Spread: 0.3, Samples: 40})})
	}
	p.Update(now, Tick{})
	return p
}

// shareOfSlow returns the share of requests of a class that go to the slow backend server while all are idle.
func shareOfSlow(t *testing.T, c class.Class, options ...Option) float64 {
	t.Helper()
	now := time.Unix(1_800_000_000, 0)
	p := newUnevenPicker(now, options...)
	slow := 0
	for range 400 {
		chosen, err := p.PickFor(now, Request{Service: "rounds", Class: c})
		if err != nil {
			t.Fatal(err)
		}
		if chosen == "slow" {
			slow++
		}
	}
	return float64(slow) / 400
}

// TestIdleSlowServersComeLast checks that expected completion keeps requests off a slow backend server while faster ones are
// idle, that load alone doesn't, and that a class of which nothing is known goes to all.
func TestIdleSlowServersComeLast(t *testing.T) {
	if share := shareOfSlow(t, class.Transfer, WithExpectedCompletion()); share > 0 {
		t.Errorf("%.2f of the requests go to the slow backend server, want none", share)
	}
	if share := shareOfSlow(t, class.Transfer); share < 0.1 {
		t.Errorf("by load alone %.2f of the requests go to the slow backend server, want a quarter or so", share)
	}
	if share := shareOfSlow(t, class.Reservation, WithExpectedCompletion()); share < 0.1 {
		t.Errorf("%.2f of the requests of another class go to the slow backend server, want a quarter or so", share)
	}
}

// TestSlowServersAreUsedBeforeRequestsWaitLong checks that a slow backend server with free slots gets requests once the
// others' queues take longer than it does.
func TestSlowServersAreUsedBeforeRequestsWaitLong(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := newUnevenPicker(now, WithExpectedCompletion())
	used := map[backend.ID]int{}
	for n := range uint64(60) {
		chosen, err := p.PickFor(now, Request{Service: "rounds", Class: class.Transfer})
		if err != nil {
			t.Fatal(err)
		}
		used[chosen]++
		p.Update(now, AttemptStarted{Attempt: id.New("vm-1", 1, n), Backend: chosen, Class: class.Transfer})
	}
	if used["slow"] == 0 || used["slow"] > used["a"] {
		t.Errorf("60 concurrent requests are placed as %v, want some, but fewer than elsewhere, on the slow one", used)
	}
}

// TestNewcomersGetRequestsAtOnce checks that a backend server of which nothing is known yet gets its part of the requests.
func TestNewcomersGetRequestsAtOnce(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := newUnevenPicker(now, WithExpectedCompletion())
	p.Update(now, BackendUpdated{Backend: backend.New("new", "rounds", "vm-2").WithSlots(4), SameDatacentre: true, InService: true})
	for n := range 40 {
		if chosen, err := p.PickFor(now, Request{Service: "rounds", Class: class.Transfer}); err == nil && chosen == "new" {
			t.Logf("after %d requests", n+1)
			return
		}
	}
	t.Error("a newcomer got none of 40 requests")
}
