package scenario

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"berylpass/choice/picker"
	"berylpass/decision"
	"berylpass/fleet/backend"
)

var virtualTime = flag.Duration("virtual-time", 20*time.Second, "virtual time of the measurement of false ejections")

var seeds = flag.Uint64("seeds", 1, "number of seeds per measurement")

// kretowisko and blueMahoe return the settings of the two existing deployments.
func kretowisko(seed uint64) settings {
	return settings{seed: seed, ingresses: 35, services: map[string]int{"rounds": 25, "fieldwork": 10}, slots: 4,
		rate: 20, median: 60 * time.Millisecond, sigma: 1, maxNoticeDelay: time.Second}
}

func blueMahoe(seed uint64) settings {
	return settings{seed: seed, ingresses: 20, services: map[string]int{"catalogue-desk": 15, "club-office": 5}, slots: 3,
		rate: 20, median: 40 * time.Millisecond, sigma: 1, maxNoticeDelay: time.Second}
}

// detection tells when the ingresses ejected a faulty backend server, as times since the fault.
type detection struct {
	// first, half and last are the first, the median and the last of these times.
	first, half, last time.Duration
	// missed is the number of ingresses that did not eject it, falseEjections the number of
	// ejections of other backend servers.
	missed, falseEjections int
}

// measureDetection injects a fault into one backend server after 30 seconds and observes the
// ejections during the next ten.
func measureDetection(s settings, inject func(w *world, victim backend.ID)) detection {
	w := newWorld(s)
	victim := w.names[len(w.names)-1]
	w.startLoad()
	w.run(30 * time.Second)
	ejectedAfter := make(map[int]time.Duration)
	var d detection
	broken := w.now
	w.actions = func(i int, a decision.Action) {
		e, ok := a.(picker.Ejected)
		switch {
		case !ok:
		case e.Backend != victim:
			d.falseEjections++
		case ejectedAfter[i] == 0:
			ejectedAfter[i] = w.now.Sub(broken)
		}
	}
	inject(w, victim)
	w.run(10 * time.Second)
	var times []time.Duration
	for _, t := range ejectedAfter {
		times = append(times, t)
	}
	slices.Sort(times)
	d.missed = s.ingresses - len(times)
	if len(times) > 0 {
		d.first, d.half, d.last = times[0], times[len(times)/2], times[len(times)-1]
	}
	return d
}

// faults are the faults of a backend server that the ingresses must detect.
var faults = []struct {
	name   string
	inject func(w *world, victim backend.ID)
}{
	{"slow-5x", func(w *world, v backend.ID) { w.servers[v].fault.slowFactor = 5 }},
	{"errors-20%", func(w *world, v backend.ID) { w.servers[v].fault.errorShare = 0.2 }},
	{"stuck", func(w *world, v backend.ID) { w.servers[v].fault.stuck = true }},
	{"hangs-100%", func(w *world, v backend.ID) { w.servers[v].fault.hangShare = 1 }},
	{"hangs-50%", func(w *world, v backend.ID) { w.servers[v].fault.hangShare = 0.5 }},
}

// deployment is one of the existing deployments.
type deployment struct {
	name        string
	newSettings func(uint64) settings
}

var allDeployments = flag.Bool("all-deployments", false, "measure both deployments, not only the smaller one")

// deployments returns the deployments to measure: the smaller one, or both with -all-deployments.
func deployments() []deployment {
	if *allDeployments {
		return []deployment{{"kretowisko", kretowisko}, {"blue-mahoe", blueMahoe}}
	}
	return []deployment{{"blue-mahoe", blueMahoe}}
}

// maxDetectionTime bounds the time until half of the ingresses have ejected a faulty backend server.
const maxDetectionTime = 3 * time.Second

// TestDetection measures the time until the ingresses eject a faulty backend server.
func TestDetection(t *testing.T) {
	for _, s := range deployments() {
		for _, f := range faults {
			t.Run(s.name+"/"+f.name, func(t *testing.T) {
				var firsts, halves, lasts []time.Duration
				missed, falseEjections := 0, 0
				for seed := range *seeds {
					d := measureDetection(s.newSettings(seed), f.inject)
					firsts, halves, lasts = append(firsts, d.first), append(halves, d.half), append(lasts, d.last)
					missed, falseEjections = missed+d.missed, falseEjections+d.falseEjections
				}
				t.Logf("%d seeds: first %v, half %v (worst %v), last %v (worst %v); missed by %d ingresses, %d false ejections", *seeds,
					median(firsts), median(halves), slices.Max(halves), median(lasts), slices.Max(lasts), missed, falseEjections)
				if median(halves) >= maxDetectionTime {
					t.Errorf("half of the ingresses took %v to eject it, want less than maxDetectionTime", median(halves))
				}
			})
		}
	}
}

