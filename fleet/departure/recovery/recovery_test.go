package recovery

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"berylpass/decision"
	"berylpass/fleet/member"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func newRecovery() *Recovery { return New(start, rand.New(rand.NewPCG(1, 2))) }

// known returns the Known among the actions, and whether there is one.
func known(actions []decision.Action) (Known, bool) {
	for _, a := range actions {
		if k, ok := a.(Known); ok {
			return k, true
		}
	}
	return Known{}, false
}

// TestHeartbeatsWaitForStoreAndHolders guards against a departed backend server that serves
// again because its daemon has restarted and has asked only one of the two places in which the
// departure may be.
func TestHeartbeatsWaitForStoreAndHolders(t *testing.T) {
	peers := []member.ID{"vm-2", "vm-3"}
	for name, test := range map[string]struct {
		events []decision.Event
		want   bool
	}{
		"nothing answered":                    {[]decision.Event{Tick{Peers: peers}}, false},
		"only the store":                      {[]decision.Event{Tick{Peers: peers}, ListRead{}}, false},
		"only the holders":                    {[]decision.Event{Tick{Peers: peers}, Recalled{Complete: true}}, false},
		"both":                                {[]decision.Event{Tick{Peers: peers}, ListRead{}, Recalled{Complete: true}}, true},
		"store unavailable":                   {[]decision.Event{Tick{Peers: peers}, ListFailed{}, Recalled{Complete: true}}, true},
		"too few holders":                     {[]decision.Event{Tick{Peers: peers}, ListRead{}, Recalled{}}, false},
		"no other daemon":                     {[]decision.Event{Tick{RecordsRead: true}, ListRead{}}, true},
		"no other daemon known yet":           {[]decision.Event{Tick{}, ListRead{}}, false},
		"unreachable store, no daemon known":  {[]decision.Event{Tick{}, ListFailed{}}, false},
		"holders answer after the store does": {[]decision.Event{Tick{Peers: peers}, ListRead{}, Recalled{}, Recalled{Complete: true}}, true},
	} {
		r := newRecovery()
		got := false
		for _, e := range test.events {
			if _, ok := known(r.Update(start, e)); ok {
				got = true
			}
		}
		if got != test.want {
			t.Errorf("%s: known is %t, want %t", name, got, test.want)
		}
	}
}

// TestLoneDaemonServesWithoutStoreAndPeers checks that a daemon which reaches nobody accepts
// heartbeats after MaxWait, and takes over what the store and the peers know later.
func TestLoneDaemonServesWithoutStoreAndPeers(t *testing.T) {
	r := newRecovery()
	r.Update(start, Tick{})
	r.Update(start, ListFailed{})
	if k, ok := known(r.Update(start.Add(MaxWait), Tick{})); !ok || !k.TimedOut {
		t.Errorf("after %s: known is %t, timed out %t", MaxWait, ok, k.TimedOut)
	}
	if r.Done() {
		t.Error("the daemon no longer asks for the departures")
	}
	late := start.Add(MaxWait + 20*time.Millisecond)
	if actions := r.Update(late, Tick{Peers: []member.ID{"vm-2"}}); !slices.Contains(actions, decision.Action(Recall{From: "vm-2", ReadList: true})) {
		t.Errorf("the first peer isn't asked: %v", actions)
	}
	if actions := r.Update(late, StoreAnswered{}); !slices.Contains(actions, decision.Action(ReadList{})) && !r.reading {
		t.Errorf("the list isn't read when the store answers again: %v", actions)
	}
	r.Update(late, ListRead{})
	if r.Update(late, Recalled{Complete: true}); !r.Done() {
		t.Error("the daemon still asks, although everybody has answered")
	}
}

// TestRecoveryAsksOneAtATime checks, for random events, that no read or call begins before the
// previous one has ended, that Known comes once, and not after MaxWait.
func TestRecoveryAsksOneAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRecovery()
		now := start
		reading, recalling, knownAt := false, false, time.Time{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			peers := []member.ID{"vm-2", "vm-3"}[:rapid.IntRange(0, 2).Draw(rt, "peers")]
			events := []decision.Event{Tick{Peers: peers, RecordsRead: rapid.Bool().Draw(rt, "records")}, StoreAnswered{}}
			if reading {
				events = append(events, ListRead{}, ListFailed{})
			}
			if recalling {
				events = append(events, Recalled{Complete: rapid.Bool().Draw(rt, "complete")})
			}
			e := rapid.SampledFrom(events).Draw(rt, "event")
			switch e.(type) {
			case ListRead, ListFailed:
				reading = false
			case Recalled:
				recalling = false
			}
			for _, a := range r.Update(now, e) {
				switch a.(type) {
				case ReadList:
					if reading {
						rt.Fatal("two reads at once")
					}
					reading = true
				case Recall:
					if recalling {
						rt.Fatal("two calls at once")
					}
					recalling = true
				case Known:
					if !knownAt.IsZero() {
						rt.Fatal("known twice")
					}
					knownAt = now
				}
			}
			if now.Sub(start) >= MaxWait && knownAt.IsZero() {
				rt.Fatalf("not known after %s", now.Sub(start))
			}
		}
	})
}
