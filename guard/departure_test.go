package guard

import (
	"errors"
	"testing"
	"time"

	"berylpass/config/service"
	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

var errNobody = errors.New("nobody keeps departures")

// failingDepartures is a Departures that fails a number of times.
type failingDepartures struct{ failures, kept int }

func (d *failingDepartures) Add(backend.ID, uint64) error {
	if d.failures > 0 {
		d.failures--
		return errNobody
	}
	d.kept++
	return nil
}

func (d *failingDepartures) AddUnstated(id backend.ID, latest uint64) error { return d.Add(id, latest) }

// oneService is a configuration with the service "rounds".
type oneService struct{}

func (oneService) ProvenNewest(time.Time) bool { return true }

func (oneService) Current() snapshot.Snapshot {
	return snapshot.New(1).WithService(service.New("rounds")).Index()
}

func newProcess() backend.Backend {
	return backend.New("i-1", "rounds", "vm-1").WithAddress("10.0.0.1:80").WithSlots(4).WithIncarnation(42)
}

// TestRepeatedDepartureIsKept guards against the acknowledgement of a repeated message of a
// backend server that drains or leaves, although the first one could not be kept.
func TestRepeatedDepartureIsKept(t *testing.T) {
	for name, leave := range map[string]func(*Guard) error{
		"draining":                    func(g *Guard) error { return g.Heartbeat(newProcess().WithState(backend.Draining), 2, 0) },
		"gone":                        func(g *Guard) error { return g.BackendLeft("i-1", 42) },
		"gone, no incarnation stated": func(g *Guard) error { return g.BackendLeft("i-1", 0) },
	} {
		g, _ := newGuard(t)
		departures := &failingDepartures{failures: 2}
		g.Departures = departures
		if err := g.Heartbeat(newProcess(), 1, 0); err != nil {
			t.Fatal(err)
		}
		for n := range 3 {
			if err := leave(g); (err == nil) != (n == 2) {
				t.Errorf("%s, message %d: %v", name, n, err)
			}
		}
		if departures.kept != 1 {
			t.Errorf("%s: kept %d times, want once", name, departures.kept)
		}
	}
}

// TestDrainingOfAReplacedProcessIsKept guards against the acknowledgement of a draining heartbeat
// that is then forgotten, because another process has been seen at the address: after a restart of
// the daemon a late heartbeat from before would bring the process back.
func TestDrainingOfAReplacedProcessIsKept(t *testing.T) {
	g, _ := newGuard(t)
	departures := &failingDepartures{}
	g.Departures = departures
	later := newProcess().WithIncarnation(43)
	later.ID = "i-2"
	if err := g.Heartbeat(later, 1, 0); err != nil {
		t.Fatal(err)
	}
	if err := g.Heartbeat(newProcess().WithState(backend.Draining), 2, 0); err != nil || departures.kept != 1 {
		t.Errorf("draining: %v, kept %d times; want it acknowledged and kept once", err, departures.kept)
	}
	if got := g.Backends(); len(got) != 1 || got[0].ID != "i-2" || got[0].State != backend.Serving {
		t.Errorf("got %v, want i-2 serving", got)
	}
}

// TestDrainingOfAnUnknownServiceIsNotAcknowledged guards against a draining heartbeat that is
// acknowledged and ignored because the configuration doesn't have the service yet.
func TestDrainingOfAnUnknownServiceIsNotAcknowledged(t *testing.T) {
	g, _ := newGuard(t)
	g.Configuration, g.Departures = oneService{}, &failingDepartures{}
	unknown := newProcess()
	unknown.Service = "office"
	if err := g.Heartbeat(unknown.WithState(backend.Draining), 2, 0); !errors.Is(err, ErrUnknownService) {
		t.Errorf("draining: %v, want ErrUnknownService", err)
	}
	if err := g.Heartbeat(unknown, 1, 0); err != nil {
		t.Errorf("serving: %v", err)
	}
}

// TestRestoredDepartures checks that a departure of an earlier run keeps late heartbeats out:
// for good if the incarnation is known, else while they may still arrive. A process with the same ID
// and a lower incarnation is an earlier one: requests that name the ID would run on the process
// that has left.
func TestRestoredDepartures(t *testing.T) {
	for name, test := range map[string]struct {
		incarnation uint64
		leftAgo     time.Duration
		serves      bool
	}{
		"same process":                       {42, time.Hour, false},
		"earlier process":                    {41, 0, true},
		"later process with the same ID":     {43, 0, false},
		"no incarnation, a second ago":       {0, time.Second, false},
		"no incarnation, some minutes ago":   {0, 5 * time.Minute, true},
		"no incarnation, clock was set back": {0, -time.Second, false},
	} {
		g, _ := newGuard(t)
		g.RestoreDeparture("i-1", test.incarnation, time.Now().Add(-test.leftAgo))
		if err := g.Heartbeat(newProcess(), 1, 0); err != nil {
			t.Fatal(err)
		}
		if got := len(g.Backends()) == 1; got != test.serves {
			t.Errorf("%s: serves is %t, want %t", name, got, test.serves)
		}
	}
	leftAt := time.Now()
	for startedAfter, serves := range map[time.Duration]bool{-time.Second: false, time.Second: true} {
		g, _ := newGuard(t)
		started := newProcess().WithIncarnation(uint64(leftAt.Add(startedAfter).UnixMilli()))
		if err := g.Heartbeat(started, 1, 0); err != nil {
			t.Fatal(err)
		}
		g.RestoreDeparture("i-1", 0, leftAt)
		if err := g.Heartbeat(started, 2, 0); err != nil {
			t.Fatal(err)
		}
		if got := len(g.Backends()) == 1; got != serves {
			t.Errorf("started %v after a departure without an incarnation: serves is %t, want %t", startedAfter, got, serves)
		}
	}
}

// TestUnstatedDepartureOfALaterProcessIsKept guards against a removal without an incarnation that is taken for one of an
// earlier process of the ID: the later process, whose first heartbeat is late, would serve after its departure.
func TestUnstatedDepartureOfALaterProcessIsKept(t *testing.T) {
	for name, restarted := range map[string]bool{"same run of the daemon": false, "held after a restart": true} {
		start := time.Now()
		first := newProcess().WithIncarnation(uint64(start.Add(-time.Minute).UnixMilli()))
		second := first.WithIncarnation(uint64(start.Add(-time.Second).UnixMilli()))
		g, _ := newGuard(t)
		departures := departureList{}
		if restarted {
			g = New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
				Configuration: noConfiguration{}, Observer: &stateRecorder{states: map[backend.ID]backend.State{}}, Departures: departures,
			})
			t.Cleanup(g.Close)
			g.RestoreDeparture("i-1", first.Incarnation, start.Add(-30*time.Second))
			if err := g.Heartbeat(second, 1, 0); err != nil {
				t.Fatal(err)
			}
		} else {
			g.Departures = departures
			if err := g.Heartbeat(first, 1, 0); err != nil {
				t.Fatal(err)
			}
			if err := g.BackendLeft("i-1", 0); err != nil {
				t.Fatal(err)
			}
		}
		delete(departures, "i-1")
		if err := g.BackendLeft("i-1", 0); err != nil {
			t.Fatal(err)
		}
		if _, kept := departures["i-1"]; !kept {
			t.Errorf("%s: the departure was acknowledged and not kept", name)
		}
		if restarted {
			g.DeparturesKnown()
		}
		if err := g.Heartbeat(second, 1, 0); err != nil {
			t.Fatal(err)
		}
		if got := g.Backends(); len(got) != 0 {
			t.Errorf("%s: %v serves after its departure", name, got)
		}
		third := first.WithIncarnation(uint64(time.Now().Add(time.Second).UnixMilli()))
		if err := g.Heartbeat(third, 1, 0); err != nil || len(g.Backends()) != 1 {
			t.Errorf("%s: got %v, %v; want the process that started after the departure", name, g.Backends(), err)
		}
	}
}

