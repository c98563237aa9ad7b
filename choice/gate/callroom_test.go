package gate_test

import (
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/gate"
	"berylpass/choice/urgency"
	"berylpass/choice/verdict"
	"berylpass/config/service"
	"berylpass/decision"
	"berylpass/fleet/backend"
)

// slotted is a gate with one backend server of 8 slots and the requests that run there.
type slotted struct {
	g       *gate.Gate
	now     time.Time
	next    uint64
	running map[id.ID]urgency.Rank
	shed    int
}

func newSlotted(options ...gate.Option) *slotted {
	s := &slotted{g: gate.New(options...), now: time.Unix(1_800_000_000, 0), running: map[id.ID]urgency.Rank{}}
	s.g.Update(s.now, gate.ServiceUpdated{Service: service.New("rounds").WithRamp(0)})
	s.g.Update(s.now, gate.BackendUpdated{Backend: backend.New("r-0", "rounds", "vm").WithSlots(8), InService: true})
	return s
}

// arrive sends a request and returns its ID.
func (s *slotted) arrive(r urgency.Rank) id.ID {
	s.next++
	attempt := id.New("vm", 1, s.next)
	s.running[attempt] = r
	s.take(attempt, s.g.Update(s.now, gate.Arrive{ID: attempt, Backend: "r-0", Rank: r, Expires: s.now.Add(time.Minute)}))
	return attempt
}

// take removes arrived from the running requests unless the actions let it run.
func (s *slotted) take(arrived id.ID, actions []decision.Action) {
	runs := false
	for _, a := range actions {
		switch a := a.(type) {
		case gate.Run:
			runs = runs || a.ID == arrived
		case gate.Shed:
			s.shed++
		}
	}
	if !runs {
		delete(s.running, arrived)
	}
}

func (s *slotted) finish(attempt id.ID) {
	delete(s.running, attempt)
	s.g.Update(s.now, gate.Finished{ID: attempt, Verdict: verdict.OK})
}

// TestSlotsAreKeptForCalls checks that newcomers leave free what calls of running requests have lately used, and that
// the slots are theirs again once there are no calls.
func TestSlotsAreKeptForCalls(t *testing.T) {
	for _, precedence := range []bool{true, false} {
		var options []gate.Option
		if precedence {
			options = append(options, gate.WithPrecedence())
		}
		s := newSlotted(options...)
		for range 60 {
			a, b := s.arrive(urgency.Of(0, "a").OfCall()), s.arrive(urgency.Of(0, "b").OfCall())
			s.now = s.now.Add(150 * time.Millisecond)
			s.finish(a)
			s.finish(b)
		}
		for range 20 {
			s.arrive(urgency.Of(0, "a"))
		}
		newcomers := len(s.running)
		s.arrive(urgency.Of(2, "a").OfCall())
		if called := len(s.running) > newcomers; called != precedence {
			t.Errorf("precedence %v: a call runs beside %d newcomers: %v", precedence, newcomers, called)
		}
		if precedence && newcomers < 6 {
			t.Errorf("%d newcomers run, want all slots but those that calls use", newcomers)
		}
		s.now = s.now.Add(20 * time.Second)
		s.g.Update(s.now, gate.Tick{})
		if r, _ := s.g.Report(s.now, "r-0"); r.InUse != 8 {
			t.Errorf("precedence %v: %d slots in use long after the last calls, want 8", precedence, r.InUse)
		}
	}
}

// TestUrgentRequestRunsNext fills the slots and the queue with less urgent work: a request of the first level must be
// the next to run, and make room in a full queue.
func TestUrgentRequestRunsNext(t *testing.T) {
	s := newSlotted(gate.WithPrecedence(), gate.WithMaxQueued(20))
	var first id.ID
	for n := range 28 {
		attempt := s.arrive(urgency.Of(2, "a"))
		if n == 0 {
			first = attempt
		}
	}
	urgent := s.arrive(urgency.Of(0, "b"))
	if s.shed != 1 {
		t.Errorf("%d requests were shed for an urgent one, want 1", s.shed)
	}
	for _, a := range s.g.Update(s.now, gate.Finished{ID: first, Verdict: verdict.OK}) {
		if r, ok := a.(gate.Run); ok && r.ID != urgent {
			t.Errorf("%v runs next, want the urgent %v", r.ID, urgent)
		}
	}
}
