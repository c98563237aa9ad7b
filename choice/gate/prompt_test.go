package gate_test

import (
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/gate"
	"berylpass/config/class"
	"berylpass/config/service"
	"berylpass/fleet/backend"
)

// TestPromptRequestsDontWait checks that a prompt request runs if a slot is free, and is shed as busy if it
// would have to wait.
func TestPromptRequestsDontWait(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	g := gate.New()
	g.Update(now, gate.ServiceUpdated{Service: service.New("rounds").WithRamp(0)})
	b := backend.New("i-1", "rounds", "vm-1").WithSlots(1).WithIncarnation(1)
	g.Update(now, gate.BackendUpdated{Backend: b, InService: true})
	arrive := func(n uint64, prompt bool) any {
		actions := g.Update(now, gate.Arrive{
			ID: id.New("vm-2", 1, n), Backend: "i-1", Class: class.Reservation, Expires: now.Add(time.Minute), Prompt: prompt,
		})
		if len(actions) == 0 {
			return nil
		}
		return actions[0]
	}
	if _, ok := arrive(1, true).(gate.Run); !ok {
		t.Error("prompt request did not run although a slot was free")
	}
	if shed, ok := arrive(2, true).(gate.Shed); !ok || shed.Reason != gate.Busy {
		t.Errorf("prompt request without a free slot: %+v, want it shed as busy", shed)
	}
	if got := arrive(3, false); got != nil {
		t.Errorf("request that may wait: %+v, want it queued", got)
	}
}