// TestHeartbeatsAreHeldUntilDeparturesAreKnown guards against a late heartbeat that brings a
// departed backend server back because the daemon has restarted and doesn't know of the
// departure yet, and against the loss of the heartbeats that came meanwhile.
func TestHeartbeatsAreHeldUntilDeparturesAreKnown(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	g := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: noConfiguration{}, Observer: &stateRecorder{states: map[backend.ID]backend.State{}},
		Departures: &failingDepartures{}, Clock: func() time.Time { return now },
	})
	defer g.Close()
	departed, drained, serving := newProcess(), newProcess(), newProcess()
	drained.ID, drained.Address = "i-2", "10.0.0.1:81"
	serving.ID, serving.Address = "i-3", "10.0.0.1:82"
	for _, b := range []backend.Backend{departed, drained, serving} {
		if err := g.Heartbeat(b, 1, 0); err != nil {
			t.Fatal(err)
		}
	}
	if err := g.Heartbeat(drained.WithState(backend.Draining), 2, 0); err != nil {
		t.Fatal(err)
	}
	for _, b := range g.Backends() {
		if b.State == backend.Serving {
			t.Errorf("%s serves before the departures are known", b.ID)
		}
	}
	g.RestoreDeparture("i-1", 42, now)
	g.DeparturesKnown()
	states := map[backend.ID]backend.State{}
	for _, b := range g.Backends() {
		states[b.ID] = b.State
	}
	if len(states) != 2 || states["i-2"] != backend.Draining || states["i-3"] != backend.Serving {
		t.Errorf("got %v, want i-2 draining and i-3 serving", states)
	}
	if err := g.Heartbeat(departed, 2, 0); err != nil || len(g.Backends()) != 2 {
		t.Errorf("after a further late heartbeat: %v, %v", g.Backends(), err)
	}
}
