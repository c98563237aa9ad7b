package admission_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"berylpass/choice/admission"
	"berylpass/choice/room"
	"berylpass/choice/urgency"
	"berylpass/fleet/backend"
)

var start = time.Unix(1_800_000_000, 0)

// session is an Admission at a time, with what it has told.
type session struct {
	*admission.Admission
	now            time.Time
	random         int
	closed, opened []urgency.Level
}

func newSession() *session { return &session{Admission: admission.New(), now: start} }

// hear passes on that n guards refuse a share of the newcomers from a level on.
func (s *session) hear(n int, from urgency.Level, refused float64) {
	var r room.Room
	for l := urgency.Call; l < urgency.Count; l++ {
		r.Waits[l] = time.Second
		if l >= from {
			r.Refused[l] = refused
		}
	}
	for i := range n {
		s.Update(s.now, admission.RoomHeard{Service: "rounds", Backend: backend.ID(fmt.Sprint(i)), Room: r})
	}
}

// admits asks for one request and reports whether it is admitted.
func (s *session) admits(l urgency.Level, organisation string) bool {
	// Multiples of the golden ratio are spread evenly.
	s.random++
	_, random := math.Modf(float64(s.random) * 0.6180339887)
	admitted := true
	e := admission.Arrived{Service: "rounds", Level: l, Organisation: organisation, Left: 5 * time.Second, Random: random, Spread: random}
	for _, action := range s.Update(s.now, e) {
		switch a := action.(type) {
		case admission.Refused:
			admitted = false
		case admission.Closed:
			s.closed = append(s.closed, a.Level)
		case admission.Opened:
			s.opened = append(s.opened, a.Level)
		}
	}
	return admitted
}

// shares passes time while guards refuse, with ten requests of each level in each 100 ms, and returns the share admitted
// in the last second.
func (s *session) shares(d time.Duration, guards int, from urgency.Level, refused float64) (share [urgency.Count]float64) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		s.hear(guards, from, refused)
		for l := urgency.Call; l < urgency.Count; l++ {
			for n := range 10 {
				if s.admits(l, fmt.Sprint(n)) && end.Sub(s.now) <= time.Second {
					share[l] += 0.01
				}
			}
		}
	}
	return share
}

// TestLeastUrgentAreRefusedFirst checks that levels whose requests guards refuse are cut, that more urgent ones and calls
// are not, and that a closed level keeps a small share.
func TestLeastUrgentAreRefusedFirst(t *testing.T) {
	s := newSession()
	got := s.shares(10*time.Second, 6, urgency.Third, 1)
	for l := urgency.Call; l < urgency.Third; l++ {
		if got[l] < 0.999 {
			t.Errorf("%.2f of the level %v admitted, want all", got[l], l)
		}
	}
	for l := urgency.Third; l < urgency.Count; l++ {
		if got[l] < 0.03 || got[l] > 0.1 {
			t.Errorf("%.2f of the level %v admitted, want the least share, 1 in 16", got[l], l)
		}
	}
	if s.Level("rounds") != urgency.Second || len(s.opened) > 0 || !slices.Equal(s.closed, []urgency.Level{urgency.Third, urgency.Fourth}) {
		t.Errorf("admitted up to %v, closed %v, opened %v", s.Level("rounds"), s.closed, s.opened)
	}
}

// TestShareHasHysteresis checks that a share stays as it is while guards refuse about as many as they should, and is back
// within three seconds after they refuse none.
func TestShareHasHysteresis(t *testing.T) {
	s := newSession()
	s.shares(4*time.Second, 6, urgency.Fourth, 1)
	cut := s.shares(time.Second, 6, urgency.Fourth, 0.7)[urgency.Fourth]
	for _, refused := range []float64{0.65, 0.75} {
		if kept := s.shares(4*time.Second, 6, urgency.Fourth, refused)[urgency.Fourth]; math.Abs(kept-cut) > 0.05 {
			t.Errorf("the share is %.2f while guards refuse %.2f, want %.2f as before", kept, refused, cut)
		}
	}
	if back := s.shares(3*time.Second, 6, urgency.Fourth, 0)[urgency.Fourth]; back < 0.9 {
		t.Errorf("the share is %.2f in the third second after the overload", back)
	}
	if fourth := []urgency.Level{urgency.Fourth}; !slices.Equal(s.closed, fourth) || !slices.Equal(s.opened, fourth) {
		t.Errorf("closed %v and opened %v, want the fourth level once each", s.closed, s.opened)
	}
}

