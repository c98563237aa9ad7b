package guard

import (
	"context"
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/fairqueue"
	"berylpass/choice/urgency"
	"berylpass/config/class"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/hop"
	"berylpass/leg"
)

// TestCallsInheritTheRankOfTheirRun checks the rank of calls by the deadline that they share with the request that
// makes them, and that a request without a key is no call if no
// running request shares its deadline: before, all of them counted as calls while anything ran, and their priorities did not.
func TestCallsInheritTheRankOfTheirRun(t *testing.T) {
	g := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: twoRoutes{}, Observer: &stateRecorder{states: map[backend.ID]backend.State{}}, Limit: unlimited{}, Precedence: true,
	})
	defer g.Close()
	at := func(d time.Duration) time.Time { return g.started.Add(d) }
	if r, ok := g.RankOfCall(at(time.Second)); ok {
		t.Errorf("with nothing running, a request counts as a call of rank %+v", r)
	}
	for n, r := range []urgency.Rank{urgency.Of(2, "downloads"), urgency.Of(0, "lookups")} {
		// A request with a deadline nearby must not be taken for the one that makes the call.
		g.attempts[id.New("vm-2", 2, uint64(n))] = &attempt{
			running: true, deadline: at(time.Duration(n+1)*time.Second + 15*time.Millisecond), envelope: hop.Envelope{Rank: urgency.Of(3, "nearby")},
		}
		g.attempts[id.New("vm-2", 1, uint64(n))] = &attempt{
			running: true, deadline: at(time.Duration(n+1) * time.Second), envelope: hop.Envelope{Rank: r},
		}
	}
	g.attempts[id.New("vm-2", 1, 9)] = &attempt{deadline: at(3 * time.Second), envelope: hop.Envelope{Rank: urgency.Of(1, "queued")}}
	for _, test := range []struct {
		deadline time.Duration
		want     urgency.Rank
		call     bool
	}{
		{time.Second - 7*time.Millisecond, urgency.Of(2, "downloads").OfCall(), true},
		{2*time.Second + 3*time.Millisecond, urgency.Of(0, "lookups").OfCall(), true},
		// Only a queued request has this deadline, and none has the last: these come from elsewhere, and their priority
		// counts.
		{3 * time.Second, urgency.Rank{}, false},
		{4 * time.Second, urgency.Rank{}, false},
	} {
		if got, ok := g.RankOfCall(at(test.deadline)); ok != test.call || got != test.want {
			t.Errorf("call with a deadline after %v: %+v, %v; want %+v", test.deadline, got, ok, test.want)
		}
	}
}

// TestPrioritiesHoldWithoutKeys checks that newcomers without keys, all there are in a configuration without organisations,
// aren't taken for calls of a run whose deadline is far from theirs: a full queue makes room for the most urgent of them.
func TestPrioritiesHoldWithoutKeys(t *testing.T) {
	g := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: twoRoutes{}, Observer: &stateRecorder{states: map[backend.ID]backend.State{}}, Limit: unlimited{}, Precedence: true,
	})
	defer g.Close()
	g.attempts[id.New("vm-2", 1, 1)] = &attempt{running: true, deadline: g.started.Add(time.Second), envelope: hop.Envelope{Rank: urgency.Of(0, "")}}
	rankOf := func(priority int) urgency.Rank {
		if r, ok := g.RankOfCall(g.started.Add(30 * time.Second)); ok {
			return r
		}
		return urgency.Of(priority, "")
	}
	q := fairqueue.New(fairqueue.WithPrecedence())
	for n := range uint64(20) {
		q.Push(fairqueue.Item{ID: id.New("vm-3", 1, n), Rank: rankOf(3), Cost: time.Second})
	}
	if _, ok := q.Victim(rankOf(0), time.Second); !ok {
		t.Error("a full queue of requests of priority 3 makes no room for one of priority 0")
	}
}

// TestRequestWithoutRoomForItsCallsIsRefused checks that a request whose run would call a service that can't answer in
// time is refused before it runs, and not once there is room again.
func TestRequestWithoutRoomForItsCallsIsRefused(t *testing.T) {
	wait := 10 * time.Second
	l := blockingLeg{started: make(chan struct{}, 3), release: make(chan struct{})}
	close(l.release)
	g := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: twoRoutes{}, Observer: &stateRecorder{states: map[backend.ID]backend.State{}}, Leg: l, Limit: unlimited{},
		Precedence: true, CallWait: func(service string) time.Duration { return map[string]time.Duration{"parcels": wait}[service] },
	})
	defer g.Close()
	g.Heartbeat(backend.New("i-1", "rounds", "vm-1").WithAddress("10.0.0.1:80").WithSlots(8).WithIncarnation(1), 1, 0)
	g.calls.RecordRun("status")
	g.calls.RecordCall("status", "parcels")
	for n, test := range []struct {
		route string
		wait  time.Duration
		want  hop.Ending
	}{
		{"status", 10 * time.Second, hop.NotRun},
		{"booking", 10 * time.Second, hop.Ran},
		{"status", time.Second, hop.Ran},
	} {
		wait = test.wait
		e := hop.Envelope{Attempt: id.New("vm-2", 1, uint64(n)), Backend: "i-1", Incarnation: 1, Route: test.route, Expires: 5000, Class: class.Reservation}
		if _, report := g.Run(context.Background(), e, leg.Request{Method: "GET", Target: "/"}); report.Ending != test.want || report.Room == nil {
			t.Errorf("%s with a wait of %v for calls: %+v, want %s", test.route, test.wait, report, test.want)
		}
	}
}
