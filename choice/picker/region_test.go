package picker

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/breaker"
	"berylpass/choice/report"
	"berylpass/choice/spill"
	"berylpass/choice/verdict"
	"berylpass/config/service"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// newRegionPicker returns a Picker whose region "here" has n backend servers in two data centres, as many as "there".
func newRegionPicker(now time.Time, n int, options ...Option) *Picker {
	p := New(1, append(options, WithLocalFirst())...)
	p.Update(now, ServiceUpdated{Service: service.New("rounds").WithRamp(0)})
	for i := range 2 * n {
		region := "here"
		if i >= n {
			region = "there"
		}
		b := backend.New(backend.ID(fmt.Sprintf("i-%02d", i)), "rounds", member.ID(fmt.Sprintf("vm-%02d", i))).WithSlots(4)
		p.Update(now, BackendUpdated{Backend: b, Datacentre: fmt.Sprintf("%s-%d", region, i%2), SameDatacentre: i < n && i%2 == 0,
			Region: region, SameRegion: i < n, InService: true})
	}
	return p
}

// leaving returns how many of 1000 requests at full, or idle, backend servers of the own region leave it.
func leaving(t *testing.T, full bool, req Request, options ...Option) int {
	t.Helper()
	now := time.Unix(1_800_000_000, 0)
	p := newRegionPicker(now, 6, options...)
	left := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		for _, s := range p.servers {
			switch {
			case s.sameRegion && full:
				p.Update(now, ReportReceived{Backend: s.backend.ID, Report: report.Report{InUse: 4, Queued: 6, Limit: 4}})
			case !s.sameRegion:
				p.Update(now, ReportReceived{Backend: s.backend.ID, Report: report.Report{InUse: 1, Limit: 4}})
			}
		}
		chosen, err := p.PickFor(now, req)
		if err != nil {
			t.Fatal(err)
		}
		if !p.servers[chosen].sameRegion {
			left++
		}
	}
	return left
}

// ratedSpill returns a Spill with a part of the share of the given size.
func ratedSpill(bytesPerSecond float64) *spill.Spill {
	s := spill.New(1)
	s.SetRate(time.Unix(1_800_000_000, 0), bytesPerSecond)
	return s
}

// TestRequestsStayInTheirRegion checks that requests leave their region only if its backend servers have no room and the
// share of the link allows it, and that those with large bodies leave after the others. Without regions they leave earlier.
func TestRequestsStayInTheirRegion(t *testing.T) {
	small := Request{Service: "rounds", Exclude: []backend.ID{"i-05"}}
	large := Request{Service: "rounds", BodyBytes: 60_000}
	if n := leaving(t, false, small, WithRegions(ratedSpill(1e7))); n > 0 {
		t.Errorf("%d of 1000 requests left a region with free slots, want none", n)
	}
	s, l := leaving(t, true, small, WithRegions(ratedSpill(1e7))), leaving(t, true, large, WithRegions(ratedSpill(1e7)))
	if s < 500 || l >= s || l == 0 {
		t.Errorf("%d small and %d large ones of 1000 requests left a full region, want most small and fewer large ones", s, l)
	}
	if n := leaving(t, true, small, WithRegions(ratedSpill(0))); n > 0 {
		t.Errorf("%d of 1000 requests left without a share of the link, want none", n)
	}
}

// TestWithoutRegionsNothingChanges checks that regions that are named make no difference without WithRegions.
func TestWithoutRegionsNothingChanges(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	named, unnamed := newRegionPicker(now, 6), New(1, WithLocalFirst())
	unnamed.Update(now, ServiceUpdated{Service: service.New("rounds").WithRamp(0)})
	for _, s := range named.groupOrder[0].servers {
		unnamed.Update(now, BackendUpdated{Backend: s.backend, SameDatacentre: s.sameDatacentre, InService: true})
	}
	for n := range 200 {
		req := Request{Service: "rounds", RunOnce: n%3 == 0, BodyBytes: n * 100}
		a, _ := named.PickFor(now, req)
		b, _ := unnamed.PickFor(now, req)
		if a != b {
			t.Fatalf("request %d goes to %s with named regions and to %s without", n, a, b)
		}
		for _, p := range []*Picker{named, unnamed} {
			p.Update(now, AttemptStarted{Attempt: id.New("vm-00", 1, uint64(n)), Backend: a})
		}
	}
}

