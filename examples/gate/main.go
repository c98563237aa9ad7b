// Command gate runs a guard's admission control in virtual time: three organisations
// send requests at the same time to a backend server with two slots that has just
// started. It prints when each request runs or is shed.
//
//	go run ./examples/gate
package main

import (
	"fmt"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/gate"
	"berylpass/choice/verdict"
	"berylpass/config/class"
	"berylpass/config/service"
	"berylpass/fleet/backend"
)

// serviceTime is the time that the backend server takes for each request.
const serviceTime = 100 * time.Millisecond

func main() {
	now := time.Unix(0, 0)
	g := gate.New()
	g.Update(now, gate.ServiceUpdated{Service: service.New("rounds").WithRamp(time.Second)})
	g.Update(now, gate.BackendUpdated{Backend: backend.New("rounds-1", "rounds", "vm-1").WithSlots(2), InService: true})

	var running []id.ID
	handle := func(event any) {
		for _, action := range g.Update(now, event) {
			switch a := action.(type) {
			case gate.Run:
				fmt.Printf("%4dms run  %s after %v\n", now.UnixMilli(), a.ID, a.Waited)
				running = append(running, a.ID)
			case gate.Shed:
				fmt.Printf("%4dms shed %s: %s\n", now.UnixMilli(), a.ID, a.Reason)
			}
		}
	}
	for n := range uint64(9) {
		organisation := []string{"orchards", "pitches", "parish"}[n%3]
		handle(gate.Arrive{
			ID: id.New("vm-2", 1, n), Backend: "rounds-1", Organisation: organisation,
			Class: class.Transfer, Expires: now.Add(2 * time.Second),
		})
	}
	for len(running) > 0 {
		now = now.Add(serviceTime)
		finished := running
		running = nil
		for _, attempt := range finished {
			handle(gate.Finished{ID: attempt, Verdict: verdict.OK})
		}
		handle(gate.Tick{})
	}
}