// TestLessUrgentNeverPassesMoreUrgent checks that less urgent levels are cut with a more urgent one, whatever guards say
// of them.
func TestLessUrgentNeverPassesMoreUrgent(t *testing.T) {
	s := newSession()
	for range 40 {
		var r room.Room
		r.Refused[urgency.Second] = 1
		for i := range 6 {
			s.Update(s.now, admission.RoomHeard{Service: "rounds", Backend: backend.ID(fmt.Sprint(i)), Room: r})
		}
		s.admits(urgency.Second, "a")
		s.now = s.now.Add(250 * time.Millisecond)
	}
	admitted := 0
	for range 100 {
		if s.admits(urgency.Fourth, "a") {
			admitted++
		}
	}
	if admitted > 10 {
		t.Errorf("%d of 100 requests of the fourth level admitted while the second is closed", admitted)
	}
}

// TestStaleReportsRefuseNothing checks that without recent rooms of several guards everything is admitted.
func TestStaleReportsRefuseNothing(t *testing.T) {
	s := newSession()
	if got := s.shares(5*time.Second, 4, urgency.First, 1)[urgency.Fourth]; got < 0.999 {
		t.Errorf("%.2f admitted by the word of four guards, want all", got)
	}
	if got := s.shares(5*time.Second, 6, urgency.First, 1)[urgency.Fourth]; got > 0.5 {
		t.Errorf("%.2f admitted although six guards refuse", got)
	}
	s.now = s.now.Add(2100 * time.Millisecond)
	if !s.admits(urgency.First, "a") || !s.admits(urgency.Fourth, "a") {
		t.Error("refused by old rooms")
	}
}

// TestLargestOrganisationIsCutFirst checks that an organisation that asks for much is refused before those that ask for
// little.
func TestLargestOrganisationIsCutFirst(t *testing.T) {
	s := newSession()
	asked, admitted := map[string]int{}, map[string]int{}
	for n := range 8000 {
		if n%20 == 0 {
			s.hear(6, urgency.First, 0.7)
			if s.now.Sub(start) < 2500*time.Millisecond {
				s.hear(6, urgency.First, 1)
			}
			s.now = s.now.Add(50 * time.Millisecond)
		}
		o := "large"
		if n%5 == 0 {
			o = fmt.Sprint(n / 5 % 4)
		}
		ok := s.admits(urgency.First, o)
		if n > 4000 {
			asked[o]++
			if ok {
				admitted[o]++
			}
		}
	}
	for o, n := range asked {
		share := float64(admitted[o]) / float64(n)
		if o != "large" && share < 0.99 {
			t.Errorf("%.2f of the requests of the small organisation %s admitted, want all", share, o)
		}
		if o == "large" && share > 0.8 {
			t.Errorf("%.2f of the requests of the large organisation admitted, want fewer", share)
		}
	}
}

// TestReturnsAreSpread checks that the advice when to come back covers a span, within a third of the time left.
func TestReturnsAreSpread(t *testing.T) {
	for _, backlog := range []time.Duration{0, 300 * time.Millisecond, time.Second, time.Minute} {
		const left = 5 * time.Second
		shortest, longest := admission.RetryAfter(backlog, left, 0), admission.RetryAfter(backlog, left, 0.999)
		if longest < 3*shortest || longest > left/3 || shortest < 50*time.Millisecond {
			t.Errorf("with a backlog of %v, the advice is from %v to %v", backlog, shortest, longest)
		}
	}
	if got := admission.RetryAfter(time.Second, -time.Second, 0.5); got != 0 {
		t.Errorf("advice of %v for a caller without time left", got)
	}
}
