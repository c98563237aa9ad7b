package limiter_test

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"berylpass/limit/allotment"
	"berylpass/limit/limiter"
)

// TestMain fixes the seed of rapid unless one is given: CI gives the same verdict every time.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

var oracleLimits = map[string]limit{
	"one":    {rate: 4, burst: 1},
	"two":    {rate: 6, burst: 2},
	"three":  {rate: 3.6, burst: 3},
	"ten":    {rate: 20, burst: 10},
	"thirty": {rate: 50, burst: 30},
}

// TestNoWindowExceedsTheLimit drives limiters through random faults and counts the runs at
// the backend servers: in no window may there be more than burst + rate*t.
// A longer run: go test ./limit/limiter -run NoWindow -rapid.checks=20000 -rapid.seed=1.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(rt, "nodes")
		f := newFleet(rapid.Uint64().Draw(rt, "seed"), n, oracleLimits)
		f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(rt, "loss")
		f.double, f.lostAnswer = 0.05, 0.1
		f.delay = f.randomDelay(rapid.SampledFrom([]time.Duration{1, 20, 400, 4000}).Draw(rt, "slow") * time.Millisecond)
		for _, nd := range f.nodes {
			nd.drift = rapid.SampledFrom([]float64{-0.0005, 0, 0.0005}).Draw(rt, "drift")
			nd.offset = time.Duration(rapid.IntRange(-100, 100).Draw(rt, "offset")) * time.Second
			f.stop(nd)
			f.start(nd)
		}
		f.offerAll(true)
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			fault(rt, f)
			f.runFor(time.Duration(rapid.SampledFrom([]int{50, 500, 3000, 16000}).Draw(rt, "ms")) * time.Millisecond)
		}
		for name := range f.limits {
			if over := f.excess(name); over > 1e-6 {
				rt.Fatalf("organisation %s: %.3f runs over the limit", name, over)
			}
		}
	})
}

func (f *fleet) randomDelay(longest time.Duration) func() time.Duration {
	return func() time.Duration {
		d := time.Millisecond
		if f.rand.Float64() < 0.2 {
			d = longest
		}
		return time.Duration(f.rand.Float64() * float64(d))
	}
}

// offerAll offers more than the limits allow, from changing daemons, and with pauses in which
// the limits fill up, if wanted.
func (f *fleet) offerAll(pauses bool) {
	names := make([]string, 0, len(f.limits))
	for name := range f.limits {
		names = append(names, name)
	}
	sort.Strings(names)
	quiet := map[string]time.Duration{}
	focus := 0
	var next func()
	next = func() {
		if f.rand.IntN(200) == 0 {
			focus = f.rand.IntN(len(f.nodes))
		}
		n := f.nodes[focus]
		if f.rand.IntN(3) == 0 {
			n = f.nodes[f.rand.IntN(len(f.nodes))]
		}
		name := names[f.rand.IntN(len(names))]
		if pauses && f.rand.IntN(60) == 0 {
			quiet[name] = f.now + time.Duration(f.rand.Float64()*float64(8*time.Second))
		}
		if f.now >= quiet[name] {
			f.offer(n, name)
		}
		f.at(time.Duration(f.rand.ExpFloat64()*float64(8*time.Millisecond)), next)
	}
	next()
}

// fault changes one thing about the fleet.
func fault(rt *rapid.T, f *fleet) {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "node")]
	other := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "other")]
	link := [2]int{n.index, other.index}
	switch rapid.SampledFrom([]string{"cut", "cut", "heal", "store-cut", "store-back", "store-away", "pause", "restart", "stop", "leave", "configure"}).Draw(rt, "fault") {
	case "cut":
		f.cut[link] = true
	case "heal":
		delete(f.cut, link)
	case "store-cut":
		f.storeCut[n.index] = true
	case "store-back":
		clear(f.storeCut)
	case "store-away":
		for i := range f.nodes {
			f.storeCut[i] = true
		}
	case "pause":
		n.pausedUntil = max(n.pausedUntil, f.now+time.Duration(rapid.SampledFrom([]int{1, 6, 20}).Draw(rt, "s"))*time.Second)
	case "restart":
		f.stop(n)
		f.start(n)
	case "stop":
		f.stop(n)
	case "configure":
		scale := rapid.SampledFrom([]float64{1, 1.5, 2, 3}).Draw(rt, "scale")
		for _, n := range f.nodes {
			f.at(time.Duration(rapid.IntRange(0, 15000).Draw(rt, "after"))*time.Millisecond, func() { f.configure(n, scale) })
		}
	case "leave":
		if !n.down {
			f.feed(n, limiter.Leave{})
		}
	}
}

// TestFleetServesAfterStart holds the oracle to account: without faults requests do run.
func TestFleetServesAfterStart(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(7, n, oracleLimits)
			f.offerAll(false)
			f.runFor(30 * time.Second)
			for name, l := range f.limits {
				allowed := min(l.rate*30, float64(f.offered[name]))
				if got, want := float64(len(f.runs[name])), allowed*0.6; got < want {
					t.Errorf("%s: %v runs in 30 s, want at least %v", name, got, want)
				}
			}
		})
	}
}

// TestCutOffPrimary cuts off a daemon that has borrowed a whole limit from its co-holders, at a
// moment at which the burst is full: their shares may come back only when its grant has ended.
func TestCutOffPrimary(t *testing.T) {
	const name = "thirty"
	f := newFleet(3, 3, map[string]limit{name: oracleLimits[name]})
	f.runFor(20 * time.Second)
	var primary *node
	for _, n := range f.nodes {
		if n.id == f.records[allotment.Shard(name)].record.Owners[0] {
			primary = n
		}
	}
	for range 4 {
		f.offer(primary, name)
		f.runFor(300 * time.Millisecond)
	}
	for _, n := range f.nodes {
		if n != primary {
			f.cut[[2]int{n.index, primary.index}] = true
			f.cut[[2]int{primary.index, n.index}] = true
		}
	}
	for range 20 * 200 {
		for _, n := range f.nodes {
			f.offer(n, name)
		}
		f.runFor(5 * time.Millisecond)
	}
	if over := f.excess(name); over > 1e-6 {
		t.Errorf("%.3f runs over the limit", over)
	}
	if got := len(f.runs[name]); got < 600 {
		t.Errorf("%d runs in 20 s, want at least 600", got)
	}
}
