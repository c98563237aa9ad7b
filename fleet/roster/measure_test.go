package roster

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"berylpass/decision"
	"berylpass/fleet/member"
)

// sizes of the fleets that are measured, each with backend servers beside every daemon.
var sizes = []struct{ daemons, datacentres, backends int }{{30, 3, 8}, {100, 9, 8}, {410, 9, 8}}

// steady returns a fleet that has agreed, with the traffic counted from then on.
func steady(b *testing.B, seed uint64, daemons, datacentres, backends int) *network {
	b.Helper()
	n := fleet(seed, daemons, datacentres, backends)
	n.acquaint()
	if _, ok := n.until(2*time.Minute, time.Second, n.agreed); !ok {
		b.Fatal("the fleet did not agree")
	}
	n.run(30 * time.Second)
	n.count0()
	return n
}

// acquaint gives every daemon the records of all others, as if they had met long ago.
func (n *network) acquaint() {
	var all []Delta
	for _, id := range n.order {
		r := n.hosts[id].roster
		all = append(all, r.self)
		for _, beside := range r.table.besides(id) {
			all = append(all, beside.delta)
		}
	}
	for _, id := range n.order {
		r := n.hosts[id].roster
		r.merge(all, false)
		r.queue = newQueue()
	}
}

// count0 starts to count traffic.
func (n *network) count0() {
	n.counting = true
	n.storeCalls = 0
	for _, h := range n.hosts {
		h.sent, h.received, h.messages, h.falseAlarms = 0, 0, 0, 0
	}
}

// report gives traffic per daemon and second, in both directions together.
func (n *network) report(b *testing.B, prefix string, d time.Duration) {
	var all []int
	messages, alarms, up := 0, 0, 0
	for _, h := range n.hosts {
		if !h.up {
			continue
		}
		up++
		all = append(all, h.sent+h.received)
		messages += h.messages
		alarms += h.falseAlarms
	}
	slices.Sort(all)
	total := 0
	for _, v := range all {
		total += v
	}
	seconds := d.Seconds()
	b.ReportMetric(float64(total)/float64(up)/seconds, prefix+"B/s")
	b.ReportMetric(float64(all[len(all)-1])/seconds, prefix+"max-B/s")
	b.ReportMetric(float64(messages)/float64(up)/seconds, prefix+"msg/s")
	b.ReportMetric(float64(n.storeCalls)/seconds, prefix+"store/s")
	b.ReportMetric(float64(alarms), prefix+"suspicions")
}

func eachSize(b *testing.B, run func(b *testing.B, daemons, datacentres, backends int)) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("daemons=%d/backends=%d", s.daemons, s.daemons*s.backends), func(b *testing.B) {
			run(b, s.daemons, s.datacentres, s.backends)
		})
	}
}

// BenchmarkQuiet reports the traffic of a fleet in which nothing changes.
func BenchmarkQuiet(b *testing.B) {
	eachSize(b, func(b *testing.B, daemons, datacentres, backends int) {
		for range b.N {
			n := steady(b, 1, daemons, datacentres, backends)
			n.run(2 * time.Minute)
			n.report(b, "", 2*time.Minute)
		}
	})
}

// BenchmarkHourWithLoss reports false suspicions in an hour in which one message in
// a hundred is lost.
func BenchmarkHourWithLoss(b *testing.B) {
	eachSize(b, func(b *testing.B, daemons, datacentres, backends int) {
		for range b.N {
			n := steady(b, 1, daemons, datacentres, backends)
			n.counting = false
			n.loss = 0.01
			deaths := 0
			n.onAction = func(_ *host, a decision.Action) {
				if c, ok := a.(MemberChanged); ok && c.Member.State == member.Dead {
					deaths++
				}
			}
			n.run(time.Hour)
			alarms := 0
			for _, h := range n.hosts {
				alarms += h.falseAlarms
			}
			b.ReportMetric(float64(alarms), "suspicions")
			b.ReportMetric(float64(deaths), "deaths")
		}
	})
}

// BenchmarkCrash reports the times from a crash until the first daemon suspects
// it, and until all have declared it dead: the mean and the worst of 20 crashes.
func BenchmarkCrash(b *testing.B) {
	eachSize(b, func(b *testing.B, daemons, datacentres, backends int) {
		for range b.N {
			n := steady(b, 1, daemons, datacentres, backends)
			n.counting = false
			var suspected, dead []time.Duration
			for i := range 20 {
				id := n.order[i]
				first := time.Duration(0)
				crashed := n.now
				n.onAction = func(_ *host, a decision.Action) {
					if c, ok := a.(MemberChanged); ok && c.Member.ID == id && c.Member.State == member.Suspect && first == 0 {
						first = n.now.Sub(crashed)
					}
				}
				n.crash(id)
				took, ok := n.until(time.Minute, 50*time.Millisecond, func() bool { return n.knownDead(id) })
				if !ok {
					b.Fatal("crash not noticed")
				}
				suspected, dead = append(suspected, first), append(dead, took)
			}
			b.ReportMetric(mean(suspected), "suspect-s")
			b.ReportMetric(slices.Max(suspected).Seconds(), "worst-suspect-s")
			b.ReportMetric(mean(dead), "dead-s")
			b.ReportMetric(slices.Max(dead).Seconds(), "worst-dead-s")
		}
	})
}

func (n *network) knownDead(id member.ID) bool {
	for _, h := range n.hosts {
		if m, ok := h.roster.Member(id); h.up && ok && m.State != member.Dead {
			return false
		}
	}
	return true
}

func mean(ds []time.Duration) float64 {
	sum := time.Duration(0)
	for _, d := range ds {
		sum += d
	}
	return sum.Seconds() / float64(len(ds))
}