// TestTrialsStayInTheirRegion checks that failing backend servers of another region get no trials from here.
func TestTrialsStayInTheirRegion(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := newRegionPicker(now, 6, WithRegions(ratedSpill(1e7)))
	for _, s := range p.servers {
		if !s.sameRegion {
			p.Update(now, ReportReceived{Backend: s.backend.ID, Report: report.Report{Breaker: breaker.Open, BreakerScore: 9, Limit: 4}})
		}
	}
	now = now.Add(2 * time.Second)
	for range 500 {
		chosen, err := p.PickFor(now, Request{Service: "rounds", MayBeTrial: true})
		if err != nil {
			t.Fatal(err)
		}
		if !p.servers[chosen].sameRegion {
			t.Fatalf("a trial went to %s in another region", chosen)
		}
	}
}

// TestRegionUsesItsOwnFailingServersFirst checks that a region whose backend servers all fail some of their requests
// keeps the least bad in use, rather than sending everything over the link.
func TestRegionUsesItsOwnFailingServersFirst(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := newRegionPicker(now, 6, WithRegions(ratedSpill(1e7)))
	p.Update(now, ServiceUpdated{Service: service.New("rounds").WithRamp(0).WithFloor(0.5)})
	for _, s := range p.servers {
		if s.sameRegion {
			p.Update(now, ReportReceived{Backend: s.backend.ID, Report: report.Report{Breaker: breaker.Open, BreakerScore: 9, Limit: 4}})
		}
	}
	chosen, err := p.PickFor(now, Request{Service: "rounds"})
	if err != nil || !p.servers[chosen].sameRegion {
		t.Errorf("got %q, %v; want a backend server of the own region", chosen, err)
	}
}

// TestRequestsKeepToTheirHomes checks that a request with home regions goes to no other region, also as a trial or a
// retry, that it leaves a region that is no home without a share of the link, and that none is chosen if none is left.
func TestRequestsKeepToTheirHomes(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, options := range [][]Option{nil, {WithRegions(ratedSpill(0))}} {
		p := newRegionPicker(now, 6, options...)
		for n := range uint64(300) {
			for _, home := range []string{"here", "there"} {
				chosen, err := p.PickFor(now, Request{Service: "rounds", HomeRegions: []string{home}, MayBeTrial: true, RunOnce: n%2 == 0})
				if err != nil || p.servers[chosen].region != home {
					t.Fatalf("home %s: got %q, %v", home, chosen, err)
				}
				p.Update(now, AttemptStarted{Attempt: id.New("vm-00", 1, n), Backend: chosen})
				p.Update(now, AttemptEnded{Attempt: id.New("vm-00", 1, n), Backend: chosen, Verdict: verdict.Shed})
			}
		}
		if chosen, err := p.PickFor(now, Request{Service: "rounds", HomeRegions: []string{}}); !errors.Is(err, ErrNoBackend) {
			t.Errorf("without a home left: got %q, %v; want %v", chosen, err, ErrNoBackend)
		}
		if p.HasOther(Request{Service: "rounds", HomeRegions: []string{}}, "i-00") {
			t.Error("without a home left another backend server is said to be possible")
		}
	}
}

// TestPeersAreComparedWithinTheRegion checks that an ingress asks only guards of its own region for reports to compare a
// slow backend server with, and ejects it by these.
func TestPeersAreComparedWithinTheRegion(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := newRegionPicker(now, 6, WithRegions(ratedSpill(1e7)))
	level := func(d time.Duration) report.Report {
		return report.Report{Limit: 4}.WithLevel(0, report.Level{Time: d, Spread: 0.3, Samples: 400})
	}
	for _, s := range p.groupOrder[0].servers {
		p.Update(now, ReportReceived{Backend: s.backend.ID, Report: level(100 * time.Millisecond)})
	}
	asked, ejected := 0, false
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		slow := level(900 * time.Millisecond)
		slow.Slowness = 40
		p.Update(now, ReportReceived{Backend: "i-00", Report: slow})
		for _, a := range p.Update(now, Tick{}) {
			switch a := a.(type) {
			case RequestReport:
				asked++
				if !p.servers[a.Backend].sameRegion {
					t.Errorf("%s in another region was asked for a report", a.Backend)
				}
				r := level(100 * time.Millisecond)
				p.Update(now, AttemptEnded{Backend: a.Backend, Verdict: verdict.Shed, Report: &r})
			case Ejected:
				ejected = ejected || a.Backend == "i-00"
			}
		}
	}
	if asked == 0 || !ejected {
		t.Errorf("%d reports asked for, ejected: %v; want some, and the slow backend server ejected", asked, ejected)
	}
}

