package scenario

import (
	"slices"
	"testing"
	"time"

	"berylpass/choice/verdict"
)

// twoRegions returns the settings of a fleet of n daemons in two regions of two data centres each, 30 ms apart, with a
// service on a sixth of the VMs whose backend servers differ in speed, and the given share of all slots used.
func twoRegions(seed uint64, n int, use float64) settings {
	const slots, mean = 7, 540 * time.Millisecond
	return settings{seed: seed, ingresses: n, services: map[string]int{"rounds": n / 6}, slots: slots, datacentres: 4, onceShare: 0.6,
		regions: 2, regionDelay: 30 * time.Millisecond, spillRate: 1.5e6, bodies: []int{0, 1200, 1200, 1200}, byCompletion: true,
		speeds: []float64{1, 0.6, 1.6, 0.8, 1}, median: 520 * time.Millisecond, sigma: 0.25,
		rate: use * slots / mean.Seconds(), deadline: 8 * time.Second, promptAttempts: 4}
}

// region holds what callers of one region see, by second of arrival.
type region struct {
	offered, served int
	// waits are the times from the arrivals to the starts, attempts the number of attempts.
	waits    time.Duration
	attempts int
	// left is the number of served requests that ran in the other region, by second.
	left []int
}

// runRegions runs a world, whose load has been started, for d and returns what the callers of each region see.
func runRegions(w *world, d time.Duration) []*region {
	from := w.now
	seen := []*region{{left: make([]int, d/time.Second)}, {left: make([]int, d/time.Second)}}
	w.answered = func(c *call, v verdict.Verdict) {
		at := int(c.arrivedAt.Sub(from) / time.Second)
		r := seen[w.region(c.ingress)]
		if c.arrivedAt.Before(from) || at >= len(r.left) {
			return
		}
		r.offered++
		r.attempts += len(c.tried)
		if v != verdict.OK {
			return
		}
		r.served++
		r.waits += c.began.Sub(c.arrivedAt)
		if w.region(w.servers[c.tried[len(c.tried)-1]].number) != w.region(c.ingress) {
			r.left[at]++
		}
	}
	w.run(d + w.deadline)
	return seen
}

// TestPlacementWithinARegion replays regions whose slots are half, three quarters and nine tenths used, by ingresses that
// know a backend server's load from few old reports. The mean wait must stay within 1.5 times that in one queue shared by the whole
// region, beside the time of the messages; where that queue is nearly empty, a two-hundredth of the work takes its place. Nothing leaves
// a region that has room.
func TestPlacementWithinARegion(t *testing.T) {
	const factor, negligible = 1.5, 2500 * time.Microsecond
	for _, daemons := range []int{96, 300} {
		for _, use := range []float64{0.5, 0.75, 0.9} {
			s := twoRegions(*seeds, daemons, use)
			w := newWorld(s)
			w.startLoad()
			w.run(3 * time.Second)
			left, needless := w.crossings[0]+w.crossings[1], w.needless
			seen := runRegions(w, 8*time.Second)
			left, needless = w.crossings[0]+w.crossings[1]-left, w.needless-needless
			half := s
			half.services = map[string]int{"rounds": s.services["rounds"] / 2}
			shared := sharedQueueWait(half, 60*time.Second)
			for i, r := range seen {
				messages := time.Duration(float64(hopDelay) * (2*float64(r.attempts)/float64(r.offered) - 1))
				wait := r.waits / time.Duration(max(r.served, 1))
				t.Logf("%d daemons, %.2f used, region %d: mean wait %v, messages %v, shared queue %v, %.3f of %d served", daemons, use, i,
					wait.Round(time.Microsecond), messages.Round(time.Microsecond), shared.Round(time.Microsecond), float64(r.served)/float64(r.offered), r.offered)
				if bar := time.Duration(factor * float64(max(shared, negligible))); wait-messages > bar {
					t.Errorf("%d daemons, %.2f used, region %d: mean wait %v beside the messages, want at most %v", daemons, use, i, wait-messages, bar)
				}
			}
			t.Logf("%d requests left their region, %d while a tenth of its slots was free", left, needless)
			if offered := seen[0].offered + seen[1].offered; use < 0.9 && left > 0 || needless*200 > offered {
				t.Errorf("%d daemons, %.2f used: %d of %d requests left their region, %d while it had room", daemons, use, left, offered, needless)
			}
		}
	}
}

// overloaded returns a world in which region 0 needs 1.4 times its slots and region 1 0.4 times its own, after the time in
// which requests begin to leave.
func overloaded(s settings) *world {
	s.regionRates = []float64{1.4, 0.4}
	w := newWorld(s)
	w.startLoad()
	w.run(6 * time.Second)
	return w
}

