package roster

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// TestMain makes property tests reproducible: it sets the seed and the number of
// checks of package rapid unless they are given as flags.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// backendsByID are the backend servers that their daemons have announced.
type backendsByID map[backend.ID]backend.Backend

// mismatch describes the first difference between a table and the actual state: the
// members alive must be the daemons that are up, and the backend servers those that
// their daemons announced. It returns "" if there is none.
func (n *network) mismatch(announced backendsByID) string {
	for _, id := range n.order {
		h := n.hosts[id]
		if !h.up {
			continue
		}
		for _, other := range n.order {
			m, known := h.roster.Member(other)
			alive := known && m.State != member.Dead
			if alive != n.hosts[other].up {
				return string(id) + " has the wrong state of daemon " + string(other)
			}
			if alive && m.Incarnation != n.hosts[other].roster.self.Incarnation {
				return string(id) + " has an earlier incarnation of daemon " + string(other)
			}
		}
		found := backendsByID{}
		for _, b := range h.roster.Backends() {
			found[b.ID] = b.WithAddress("")
		}
		for name, b := range announced {
			if n.hosts[b.Member].up && found[name] != b {
				return string(id) + " has the wrong state of backend server " + string(name)
			}
			delete(found, name)
		}
		if len(found) > 0 {
			return string(id) + " lists backend servers that are gone"
		}
	}
	return ""
}

// TestTablesConvergeAfterFaults applies random crashes, pauses, partitions, losses and
// outages of the store. From a minute after these end, every table must show the actual
// state, no daemon that is up may be declared dead, and none may be isolated. A longer
// run:
//
//	go test ./fleet/roster -run ConvergeAfterFaults -rapid.checks=3000 -rapid.seed=7
func TestTablesConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		announced := backendsByID{}
		names := []member.ID{"vm-a", "vm-b", "vm-c", "vm-d", "vm-e", "vm-f"}[:rapid.IntRange(2, 6).Draw(t, "daemons")]
		for i, id := range names {
			n.start(id, []string{"dc-0", "dc-1"}[i%2], "vm-a:7001", "vm-b:7001")
		}
		n.run(5 * time.Second)
		pick := func() *host { return n.hosts[rapid.SampledFrom(names).Draw(t, "daemon")] }
		restart := func(h *host) {
			for name, b := range announced {
				if b.Member == h.id {
					delete(announced, name)
				}
			}
			n.start(h.id, h.datacentre, "vm-a:7001", "vm-b:7001").storeUnreachable = h.storeUnreachable
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				h := pick()
				if !h.up || h.paused {
					return
				}
				b := newBackend(h.id, rapid.IntRange(0, 2).Draw(t, "backend")).
					WithState(backend.State(rapid.IntRange(0, 2).Draw(t, "state")))
				n.update(h, BackendSet{Backend: b})
				delete(announced, b.ID)
				if b.State != backend.Gone {
					announced[b.ID] = b.WithAddress("")
				}
			},
			"crash":      func(*rapid.T) { n.crash(pick().id) },
			"restart":    func(*rapid.T) { restart(pick()) },
			"pause":      func(*rapid.T) { pick().paused = true },
			"resume":     func(*rapid.T) { n.resumeIfUp(pick()) },
			"cut":        func(*rapid.T) { n.cut[[2]member.ID{pick().id, pick().id}] = true },
			"heal":       func(*rapid.T) { clear(n.cut) },
			"store away": func(*rapid.T) { n.storeDown = !n.storeDown },
			"store cut":  func(*rapid.T) { h := pick(); h.storeUnreachable = !h.storeUnreachable },
			"lossy":      func(t *rapid.T) { n.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss") },
			"twice":      func(t *rapid.T) { n.duplicate = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "share") },
			"slow":       func(t *rapid.T) { n.delay = rapid.SampledFrom([]time.Duration{1e6, 2e8, 1e9}).Draw(t, "delay") },
			"":           func(t *rapid.T) { n.run(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond) },
		})
		n.endFaults()
		n.run(time.Minute)
		deaths := 0
		n.onAction = func(_ *host, a decision.Action) {
			if c, ok := a.(MemberChanged); ok && c.Member.State == member.Dead && n.hosts[c.Member.ID].up {
				deaths++
			}
		}
		for range 30 {
			if wrong := n.mismatch(announced); wrong != "" || deaths > 0 {
				t.Fatalf("a minute after the end of the faults: mismatch %q; %d false deaths", wrong, deaths)
			}
			n.run(time.Second)
		}
		for _, id := range n.order {
			if n.hosts[id].up && n.hosts[id].roster.Isolated(n.now) {
				t.Fatalf("%s is isolated without a fault", id)
			}
		}
	})
}

func (n *network) resumeIfUp(h *host) {
	if h.up && h.paused {
		n.resume(h)
	}
}

// endFaults ends all faults of the network, the store and the daemons, except that
// crashed daemons stay down.
func (n *network) endFaults() {
	clear(n.cut)
	n.loss, n.duplicate, n.delay, n.storeDown = 0, 0, time.Millisecond, false
	for _, id := range n.order {
		h := n.hosts[id]
		h.storeUnreachable = false
		n.resumeIfUp(h)
		h.paused = false
		// A failed watch of the store is retried within 15 s.
		n.after(time.Duration(n.random.Int64N(int64(15*time.Second))), func() { n.watch(h) })
	}
}