// TestAnswersOfForcedRequestsLeaveTheShareAlone guards against requests whose only homes are abroad, which are not charged
// to the share of the link, using it up by their answers: all that the region has no backend server for is refused then.
func TestAnswersOfForcedRequestsLeaveTheShareAlone(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := newRegionPicker(now, 6, WithRegions(ratedSpill(30_000)))
	p.Update(now, ServiceUpdated{Service: service.New("maps").WithRamp(0)})
	abroad := backend.New("m-00", "maps", "vm-20").WithSlots(4)
	p.Update(now, BackendUpdated{Backend: abroad, Datacentre: "there-0", Region: "there", InService: true})
	now = now.Add(5 * time.Second)
	if _, err := p.PickFor(now, Request{Service: "maps"}); err != nil {
		t.Fatalf("before: %v", err)
	}
	attempt := id.New("vm-00", 1, 1)
	chosen, err := p.PickFor(now, Request{Service: "rounds", HomeRegions: []string{"there"}})
	if err != nil {
		t.Fatal(err)
	}
	p.Update(now, AttemptStarted{Attempt: attempt, Backend: chosen})
	p.Update(now, AttemptEnded{Attempt: attempt, Backend: chosen, Verdict: verdict.OK, Took: time.Second, AnswerBytes: 4 << 20})
	now = now.Add(30 * time.Second)
	if _, err := p.PickFor(now, Request{Service: "maps"}); err != nil {
		t.Errorf("30 s after a forced request's answer of 4 MB, another one is refused: %v", err)
	}
}

// TestHomeIsKnownWithoutBackendServersHere guards against an ingress that knows no backend server of its own region, as after
// a restart during a failure there: a request that is at home in both regions is not forced abroad and keeps to the share.
func TestHomeIsKnownWithoutBackendServersHere(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := New(1, WithRegions(ratedSpill(0)), WithLocalFirst())
	p.Update(now, ServiceUpdated{Service: service.New("rounds").WithRamp(0)})
	b := backend.New("i-00", "rounds", "vm-00").WithSlots(4)
	p.Update(now, BackendUpdated{Backend: b, Datacentre: "there-0", Region: "there", InService: true})
	if _, err := p.PickFor(now, Request{Service: "rounds"}); !errors.Is(err, ErrNoBackend) {
		t.Fatalf("without homes: %v, want %v", err, ErrNoBackend)
	}
	if got, err := p.PickFor(now, Request{Service: "rounds", HomeRegions: []string{"here", "there"}}); !errors.Is(err, ErrNoBackend) {
		t.Errorf("at home here and there: got %q, %v without a share of the link; want %v", got, err, ErrNoBackend)
	}
}

// TestFloorHoldsInEachHomeRegion lets all backend servers of one of two other regions fail some of their requests. A request
// that is at home there only must still get the least bad of them, as in a fleet that has that region alone.
func TestFloorHoldsInEachHomeRegion(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := newRegionPicker(now, 6, WithRegions(ratedSpill(1e7)))
	p.Update(now, ServiceUpdated{Service: service.New("rounds").WithRamp(0).WithFloor(0.5)})
	for i := range 6 {
		b := backend.New(backend.ID(fmt.Sprintf("j-%02d", i)), "rounds", member.ID(fmt.Sprintf("vm-j%02d", i))).WithSlots(4)
		p.Update(now, BackendUpdated{Backend: b, Datacentre: "far-0", Region: "far", InService: true})
		p.Update(now, ReportReceived{Backend: b.ID, Report: report.Report{Breaker: breaker.Open, BreakerScore: 9, Limit: 4}})
	}
	if chosen, err := p.PickFor(now, Request{Service: "rounds", HomeRegions: []string{"far"}}); err != nil {
		t.Errorf("got %q, %v; want a backend server of the home region", chosen, err)
	}
}

