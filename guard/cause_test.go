package guard

import (
	"context"
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/config/class"
	"berylpass/config/datacentre"
	"berylpass/config/route"
	"berylpass/config/service"
	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/hop"
	"berylpass/leg"
	"berylpass/limit/enforcer"
)

// twoRoutes is a configuration with the routes "status", whose attempts call another
// service in the test, and "booking", whose attempts call none.
type twoRoutes struct{}

func (twoRoutes) ProvenNewest(time.Time) bool { return true }

func (twoRoutes) Current() snapshot.Snapshot {
	return snapshot.Snapshot{
		Revision:    1,
		Datacentres: map[string]datacentre.Datacentre{"srem": {Name: "srem", InService: true}},
		Services:    map[string]service.Service{"rounds": {Name: "rounds"}},
		Routes: map[string]route.Route{
			"status":  {Name: "status", Open: true, Service: "rounds"},
			"booking": {Name: "booking", Open: true, Service: "rounds"},
		},
	}.Index()
}

// blockingLeg is a leg whose requests signal started and run until release is closed.
type blockingLeg struct{ started, release chan struct{} }

func (l blockingLeg) Run(_ context.Context, _ string, r leg.Request) (leg.Answer, error) {
	if err := r.BeforeSend(); err != nil {
		return leg.Answer{}, err
	}
	l.started <- struct{}{}
	<-l.release
	return leg.Answer{Status: 200}, nil
}

type unlimited struct{}

func (unlimited) Draw(context.Context, string) (enforcer.Token, error) { return enforcer.Token{}, nil }
func (unlimited) Renew(context.Context, enforcer.Token) (enforcer.Token, error) {
	return enforcer.Token{}, enforcer.ErrNotRenewed
}
func (unlimited) Started(enforcer.Token) {}
func (unlimited) Return(enforcer.Token)  {}

// TestCauseMatchesCallsToRunsByDeadline guards against counting calls as repeated at the
// wrong rate: a backend server runs one first and one repeated attempt, and only the
// repeated one makes calls. The share of repeated attempts among all running ones would
// count only half of these calls as repeated.
func TestCauseMatchesCallsToRunsByDeadline(t *testing.T) {
	const runs = 2
	l := blockingLeg{started: make(chan struct{}, runs+2), release: make(chan struct{})}
	mayCall := true
	g := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: twoRoutes{}, Observer: &stateRecorder{states: map[backend.ID]backend.State{}},
		Leg: l, Limit: unlimited{}, MayRepeatCall: func(string) bool { return mayCall },
	})
	defer g.Close()
	g.Heartbeat(backend.New("i-1", "rounds", "vm-1").WithAddress("10.0.0.1:80").WithSlots(8).WithIncarnation(1), 1, 0)
	envelope := func(n int, name string, repeated bool) hop.Envelope {
		return hop.Envelope{
			Attempt: id.New("vm-2", 1, uint64(n)), Backend: "i-1", Incarnation: 1, Route: name,
			Expires: int64(5000 + 100*n), Repeated: repeated, Class: class.Reservation,
		}
	}
	ended := make(chan hop.Report, runs)
	for n := range runs {
		e := envelope(n, map[bool]string{true: "status", false: "booking"}[n == 1], n == 1)
		go func() {
			_, report := g.Run(context.Background(), e, leg.Request{Method: "GET", Target: "/"})
			ended <- report
		}()
		select {
		case <-l.started:
		case report := <-ended:
			t.Fatalf("attempt %d did not start: %+v", n, report)
		}
	}
	transit := 7 * time.Millisecond
	if got := g.RepeatProbability(g.started.Add(5100*time.Millisecond-transit), "parcels"); got != 1 {
		t.Errorf("RepeatProbability of a call with the deadline of the repeated attempt = %v, want 1", got)
	}
	if got := g.RepeatProbability(g.started.Add(5000*time.Millisecond-transit), "parcels"); got != 0 {
		t.Errorf("RepeatProbability of a call with the deadline of the first attempt = %v, want 0", got)
	}
	if got := g.RepeatProbability(g.started.Add(time.Minute), "parcels"); got != 1.0/runs {
		t.Errorf("RepeatProbability of a call with an unknown deadline = %v, want 0.5", got)
	}
	mayCall = false
	if _, report := g.Run(context.Background(), envelope(9, "status", true), leg.Request{Method: "GET", Target: "/"}); report.Reason != ReasonRetryBudget || report.Ending != hop.NotRun {
		t.Errorf("repeated attempt while the called service refuses repeated calls: %+v, want not run, retry-budget-empty", report)
	}
	close(l.release)
	for range runs {
		if report := <-ended; report.Ending != hop.Ran {
			t.Errorf("report of a released attempt: %+v, want ran", report)
		}
	}
	if _, report := g.Run(context.Background(), envelope(10, "status", false), leg.Request{Method: "GET", Target: "/"}); report.Ending != hop.Ran {
		t.Errorf("first attempt while the called service refuses repeated calls: %+v, want ran", report)
	}
}
