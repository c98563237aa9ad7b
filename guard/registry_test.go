package guard

import (
	"sync"
	"testing"
	"time"

	"berylpass/choice/report"
	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// stateRecorder is an Observer that holds the last reported state of each backend server.
type stateRecorder struct {
	mu     sync.Mutex
	states map[backend.ID]backend.State
}

func (r *stateRecorder) BackendChanged(b backend.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states[b.ID] = b.State
}
func (r *stateRecorder) Refused(string)                           {}
func (r *stateRecorder) AttemptHandled(AttemptRecord)             {}
func (r *stateRecorder) HeartbeatIgnored(backend.Backend, string) {}
func (r *stateRecorder) HeardRevision(uint64, member.ID)          {}
func (r *stateRecorder) LoadChanged(backend.ID, report.Report)    {}

// noConfiguration is a configuration before the first revision.
type noConfiguration struct{}

func (noConfiguration) ProvenNewest(time.Time) bool { return true }

func (noConfiguration) Current() snapshot.Snapshot { return snapshot.Snapshot{} }

func newGuard(t *testing.T) (*Guard, *stateRecorder) {
	t.Helper()
	recorder := &stateRecorder{states: map[backend.ID]backend.State{}}
	g := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{Configuration: noConfiguration{}, Observer: recorder})
	t.Cleanup(g.Close)
	return g, recorder
}

// raceRounds is the number of rounds in which two calls race, enough for each
// interleaving to occur.
const raceRounds = 3000

// TestLeaveWinsOverConcurrentHeartbeat guards against a backend server that serves after
// its leave was acknowledged. A daemon that was paused handles a late heartbeat and the
// leave of one backend server concurrently.
func TestLeaveWinsOverConcurrentHeartbeat(t *testing.T) {
	for name, leave := range map[string]func(g *Guard, b backend.Backend){
		"draining": func(g *Guard, b backend.Backend) { g.Heartbeat(b.WithState(backend.Draining), 3, 0) },
		"gone":     func(g *Guard, b backend.Backend) { g.BackendLeft(b.ID, b.Incarnation) },
	} {
		g, recorder := newGuard(t)
		for round := range raceRounds {
			b := backend.New("i-1", "rounds", "vm-1").WithAddress("10.0.0.1:80").WithSlots(4).WithIncarnation(uint64(round + 1))
			g.Heartbeat(b, 1, 0)
			var wait sync.WaitGroup
			wait.Go(func() { g.Heartbeat(b, 2, time.Second) })
			wait.Go(func() { leave(g, b) })
			wait.Wait()
			for _, known := range g.Backends() {
				if known.State == backend.Serving {
					t.Fatalf("%s, round %d: %v serves after its leave was acknowledged", name, round, known)
				}
			}
			if recorder.states[b.ID] == backend.Serving {
				t.Fatalf("%s, round %d: observer was last told that the backend server serves", name, round)
			}
		}
	}
}

// departureList is a Departures that holds the incarnation of each backend server that left.
type departureList map[backend.ID]uint64

func (l departureList) Add(id backend.ID, incarnation uint64) error {
	l[id] = incarnation
	return nil
}

func (l departureList) AddUnstated(id backend.ID, latest uint64) error { return l.Add(id, latest) }

// TestLeaveWithoutIncarnationIsStored checks that a leave that names no incarnation is
// stored with the incarnation that the guard knows of the backend server.
func TestLeaveWithoutIncarnationIsStored(t *testing.T) {
	g, _ := newGuard(t)
	departures := departureList{}
	g.Departures = departures
	g.Heartbeat(backend.New("i-1", "rounds", "vm-1").WithAddress("10.0.0.1:80").WithSlots(4).WithIncarnation(42), 1, 0)
	g.BackendLeft("i-1", 0)
	if departures["i-1"] != 42 {
		t.Errorf("stored departures %v, want incarnation 42 of i-1", departures)
	}
}