// TestPathDetection loses all answers of one guard to one ingress and measures the time until the
// ingress ejects the backend server.
func TestPathDetection(t *testing.T) {
	sizes := []int{1}
	if *allDeployments {
		sizes = append(sizes, 35)
	}
	for _, ingresses := range sizes {
		t.Run(fmt.Sprint(ingresses), func(t *testing.T) {
			var times []time.Duration
			missed, falseEjections := 0, 0
			for seed := range *seeds {
				s := kretowisko(seed)
				s.ingresses = ingresses
				w := newWorld(s)
				victim := w.names[len(w.names)-1]
				w.startLoad()
				w.run(20 * time.Second)
				cut, foundAfter := w.now, time.Duration(0)
				w.actions = func(i int, a decision.Action) {
					if e, ok := a.(picker.Ejected); ok {
						if i == 0 && e.Backend == victim && foundAfter == 0 {
							foundAfter = w.now.Sub(cut)
						} else if i != 0 || e.Backend != victim {
							falseEjections++
						}
					}
				}
				w.cutPaths[0] = victim
				w.run(15 * time.Second)
				if foundAfter == 0 {
					missed++
				} else {
					times = append(times, foundAfter)
				}
			}
			t.Logf("%d seeds: median %v, worst %v; missed %d, %d false ejections", *seeds,
				median(times), slices.Max(append(times, 0)), missed, falseEjections)
			if ingresses == 1 && (missed > 0 || median(times) >= maxDetectionTime) {
				t.Errorf("ejected after a median of %v, missed %d times", median(times), missed)
			}
		})
	}
}

// TestFlapping counts the ejections of a backend server that is slow and normal in turn, for five
// seconds each.
func TestFlapping(t *testing.T) {
	w := newWorld(kretowisko(1))
	victim := w.names[len(w.names)-1]
	w.startLoad()
	w.run(20 * time.Second)
	slow := 0
	w.every(5*time.Second, 0, func() {
		slow = 5 - slow
		w.servers[victim].fault.slowFactor = float64(slow)
	})
	strikes, ejections, falseEjections := 0, 0, 0
	w.actions = func(i int, a decision.Action) {
		if e, ok := a.(picker.Ejected); ok && e.Backend == victim {
			strikes = max(strikes, e.RecentEjections)
			ejections++
		} else if ok {
			falseEjections++
		}
	}
	for range 2 {
		before := ejections
		w.run(30 * time.Second)
		t.Logf("%v: %.1f ejections per ingress in 30 s, at most %d strikes, %d false ejections",
			w.now.Sub(start), float64(ejections-before)/35, strikes, falseEjections)
	}
}

// TestUniformSlownessCausesNoEjections makes every backend server slow at once. No server is then
// an outlier, so none may be ejected.
func TestUniformSlownessCausesNoEjections(t *testing.T) {
	for _, s := range deployments() {
		for _, rate := range []float64{3, 6, 20} {
			t.Run(fmt.Sprintf("%s/%v a second", s.name, rate), func(t *testing.T) {
				n := 0
				for seed := range *seeds {
					w := newWorld(s.newSettings(seed))
					w.rate = rate
					w.startLoad()
					w.run(30 * time.Second)
					w.actions = func(_ int, a decision.Action) {
						if _, ok := a.(picker.Ejected); ok {
							n++
						}
					}
					for _, m := range w.servers {
						m.fault.slowFactor = 5
					}
					w.run(20 * time.Second)
				}
				t.Logf("%d ejections in 20 s, %d seeds, %d ingresses", n, *seeds, s.newSettings(0).ingresses)
				if n > 0 {
					t.Errorf("got %d ejections, want 0", n)
				}
			})
		}
	}
}

// TestFalseEjections counts the ejections while all backend servers are healthy, with an error
// share of 0.5 %.
func TestFalseEjections(t *testing.T) {
	for _, s := range deployments() {
		t.Run(s.name, func(t *testing.T) {
			w := newWorld(s.newSettings(1))
			for _, m := range w.servers {
				m.fault.errorShare = 0.005
			}
			w.startLoad()
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
			t.Logf("%v: %d false ejections, %d reports fetched for %d attempts", *virtualTime, n, w.reportsFetched, w.attempts)
			if n > 0 {
				t.Errorf("got %d false ejections, want 0", n)
			}
		})
	}
}

// median sorts the times and returns their median, or zero if there are none.
func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}
