package guard

import (
	"context"
	"testing"

	"berylpass/attempt/id"
	"berylpass/config/class"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/hop"
	"berylpass/leg"
)

// TestHedgeOfARouteWithCallsIsRefused guards against hedges whose runs make their calls a second time, which would put
// work on services that the limit of hedges doesn't cover.
func TestHedgeOfARouteWithCallsIsRefused(t *testing.T) {
	const runs = 8
	l := blockingLeg{started: make(chan struct{}, runs), release: make(chan struct{})}
	close(l.release)
	g := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: twoRoutes{}, Observer: &stateRecorder{states: map[backend.ID]backend.State{}},
		Leg: l, Limit: unlimited{}, MayRepeatCall: func(string) bool { return true },
	})
	defer g.Close()
	g.Heartbeat(backend.New("i-1", "rounds", "vm-1").WithAddress("10.0.0.1:80").WithSlots(8).WithIncarnation(1), 1, 0)
	serve := func(n int, name string, hedge bool) hop.Report {
		_, report := g.Run(context.Background(), hop.Envelope{
			Attempt: id.New("vm-2", 1, uint64(n)), Backend: "i-1", Incarnation: 1, Route: name,
			Expires: 60_000, Repeatable: true, Repeated: hedge, Hedge: hedge, Class: class.Reservation,
		}, leg.Request{Method: "GET", Target: "/"})
		return report
	}
	for n := range 2 {
		serve(n, "status", false)
		serve(10+n, "booking", false)
	}
	g.mu.Lock()
	g.calls.RecordCall("status", "parcels")
	g.mu.Unlock()
	if r := serve(20, "status", true); r.Ending != hop.NotRun || r.Reason != ReasonMakesCalls {
		t.Errorf("hedge on a route with calls: %+v, want not run, %s", r, ReasonMakesCalls)
	}
	if r := serve(21, "status", false); r.Ending != hop.Ran {
		t.Errorf("first attempt on a route with calls: %+v, want ran", r)
	}
	if r := serve(22, "booking", true); r.Ending != hop.Ran {
		t.Errorf("hedge on a route without calls: %+v, want ran", r)
	}
}
