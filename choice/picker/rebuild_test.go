package picker

import (
	"fmt"
	"testing"
	"time"

	"berylpass/choice/breaker"
	"berylpass/choice/report"
	"berylpass/config/service"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// fleetSizes are the numbers of backend servers at which work is counted.
var fleetSizes = []int{30, 109, 233, 410}

// pickerOf returns a Picker with n backend servers of one service, which has been used once.
func pickerOf(now time.Time, n int) (*Picker, []BackendUpdated) {
	p := New(1, WithLocalFirst())
	p.Update(now, ServiceUpdated{Service: service.New("rounds")})
	var all []BackendUpdated
	for i := range n {
		b := backend.New(backend.ID(fmt.Sprintf("b-%03d", i)), "rounds", member.ID(fmt.Sprintf("vm-%03d", i))).WithSlots(2)
		all = append(all, BackendUpdated{Backend: b, SameDatacentre: i%6 == 0, InService: true})
		p.Update(now, all[i])
	}
	_, _ = p.Pick(now, "rounds", nil)
	return p, all
}

// rebuilds returns how often the group of the service was rebuilt while f ran.
func rebuilds(p *Picker, f func()) uint64 {
	before := p.groups["rounds"].rebuilds
	f()
	return p.groups["rounds"].rebuilds - before
}

// TestUnchangedConfigurationCostsNoRebuild applies a configuration that changes nothing about the service, as most
// of the 1,800 changes a day do.
func TestUnchangedConfigurationCostsNoRebuild(t *testing.T) {
	now := time.Unix(100, 0)
	for _, n := range fleetSizes {
		p, all := pickerOf(now, n)
		if got := rebuilds(p, func() {
			p.Update(now, ServiceUpdated{Service: service.New("rounds")})
			for _, b := range all {
				p.Update(now, b)
			}
			_, _ = p.Pick(now, "rounds", nil)
		}); got != 0 {
			t.Errorf("%d backend servers: %d rebuilds, want none", n, got)
		}
	}
}

// TestManyChangesCostOneRebuild takes a data centre out of service and lets many breakers open before the next
// request: one rebuild covers all of it at any size of the fleet.
func TestManyChangesCostOneRebuild(t *testing.T) {
	now := time.Unix(100, 0)
	for _, n := range fleetSizes {
		p, all := pickerOf(now, n)
		if got := rebuilds(p, func() {
			for i, b := range all {
				b.InService = b.SameDatacentre
				p.Update(now, b)
				if i%5 == 0 {
					p.Update(now, ReportReceived{Backend: b.Backend.ID, Report: report.Report{Limit: 2, Breaker: breaker.Open, BreakerScore: 3}})
				}
			}
			_, _ = p.Pick(now, "rounds", nil)
			_ = p.HasOther(Request{Service: "rounds"}, "")
		}); got != 1 {
			t.Errorf("%d backend servers: %d rebuilds, want 1", n, got)
		}
	}
}

// TestTicksWithoutRequestsCostFewRebuilds ticks an ingress without requests for ten seconds while a tenth of the
// backend servers is tripped, which is the usual state of a large fleet.
func TestTicksWithoutRequestsCostFewRebuilds(t *testing.T) {
	const seconds, ticksPerSecond = 10, 10
	for _, n := range fleetSizes {
		now := time.Unix(100, 0)
		p, all := pickerOf(now, n)
		for _, b := range all[:n/10] {
			p.Update(now, ReportReceived{Backend: b.Backend.ID, Report: report.Report{Limit: 2, Breaker: breaker.HalfOpen, BreakerScore: 3}})
		}
		if got := rebuilds(p, func() {
			for range seconds * ticksPerSecond {
				now = now.Add(time.Second / ticksPerSecond)
				p.Update(now, Tick{})
			}
		}); got > seconds+1 {
			t.Errorf("%d backend servers: %d rebuilds in %d s, want at most one a second", n, got, seconds)
		}
	}
}

// TestEveryUseSeesTheLatestChange checks that no use of the picker works with an outdated set of backend servers.
func TestEveryUseSeesTheLatestChange(t *testing.T) {
	now := time.Unix(100, 0)
	p, all := pickerOf(now, 2)
	tripped := report.Report{Limit: 2, Breaker: breaker.Open, BreakerScore: 3}
	p.Update(now, ReportReceived{Backend: "b-000", Report: tripped})
	if p.Forced("b-000") || !p.TrialOnly("b-000") {
		t.Error("a backend server is in regular use although its breaker has just opened")
	}
	p.Update(now, ReportReceived{Backend: "b-000", Report: report.Report{Limit: 2}})
	if p.TrialOnly("b-000") {
		t.Error("a backend server gets trial requests only although its breaker has just closed")
	}
	gone := all[1]
	gone.InService = false
	p.Update(now, gone)
	if p.HasOther(Request{Service: "rounds"}, "b-000") {
		t.Error("a backend server is offered as another one although its data centre has just left service")
	}
	for range 20 {
		if chosen, err := p.Pick(now, "rounds", nil); err != nil || chosen != "b-000" {
			t.Fatalf("picked %q (%v), want the backend server in service", chosen, err)
		}
	}
}