// BenchmarkRestarts reports traffic and store calls while daemons leave, end and
// come back with their backend servers, at the rate of 190 in four hours times the
// fleet's share of 410, ten times as fast.
func BenchmarkRestarts(b *testing.B) {
	eachSize(b, func(b *testing.B, daemons, datacentres, backends int) {
		for range b.N {
			n := steady(b, 1, daemons, datacentres, backends)
			restarts := max(1, 190*daemons/410/8)
			interval := 3 * time.Minute / time.Duration(restarts)
			for i := range restarts {
				n.restart(n.order[i*7%daemons], backends)
				n.run(interval)
			}
			n.report(b, "", 3*time.Minute)
			b.ReportMetric(float64(restarts), "restarts")
			if _, ok := n.until(time.Minute, time.Second, n.agreed); !ok {
				b.Fatal("the fleet did not agree")
			}
		}
	})
}

func (n *network) restart(id member.ID, backends int) {
	h := n.hosts[id]
	n.update(h, Leave{})
	n.run(500 * time.Millisecond)
	n.update(h, Depart{})
	n.crash(id)
	n.run(500 * time.Millisecond)
	h = n.start(id, h.datacentre)
	for i := range backends {
		n.update(h, BackendSet{Backend: newBackend(id, i)})
	}
}

// BenchmarkRegionCut reports traffic in the two minutes in which a third of the
// fleet loses the rest, and in the two in which they find each other again.
func BenchmarkRegionCut(b *testing.B) {
	eachSize(b, func(b *testing.B, daemons, datacentres, backends int) {
		for range b.N {
			n := steady(b, 1, daemons, datacentres, backends)
			region := func(i int) bool { return i%datacentres < datacentres/3 }
			for i, x := range n.order {
				for j, y := range n.order {
					if region(i) != region(j) {
						n.cut[[2]member.ID{x, y}] = true
					}
				}
			}
			n.run(2 * time.Minute)
			n.report(b, "cut-", 2*time.Minute)
			n.count0()
			clear(n.cut)
			took, ok := n.until(10*time.Minute, time.Second, n.agreed)
			if !ok {
				b.Fatal("the fleet did not agree")
			}
			n.run(max(0, 2*time.Minute-took))
			n.report(b, "heal-", max(took, 2*time.Minute))
			b.ReportMetric(took.Seconds(), "heal-s")
		}
	})
}

// BenchmarkStoreOutage reports store calls in an outage and in the minute after it.
func BenchmarkStoreOutage(b *testing.B) {
	eachSize(b, func(b *testing.B, daemons, datacentres, backends int) {
		for range b.N {
			n := steady(b, 1, daemons, datacentres, backends)
			n.storeAway = true
			n.run(5 * time.Minute)
			n.report(b, "out-", 5*time.Minute)
			for _, h := range n.hosts {
				if h.roster.Isolated(n.now) {
					b.Fatal("a daemon takes an outage of the store for its own isolation")
				}
			}
			n.count0()
			n.storeAway = false
			n.run(time.Minute)
			n.report(b, "after-", time.Minute)
		}
	})
}

// known returns a roster that knows a fleet of the given size.
func known(daemons, backends int) *Roster {
	n := newNetwork(1)
	self := member.New("vm-self", "dc-0").WithAddresses("10.0.0.1:7001", "10.0.0.1:7002").WithIncarnation(1)
	r := New(self, nil, 1, n.now)
	var deltas []Delta
	for i := range daemons {
		id := member.ID(fmt.Sprintf("vm-%05d", i))
		address := fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250)
		deltas = append(deltas, Delta{ID: id, Incarnation: 1, Version: 1, Datacentre: "dc-0", Control: address, Data: address})
		for b := range backends {
			deltas = append(deltas, Delta{ID: id, Incarnation: 1, Version: 1, Backend: newBackend(id, b).ID, Service: "service", Slots: 4})
		}
	}
	r.merge(deltas, false)
	return r
}

// BenchmarkSecond measures the processor time of one second of the core: five
// ticks, a probe made and answered, and a probe received.
func BenchmarkSecond(b *testing.B) {
	for _, size := range []struct{ daemons, backends int }{{100, 8}, {400, 8}, {1600, 8}, {400, 0}, {400, 32}} {
		b.Run(fmt.Sprintf("daemons=%d/backends=%d", size.daemons, size.daemons*size.backends), func(b *testing.B) {
			r := known(size.daemons, size.backends)
			now := epoch
			for b.Loop() {
				for range 5 {
					now = now.Add(TickInterval)
					for _, a := range r.Update(now, Tick{}) {
						if s, ok := a.(Send); ok {
							r.Update(now, Answered{Seq: s.Seq, Message: Message{From: s.To, Incarnation: 1, Hash: r.table.hash()}})
						}
					}
				}
				r.Update(now, Received{Message: Message{Kind: Probe, From: "vm-00001", Incarnation: 1}})
			}
		})
	}
}

// BenchmarkState measures the memory of a roster.
func BenchmarkState(b *testing.B) {
	for _, size := range []struct{ daemons, backends int }{{100, 8}, {400, 8}, {1600, 8}, {400, 0}, {400, 32}} {
		b.Run(fmt.Sprintf("daemons=%d/backends=%d", size.daemons, size.daemons*size.backends), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			kept := make([]*Roster, 0, b.N)
			for range b.N {
				kept = append(kept, known(size.daemons, size.backends))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(kept)), "state-B")
			runtime.KeepAlive(kept)
		})
	}
}

// BenchmarkIsolated measures the question that every request asks.
func BenchmarkIsolated(b *testing.B) {
	r := known(410, 8)
	for b.Loop() {
		r.Isolated(epoch)
	}
}
