package picker

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"berylpass/choice/breaker"
	"berylpass/choice/report"
	"berylpass/config/class"
	"berylpass/config/service"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// newHedgePicker returns a Picker with five backend servers of four slots, whose guards report the given load and
// service times of 100, 110, 120, 130 and 90 ms. The last one is in another region.
func newHedgePicker(now time.Time, inUse int) *Picker {
	p := New(1, WithLocalFirst())
	p.Update(now, ServiceUpdated{Service: service.New("rounds").WithRamp(0)})
	for n := range 5 {
		b := backend.New(backend.ID(fmt.Sprintf("i-%d", n)), "rounds", member.ID(fmt.Sprintf("vm-%d", n))).WithSlots(4)
		p.Update(now, BackendUpdated{Backend: b, SameDatacentre: n == 0, SameRegion: n < 4, InService: true})
		level := report.Level{Time: []time.Duration{100, 110, 120, 130, 90}[n] * time.Millisecond, Spread: 0.5, Samples: 20}
		p.Update(now, ReportReceived{Backend: b.ID, Report: report.Report{Limit: 4, Slots: 4}.WithLoad(inUse, 0).WithLevel(class.Transfer, level)})
	}
	return p
}

var hedged = Request{Service: "rounds", Class: class.Transfer}

func TestHedgeDelayIsAHighPercentileOfTheReportedTimes(t *testing.T) {
	now := time.Unix(0, 0)
	p := newHedgePicker(now, 0)
	delay, ok := p.HedgeDelay(now, "rounds", class.Transfer)
	least, most := 109*math.Exp(1.6*0.5), 109*math.Exp(1.7*math.Hypot(0.5, 0.13))
	if ms := float64(delay) / float64(time.Millisecond); !ok || ms < least || ms > most {
		t.Errorf("delay %v, %t; want %.0f to %.0f ms", delay, ok, least, most)
	}
	if _, ok := p.HedgeDelay(now, "rounds", class.Background); ok {
		t.Error("there is a delay for a class without service times")
	}
	if _, ok := p.HedgeDelay(now.Add(2*maxReportAge), "rounds", class.Transfer); ok {
		t.Error("there is a delay from reports that are too old")
	}
}

func TestHedgesGoToFastBackendServersOfTheRegion(t *testing.T) {
	now := time.Unix(0, 0)
	p := newHedgePicker(now, 1)
	tripped := report.Report{Limit: 4, Slots: 4, Breaker: breaker.Open}.WithLevel(class.Transfer, report.Level{Time: 90 * time.Millisecond, Samples: 20})
	p.Update(now, ReportReceived{Backend: "i-1", Report: tripped})
	for range 50 {
		// i-1 fails, i-2 and i-3 are slower than most, i-4 is in another region.
		chosen, err := p.PickHedge(now, hedged)
		if err != nil || chosen != "i-0" {
			t.Fatalf("hedge goes to %q, %v; want i-0", chosen, err)
		}
	}
}

func TestNoHedgesWithoutSpareRoom(t *testing.T) {
	now := time.Unix(0, 0)
	if chosen, err := newHedgePicker(now, 1).PickHedge(now, Request{Service: "rounds", Class: class.Transfer, Exclude: []backend.ID{"i-0"}}); err != nil || chosen != "i-1" {
		t.Errorf("hedge beside i-0 goes to %q, %v; want i-1", chosen, err)
	}
	if _, err := newHedgePicker(now, 2).PickHedge(now, hedged); err != nil {
		t.Errorf("no hedge at half of the load: %v", err)
	}
	if _, err := newHedgePicker(now, 3).PickHedge(now, hedged); !errors.Is(err, ErrNoBackend) {
		t.Errorf("hedge at three quarters of the load: %v, want ErrNoBackend", err)
	}
	if _, err := newHedgePicker(now, 0).PickHedge(now, Request{Service: "none"}); !errors.Is(err, ErrNoBackend) {
		t.Errorf("hedge of an unknown service: %v, want ErrNoBackend", err)
	}
}
