package scenario

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"berylpass/choice/gate"
	"berylpass/choice/verdict"
)

// tally counts the calls of one organisation and records the times to good answers.
type tally struct {
	offered, good int
	times         []time.Duration
}

// share returns the fraction of calls that were answered in time.
func (t *tally) share() float64 { return float64(t.good) / float64(max(t.offered, 1)) }

// p99 returns the 99th percentile of the answer times.
func (t *tally) p99() time.Duration {
	if len(t.times) == 0 {
		return 0
	}
	slices.Sort(t.times)
	return t.times[len(t.times)*99/100]
}

// runOverload offers a service the given rates of requests a second by organisation. It returns
// the tallies of the calls that arrive during the given time, after a warm-up of 10 seconds.
func runOverload(fifo bool, seed uint64, rates map[string]float64, duration time.Duration) map[string]*tally {
	s := settings{seed: seed, ingresses: 20, services: map[string]int{"catalogue-desk": 15}, slots: 3,
		median: 40 * time.Millisecond, sigma: 1, maxNoticeDelay: time.Second, deadline: 2 * time.Second, fifo: fifo}
	w := newWorld(s)
	tallies := make(map[string]*tally)
	for _, o := range w.organisations {
		tallies[o] = &tally{}
		w.startArrivals("catalogue-desk", o, rates[o])
	}
	w.run(10 * time.Second)
	from, until := w.now, w.now.Add(duration)
	w.answered = func(c *call, v verdict.Verdict) {
		if c.arrivedAt.Before(from) || c.arrivedAt.After(until) {
			return
		}
		t := tallies[c.organisation]
		t.offered++
		if v == verdict.OK {
			t.good++
			t.times = append(t.times, w.now.Sub(c.arrivedAt))
		}
	}
	w.run(duration + s.deadline)
	return tallies
}

var overloadTime = flag.Duration("overload-time", 20*time.Second, "virtual time over which an overload is measured")

// capacity is the throughput of the overloaded service in requests a second, with 15 backend
// servers of 3 slots and a mean service time of 67.6 ms.
const capacity = 15 * 3 / 0.0676

// TestOverload measures the worst-served organisation that does not cause the overload. Fair queueing
// must answer more of its calls in time than FIFO queues do.
func TestOverload(t *testing.T) {
	small := []string{"c", "d", "e", "f", "g", "h"}
	for _, load := range []struct {
		name         string
		large, small float64
	}{
		{"two large at 2x in all", 0.6, 0.8 / 6},
		{"two large at 5x in all", 1.5, 2.0 / 6},
		{"eight equal at 2x in all", 0.25, 0.25},
		{"one tenant at 5x its rate", 0, 0.1},
	} {
		rates := map[string]float64{"a": load.large * capacity, "b": load.large * capacity}
		for _, o := range small {
			rates[o] = load.small * capacity
		}
		if load.large == 0 {
			rates["a"], rates["b"] = 5*rates["c"], rates["c"]
		}
		t.Run(load.name, func(t *testing.T) {
			var goodput [2]float64
			for i, fifo := range []bool{true, false} {
				tallies := runOverload(fifo, *seeds, rates, *overloadTime)
				worst, completed, p99 := 1.0, 0, time.Duration(0)
				for _, o := range append(small, "b", "a") {
					completed += tallies[o].good
					if o != "a" && (load.large != 0.6 && load.large != 1.5 || o != "b") {
						worst = min(worst, tallies[o].share())
						p99 = max(p99, tallies[o].p99())
					}
				}
				goodput[i] = worst
				t.Logf("fifo %v: worst small organisation %.3f answered in time, p99 %v; organisation a %.3f; in all %.0f a second (capacity %.0f)", fifo,
					worst, p99.Round(time.Millisecond), tallies["a"].share(), float64(completed)/overloadTime.Seconds(), capacity)
			}
			if goodput[1] <= goodput[0] {
				t.Errorf("worst-served organisation: %.3f of its calls answered in time, want more than the FIFO queue's %.3f", goodput[1], goodput[0])
			}
		})
	}
}

// coldStartCost holds the effects of a cold start.
type coldStartCost struct {
	// fullAfter is the time until the backend server is warm and has its full limit.
	fullAfter time.Duration
	crashes   int
	failures  int
}

// coldStart restarts one of ten loaded backend servers cold and measures the effects. If the start
// is announced, the gate sees a new incarnation of the backend server and can ramp up its limit.
func coldStart(seed uint64, ramp time.Duration, announced bool) coldStartCost {
	s := settings{seed: seed, ingresses: 10, services: map[string]int{"rounds": 10}, slots: 4, rate: 28,
		median: 60 * time.Millisecond, sigma: 1, maxNoticeDelay: time.Second, ramp: ramp, deadline: 5 * time.Second}
	w := newWorld(s)
	for _, m := range w.servers {
		m.warmUp = 8 * time.Second
	}
	for _, n := range w.names {
		w.servers[n].warmSince = w.now.Add(-time.Hour)
	}
	w.startLoad()
	w.run(30 * time.Second)
	var r coldStartCost
	w.answered = func(_ *call, v verdict.Verdict) {
		if v != verdict.OK && v != verdict.Shed {
			r.failures++
		}
	}
	m := w.servers[w.names[0]]
	m.crashes, m.warmSince = 0, w.now
	if announced {
		m.backend = m.backend.WithIncarnation(2)
		m.handle(m.gate.Update(w.now, gate.BackendUpdated{Backend: m.backend, InService: true}))
	}
	began := w.now
	for w.now.Sub(began) < time.Minute {
		w.run(100 * time.Millisecond)
		rep, _ := m.gate.Report(w.now, m.backend.ID)
		warm := w.now.Sub(m.warmSince) >= m.warmUp && rep.Limit >= m.backend.Slots
		switch {
		case !warm:
			r.fullAfter = 0
		case r.fullAfter == 0:
			r.fullAfter = w.now.Sub(began)
		}
	}
	r.crashes = m.crashes
	return r
}

// TestColdStart compares announced and unannounced cold starts, with and without a ramp. With both,
// the cold backend server must not crash.
func TestColdStart(t *testing.T) {
	for _, announced := range []bool{true, false} {
		for _, ramp := range []time.Duration{0, 10 * time.Second} {
			t.Run(fmt.Sprintf("announced-%v/ramp-%v", announced, ramp), func(t *testing.T) {
				for seed := range *seeds {
					r := coldStart(seed, ramp, announced)
					t.Logf("seed %d: full capacity after %v, crashed %d times, %d failed calls", seed, r.fullAfter, r.crashes, r.failures)
					if ramp > 0 && announced && r.crashes > 0 {
						t.Errorf("crashed %d times, want 0", r.crashes)
					}
				}
			})
		}
	}
}
