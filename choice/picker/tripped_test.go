package picker

import (
	"fmt"
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/breaker"
	"berylpass/choice/report"
	"berylpass/config/service"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// pickerWithTripped returns a Picker with eight backend servers of four slots. The breakers of the given number
// of them are in state breaker.HalfOpen; each of the others runs inUse requests.
func pickerWithTripped(now time.Time, tripped, inUse int) *Picker {
	p := New(1, WithLocalFirst())
	p.Update(now, ServiceUpdated{Service: service.New("fieldwork").WithRamp(0).WithFloor(0.25)})
	for n := range 8 {
		name := backend.ID(fmt.Sprintf("i-%d", n))
		p.Update(now, BackendUpdated{Backend: backend.New(name, "fieldwork", member.ID(fmt.Sprintf("vm-%d", n))).WithSlots(4), SameDatacentre: n < 4, InService: true})
		r := report.Report{Limit: 4, InUse: inUse}
		if n < tripped {
			r = report.Report{Limit: 4, Breaker: breaker.HalfOpen, BreakerScore: 3.5}
		}
		p.Update(now, AttemptEnded{Attempt: id.New("vm-0", 1, uint64(n)), Backend: name, Report: &r})
	}
	p.Update(now, Tick{})
	return p
}

// TestRequestsAvoidTrippedBackendServersWhileOthersHaveCapacity guards against requests that may run only once
// being sent to failing backend servers: three quarters of a small service fail most of their requests for
// seconds while the others have free capacity.
func TestRequestsAvoidTrippedBackendServersWhileOthersHaveCapacity(t *testing.T) {
	now := time.Unix(100, 0)
	for _, test := range []struct {
		tripped, inUse int
		wantTripped    bool
	}{{6, 1, false}, {3, 1, false}, {7, 1, false}, {6, 4, true}} {
		p := pickerWithTripped(now, test.tripped, test.inUse)
		toTripped := 0
		for range 200 {
			chosen, err := p.PickFor(now, Request{Service: "fieldwork", RunOnce: true})
			if err != nil {
				t.Fatal(err)
			}
			if p.servers[chosen].tripped() {
				toTripped++
			}
		}
		if toTripped > 0 != test.wantTripped {
			t.Errorf("%d of 8 breakers tripped, %d requests running at each other server: %d of 200 picks chose a tripped one",
				test.tripped, test.inUse, toTripped)
		}
	}
}
