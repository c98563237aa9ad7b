package guard

import (
	"context"
	"testing"

	"berylpass/attempt/id"
	"berylpass/choice/verdict"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/hop"
	"berylpass/leg"
)

// oneVersion allows one version and records what it is told.
type oneVersion struct {
	allowed        string
	started, ended int
}

func (v *oneVersion) Allows(b backend.Backend) bool                { return b.Version == v.allowed }
func (v *oneVersion) Started(_ id.ID, _ backend.Backend, _ string) { v.started++ }
func (v *oneVersion) Ended(id.ID, verdict.Verdict)                 { v.ended++ }

// withdrawingLeg withdraws the version when the connection is established, right before the request is sent.
type withdrawingLeg struct{ versions *oneVersion }

func (l withdrawingLeg) Run(_ context.Context, _ string, r leg.Request) (leg.Answer, error) {
	l.versions.allowed = "v1"
	if err := r.BeforeSend(); err != nil {
		return leg.Answer{}, err
	}
	return leg.Answer{Status: 200}, nil
}

// TestWithheldVersionIsRefusedAsNotRun checks the guard's own check: an ingress that doesn't know that a version must
// not be used gets a refusal that is true, also if the version is withdrawn while the request is on its way.
func TestWithheldVersionIsRefusedAsNotRun(t *testing.T) {
	versions := &oneVersion{allowed: "v1"}
	g := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: twoRoutes{}, Observer: &stateRecorder{states: map[backend.ID]backend.State{}},
		Leg: withdrawingLeg{versions: versions}, Limit: unlimited{}, Versions: versions,
	})
	defer g.Close()
	g.Heartbeat(backend.New("i-1", "rounds", "vm-1").WithAddress("10.0.0.1:80").WithSlots(8).WithIncarnation(1).WithVersion("v2"), 1, 0)
	run := func(n int) hop.Report {
		_, report := g.Run(context.Background(), hop.Envelope{
			Attempt: id.New("vm-2", 1, uint64(n)), Backend: "i-1", Incarnation: 1, Route: "status", Expires: 60000,
		}, leg.Request{Method: "GET", Target: "/"})
		return report
	}
	if report := run(1); report.Ending != hop.NotRun || report.Reason != ReasonVersion {
		t.Errorf("%+v, want not run, %s", report, ReasonVersion)
	}
	versions.allowed = "v2"
	if report := run(2); report.Ending != hop.NotRun || report.Reason != ReasonVersion || versions.started != 0 {
		t.Errorf("withdrawn before the request was sent: %+v, %d started", report, versions.started)
	}
}
