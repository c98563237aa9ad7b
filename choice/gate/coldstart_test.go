package gate

import (
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/config/class"
	"berylpass/config/service"
	"berylpass/fleet/backend"
)

// TestColdBackendServerIsLimitedToColdRate checks that a cold backend server gets at most its service's cold
// rate and a small burst, however short the requests are and however many are queued.
func TestColdBackendServerIsLimitedToColdRate(t *testing.T) {
	const rate, seconds = 12, 3
	now := time.Unix(0, 0)
	g := New()
	g.Update(now, ServiceUpdated{Service: service.New("rounds").WithRamp(0).WithColdRate(rate)})
	b := backend.New("i-1", "rounds", "vm-1").WithSlots(4)
	g.Update(now, BackendUpdated{Backend: b, InService: true, ColdUntil: now.Add(time.Minute)})
	started := 0
	for tick := range uint64(seconds * 100) {
		now = now.Add(10 * time.Millisecond)
		request := id.New("vm-2", 1, tick)
		actions := g.Update(now, Arrive{ID: request, Backend: "i-1", Class: class.Transfer, Expires: now.Add(time.Minute)})
		actions = append(actions, g.Update(now, Tick{})...)
		for _, action := range actions {
			if run, ok := action.(Run); ok {
				started++
				g.Update(now, Finished{ID: run.ID})
			}
		}
	}
	if most := rate*seconds + coldBurst; started > most || started < rate*seconds-1 {
		t.Errorf("%d requests started in %d s, want about %d and at most %d", started, seconds, rate*seconds, most)
	}
}
