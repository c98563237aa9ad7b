package guard

import (
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/fairqueue"
	"berylpass/choice/urgency"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/hop"
)

// TestCallsInheritTheRankOfTheirRun checks the rank of calls by the deadline that they share with the request that
// makes them, and that a request without a key is no call while nothing runs.
func TestCallsInheritTheRankOfTheirRun(t *testing.T) {
	g := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: twoRoutes{}, Observer: &stateRecorder{states: map[backend.ID]backend.State{}}, Limit: unlimited{}, Precedence: true,
	})
	defer g.Close()
	ofRoute := urgency.Of(3, "")
	at := func(d time.Duration) time.Time { return g.started.Add(d) }
	if r, ok := g.RankOfCall(at(time.Second), ofRoute); ok {
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
	}{
		{time.Second - 7*time.Millisecond, urgency.Of(2, "downloads").OfCall()},
		{2*time.Second + 3*time.Millisecond, urgency.Of(0, "lookups").OfCall()},
		{3 * time.Second, ofRoute.OfCall()},
	} {
		if got, ok := g.RankOfCall(at(test.deadline), ofRoute); !ok || got != test.want {
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
		if r, ok := g.RankOfCall(g.started.Add(30*time.Second), urgency.Of(priority, "")); ok {
			return r
		}
		return urgency.Of(priority, "")
	}
	q := fairqueue.New(fairqueue.WithPrecedence())
	for n := range uint64(20) {
		q.Push(fairqueue.Item{ID: id.New("vm-3", 1, n), Rank: rankOf(3), Cost: time.Second})
	}
	if _, ok := q.Victim(rankOf(0)); !ok {
		t.Error("a full queue of requests of priority 3 makes no room for one of priority 0")
	}
}