// TestOverloadLeavesTheRegionWithinItsShare replays a region that lacks room beside one that has some. Nearly all requests
// must be served, with bytes under the share of the link; of bodies of 60 KB far fewer may leave than of small ones; what
// leaves must not swing; and all must come back within 4 s once the region has room.
func TestOverloadLeavesTheRegionWithinItsShare(t *testing.T) {
	const minServed, backAfter = 0.97, 4 * time.Second
	for _, daemons := range []int{96, 300} {
		s := twoRegions(*seeds, daemons, 0.9)
		w := overloaded(s)
		bytes := w.crossed[0]
		const span = 10 * time.Second
		until := w.now.Add(span)
		r := runRegions(w, span)[0]
		bytes = w.crossed[0] - bytes
		t.Logf("%d daemons: %.3f of %d served, left by second %v, %d bytes", daemons, float64(r.served)/float64(r.offered), r.offered, r.left, bytes)
		if served := float64(r.served) / float64(r.offered); served < minServed {
			t.Errorf("%d daemons: %.3f served, want at least %.2f", daemons, served, minServed)
		}
		if limit := int(s.spillRate * (w.now.Sub(until) + span + 2*time.Second).Seconds()); bytes > limit {
			t.Errorf("%d daemons: %d bytes left, want at most %d", daemons, bytes, limit)
		}
		if low, high := slices.Min(r.left), slices.Max(r.left); 3*low < high {
			t.Errorf("%d daemons: between %d and %d requests left in a second, want no swinging", daemons, low, high)
		}
		w.regionRates, w.thinned = []float64{0.5, 0.5}, 0.4
		w.run(backAfter)
		left := w.crossings[0]
		if w.run(6 * time.Second); w.crossings[0] > left {
			t.Errorf("%d daemons: %d requests left a region with room", daemons, w.crossings[0]-left)
		}
	}
}

// TestSmallBodiesLeaveFirst replays a region that lacks room for an eighth of its requests, of which some have bodies of
// 60 KB: few of these may leave. With a share of the link that is used up, the bytes must keep to it.
func TestSmallBodiesLeaveFirst(t *testing.T) {
	s := twoRegions(*seeds, 96, 0.9)
	s.bodies, s.regionRates = []int{0, 1200, 1200, 60_000}, []float64{1.25, 0.6}
	w := newWorld(s)
	w.startLoad()
	w.run(14 * time.Second)
	large := w.crossed[0] / 60_000
	t.Logf("%d requests left, at most %d with large bodies", w.crossings[0], large)
	if w.crossings[0] == 0 || 5*large > w.crossings[0] {
		t.Errorf("%d of the %d requests that left had large bodies, want at most a fifth", large, w.crossings[0])
	}
	s.spillRate, s.regionRates = 30_000, []float64{1.6, 0.2}
	w = newWorld(s)
	w.startLoad()
	w.run(20 * time.Second)
	if limit := int(s.spillRate*22) + 60_000*s.ingresses/2; w.crossed[0] > limit {
		t.Errorf("%d bytes left, want at most %d", w.crossed[0], limit)
	}
}

// TestRegionsServeOnDespiteFailures replays the overload of one region with one failure at a time: a dead daemon, one that
// is paused for 8 s, the link between the regions cut, and 3% of the reports lost. What the slots that are left can serve
// must be served, less what waits at a failed one.
func TestRegionsServeOnDespiteFailures(t *testing.T) {
	const span = 10 * time.Second
	for _, failure := range []struct {
		name string
		fail func(w *world)
		want float64
	}{
		{"reports lost", func(w *world) { w.reportLoss = 0.03 }, 0.97},
		{"daemon dead", func(w *world) { w.servers["rounds-04"].downUntil = w.now.Add(time.Hour) }, 0.85},
		{"daemon paused", func(w *world) {
			w.servers["rounds-04"].fault.stuck = true
			w.after(8*time.Second, w.servers["rounds-04"].repair)
		}, 0.85},
		// Region 0 alone has room for 1/1.4 of its requests, 0.71.
		{"link cut", func(w *world) { w.linkCut = true }, 0.66},
	} {
		w := overloaded(twoRegions(*seeds, 96, 0.9))
		failure.fail(w)
		r := runRegions(w, span)
		served := float64(r[0].served) / float64(r[0].offered)
		t.Logf("%s: %.3f of %d served in the full region, %.3f in the other, left by second %v", failure.name, served, r[0].offered,
			float64(r[1].served)/float64(r[1].offered), r[0].left)
		if served < failure.want {
			t.Errorf("%s: %.3f served, want at least %.2f", failure.name, served, failure.want)
		}
		if other := float64(r[1].served) / float64(r[1].offered); other < 0.9 {
			t.Errorf("%s: %.3f served in the region with room, want at least 0.9", failure.name, other)
		}
	}
}

// TestNothingLeavesWhileAllRegionsRefuse replays backend servers of both regions that refuse most requests for some seconds,
// whatever their load, beside demand above the room. Nowhere is better, so at most a tenth of the requests may leave their region.
func TestNothingLeavesWhileAllRegionsRefuse(t *testing.T) {
	const refused, maxLeft = 0.55, 0.1
	s := twoRegions(*seeds, 96, 1.1)
	w := newWorld(s)
	w.startLoad()
	w.run(3 * time.Second)
	for _, m := range w.servers {
		m.fault.refuseShare = refused
	}
	seen := runRegions(w, 8*time.Second)
	offered, left := seen[0].offered+seen[1].offered, w.crossings[0]+w.crossings[1]
	t.Logf("%d attempts left their region, of %d requests", left, offered)
	if float64(left) > maxLeft*float64(offered) {
		t.Errorf("%d attempts left their region while both refuse, of %d requests; want at most %.2f", left, offered, maxLeft)
	}
}