// TestFullRegionSendsAwayRatherThanUsesFailingServers fills the sound half of the own region's backend servers while the
// other half fails: what has no room may leave, and the failing ones stay out of use.
func TestFullRegionSendsAwayRatherThanUsesFailingServers(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := newRegionPicker(now, 6, WithRegions(ratedSpill(1e7)))
	p.Update(now, ServiceUpdated{Service: service.New("rounds").WithRamp(0).WithFloor(0.5)})
	left, forced := 0, 0
	for n := range 1000 {
		now = now.Add(10 * time.Millisecond)
		for i, s := range p.groupOrder[0].servers[:6] {
			r := report.Report{InUse: 4, Queued: 4, Limit: 4}
			if i%2 == 0 {
				r = report.Report{Breaker: breaker.Open, BreakerScore: 9, Limit: 4}
			}
			p.Update(now, ReportReceived{Backend: s.backend.ID, Report: r})
		}
		p.Update(now, ReportReceived{Backend: "i-06", Report: report.Report{InUse: 1, Limit: 4}})
		if n%10 == 0 {
			p.Update(now, Tick{})
		}
		chosen, err := p.PickFor(now, Request{Service: "rounds", Exclude: []backend.ID{"i-01"}})
		if err != nil {
			t.Fatal(err)
		}
		if !p.servers[chosen].sameRegion {
			left++
		}
		if p.Forced(chosen) {
			forced++
		}
	}
	if left < 500 || forced > 0 {
		t.Errorf("%d of 1000 requests left, %d went to a failing backend server; want most, and none", left, forced)
	}
}

// TestFloorHoldsForTheServiceAsAWhole lets half the backend servers of the own region fail, while all of the other region are
// sound. The floor's share is reached by those that are sound in both, so none that fails stays in use here.
func TestFloorHoldsForTheServiceAsAWhole(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := newRegionPicker(now, 6, WithRegions(ratedSpill(1e7)))
	p.Update(now, ServiceUpdated{Service: service.New("rounds").WithRamp(0).WithFloor(0.7)})
	failing := []backend.ID{"i-00", "i-02", "i-04"}
	for _, name := range failing {
		p.Update(now, ReportReceived{Backend: name, Report: report.Report{Breaker: breaker.Open, BreakerScore: 9, Limit: 4}})
	}
	for range 200 {
		if chosen, err := p.PickFor(now, Request{Service: "rounds"}); err != nil || slices.Contains(failing, chosen) {
			t.Fatalf("got %q, %v; want a sound backend server", chosen, err)
		}
	}
	for _, name := range failing {
		if p.Forced(name) {
			t.Errorf("%s stays in use", name)
		}
	}
}

// TestLargeBodiesThatAllRefuseStay checks that a request with a large body, which all backend servers of its region have refused,
// is refused rather than sent to a region of which nothing is known, and that one without a body is sent there.
func TestLargeBodiesThatAllRefuseStay(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := newRegionPicker(now, 6, WithRegions(ratedSpill(1e7)))
	now = now.Add(5 * time.Second)
	tried := []backend.ID{"i-00", "i-01", "i-02", "i-03", "i-04", "i-05"}
	if chosen, err := p.PickFor(now, Request{Service: "rounds", Exclude: tried, BodyBytes: 60_000}); !errors.Is(err, ErrNoBackend) {
		t.Errorf("with a large body: got %q, %v; want %v", chosen, err, ErrNoBackend)
	}
	left := 0
	for range 100 {
		if chosen, err := p.PickFor(now, Request{Service: "rounds", Exclude: tried}); err == nil && !p.servers[chosen].sameRegion {
			left++
		}
	}
	if left < 10 {
		t.Errorf("%d of 100 requests without a body left, want more while nothing is known of the other region", left)
	}
}
