package guard

import (
	"context"
	"fmt"
	"testing"

	"berylpass/attempt/id"
	"berylpass/config/class"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/hop"
	"berylpass/leg"
)

// hookLeg is a leg that calls duringConnect while it connects to the backend server.
type hookLeg struct {
	duringConnect func()
	// sent is the number of requests sent.
	sent int
}

func (l *hookLeg) Run(_ context.Context, _ string, r leg.Request) (leg.Answer, error) {
	l.duringConnect()
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			return leg.Answer{}, fmt.Errorf("%w: %w", leg.ErrNotSent, err)
		}
	}
	l.sent++
	return leg.Answer{Status: 200}, nil
}

// TestRequestIsNotSentAfterBackendLeft guards against requests that run after the
// backend server's leave was acknowledged: the backend server leaves while the leg
// connects to it, and the request must then not be sent.
func TestRequestIsNotSentAfterBackendLeft(t *testing.T) {
	serving := backend.New("i-1", "rounds", "vm-1").WithAddress("10.0.0.1:80").WithSlots(4).WithIncarnation(1)
	for name, test := range map[string]struct {
		leave func(g *Guard)
		want  string
	}{
		"draining": {func(g *Guard) { g.Heartbeat(serving.WithState(backend.Draining), 2, 0) }, ReasonDraining},
		"gone":     {func(g *Guard) { g.BackendLeft("i-1", 1) }, ReasonNoBackend},
	} {
		t.Run(name, func(t *testing.T) {
			l := &hookLeg{}
			g := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
				Configuration: twoRoutes{}, Observer: &stateRecorder{states: map[backend.ID]backend.State{}},
				Leg: l, Limit: unlimited{},
			})
			defer g.Close()
			g.Heartbeat(serving, 1, 0)
			l.duringConnect = func() { test.leave(g) }
			e := hop.Envelope{
				Attempt: id.New("vm-2", 1, 1), Backend: "i-1", Incarnation: 1, Route: "status",
				Expires: 5000, Class: class.Reservation,
			}
			_, got := g.Run(context.Background(), e, leg.Request{Method: "POST", Target: "/"})
			if l.sent != 0 || got.Ending != hop.NotRun || got.Reason != test.want {
				t.Errorf("%d requests sent, ending %s, reason %s; want 0, %s, %s", l.sent, got.Ending, got.Reason, hop.NotRun, test.want)
			}
		})
	}
}
