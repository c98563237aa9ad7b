package scenario

import (
	"flag"
	"slices"
	"testing"
	"time"

	"berylpass/choice/picker"
	"berylpass/decision"
	"berylpass/fleet/backend"
)

var virtualTime = flag.Duration("virtual-time", time.Minute, "virtual time of the long measurements")

// kretowisko and blueMahoe are the two deployments of today.
func kretowisko(seed uint64) settings {
	return settings{seed: seed, ingresses: 35, services: map[string]int{"rounds": 25, "fieldwork": 10}, slots: 4,
		rate: 20, median: 60 * time.Millisecond, sigma: 1, gossip: time.Second}
}

func blueMahoe(seed uint64) settings {
	return settings{seed: seed, ingresses: 20, services: map[string]int{"catalogue-desk": 15, "club-office": 5}, slots: 3,
		rate: 20, median: 40 * time.Millisecond, sigma: 1, gossip: time.Second}
}

// detection is how long the ingresses took to eject a faulty backend server.
type detection struct {
	first, half, last time.Duration
	missed, wrong     int
}

// detect breaks one backend server after a warm-up and watches for ten seconds.
func detect(s settings, break_ func(w *world, victim backend.ID)) detection {
	w := newWorld(s)
	victim := w.names[len(w.names)-1]
	w.load()
	w.run(30 * time.Second)
	seen := make(map[int]time.Duration)
	var d detection
	broken := w.now
	w.actions = func(i int, a decision.Action) {
		e, ok := a.(picker.Ejected)
		switch {
		case !ok:
		case e.Backend != victim:
			d.wrong++
		case seen[i] == 0:
			seen[i] = w.now.Sub(broken)
		}
	}
	break_(w, victim)
	w.run(10 * time.Second)
	var times []time.Duration
	for _, t := range seen {
		times = append(times, t)
	}
	slices.Sort(times)
	d.missed = s.ingresses - len(times)
	if len(times) > 0 {
		d.first, d.half, d.last = times[0], times[len(times)/2], times[len(times)-1]
	}
	return d
}

var faults = []struct {
	name   string
	break_ func(w *world, victim backend.ID)
}{
	{"slow-5x", func(w *world, v backend.ID) { w.servers[v].fault.slow = 5 }},
	{"errors-20%", func(w *world, v backend.ID) { w.servers[v].fault.errors = 0.2 }},
	{"stuck", func(w *world, v backend.ID) { w.servers[v].fault.stuck = true }},
	{"half-deaf-all", func(w *world, v backend.ID) { w.servers[v].fault.deaf = 1 }},
	{"half-deaf-50%", func(w *world, v backend.ID) { w.servers[v].fault.deaf = 0.5 }},
}

// TestDetection measures the time until an ingress ejects a faulty backend server.
func TestDetection(t *testing.T) {
	for _, s := range []struct {
		name string
		of   func(uint64) settings
	}{{"kretowisko", kretowisko}, {"blue-mahoe", blueMahoe}} {
		for _, f := range faults {
			t.Run(s.name+"/"+f.name, func(t *testing.T) {
				for seed := range uint64(3) {
					d := detect(s.of(seed), f.break_)
					t.Logf("seed %d: first %v half %v last %v, missed by %d, wrong %d", seed, d.first, d.half, d.last, d.missed, d.wrong)
				}
			})
		}
	}
}

// TestFalseEjections counts ejections while nothing is wrong.
func TestFalseEjections(t *testing.T) {
	for _, s := range []struct {
		name string
		of   func(uint64) settings
	}{{"kretowisko", kretowisko}, {"blue-mahoe", blueMahoe}} {
		t.Run(s.name, func(t *testing.T) {
			w := newWorld(s.of(1))
			w.load()
			n := 0
			w.actions = func(i int, a decision.Action) {
				if e, ok := a.(picker.Ejected); ok {
					n++
					if n < 10 {
						t.Logf("%v ingress %d: %+v reason %v", w.now.Sub(start), i, e, e.Reason)
					}
				}
			}
			w.run(*virtualTime)
			t.Logf("%v: %d false ejections", *virtualTime, n)
		})
	}
}
