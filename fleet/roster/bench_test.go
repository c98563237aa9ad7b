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

// fleetSizes are the sizes of the fleets that the benchmarks measure; backends is the
// number of backend servers per daemon.
var fleetSizes = []struct{ daemons, datacentres, backends int }{{30, 3, 8}, {100, 9, 8}, {410, 9, 8}}

// convergedFleet returns a fleet whose tables are equal. Its traffic is counted from
// then on.
func convergedFleet(b *testing.B, seed uint64, daemons, datacentres, backends int) *network {
	b.Helper()
	n := newFleet(seed, daemons, datacentres, backends)
	n.shareAllRecords()
	if _, ok := n.until(2*time.Minute, time.Second, n.converged); !ok {
		b.Fatal("the tables did not converge within 2 minutes")
	}
	n.run(30 * time.Second)
	n.resetTraffic()
	return n
}

// shareAllRecords gives every daemon the records of all others, without traffic.
func (n *network) shareAllRecords() {
	var all []Delta
	for _, id := range n.order {
		r := n.hosts[id].roster
		all = append(all, r.self)
		for _, row := range r.table.backendRows(id) {
			all = append(all, row.delta)
		}
	}
	for _, id := range n.order {
		r := n.hosts[id].roster
		r.merge(all, false)
		r.queue = newQueue()
	}
}

// resetTraffic sets all counts to 0 and starts to count traffic.
func (n *network) resetTraffic() {
	n.counting = true
	n.storeCalls = 0
	for _, h := range n.hosts {
		h.sent, h.received, h.messages, h.falseSuspicions = 0, 0, 0, 0
	}
}

// report reports the traffic in the time d per daemon and second, sent and received
// together, with the prefix before the names of the metrics.
func (n *network) report(b *testing.B, prefix string, d time.Duration) {
	var all []int
	messages, suspicions, up := 0, 0, 0
	for _, h := range n.hosts {
		if !h.up {
			continue
		}
		up++
		all = append(all, h.sent+h.received)
		messages += h.messages
		suspicions += h.falseSuspicions
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
	b.ReportMetric(float64(suspicions), prefix+"suspicions")
}

// eachSize runs a sub-benchmark for each fleet size.
func eachSize(b *testing.B, run func(b *testing.B, daemons, datacentres, backends int)) {
	for _, s := range fleetSizes {
		b.Run(fmt.Sprintf("daemons=%d/backends=%d", s.daemons, s.daemons*s.backends), func(b *testing.B) {
			run(b, s.daemons, s.datacentres, s.backends)
		})
	}
}

// BenchmarkQuiet reports the traffic of a fleet without changes.
func BenchmarkQuiet(b *testing.B) {
	eachSize(b, func(b *testing.B, daemons, datacentres, backends int) {
		for range b.N {
			n := convergedFleet(b, 1, daemons, datacentres, backends)
			n.run(2 * time.Minute)
			n.report(b, "", 2*time.Minute)
		}
	})
}

// BenchmarkHourWithLoss reports false suspicions and false deaths in an hour in which
// 1 % of the messages are lost.
func BenchmarkHourWithLoss(b *testing.B) {
	eachSize(b, func(b *testing.B, daemons, datacentres, backends int) {
		for range b.N {
			n := convergedFleet(b, 1, daemons, datacentres, backends)
			n.counting = false
			n.loss = 0.01
			deaths := 0
			n.onAction = func(_ *host, a decision.Action) {
				if c, ok := a.(MemberChanged); ok && c.Member.State == member.Dead {
					deaths++
				}
			}
			n.run(time.Hour)
			suspicions := 0
			for _, h := range n.hosts {
				suspicions += h.falseSuspicions
			}
			b.ReportMetric(float64(suspicions), "suspicions")
			b.ReportMetric(float64(deaths), "deaths")
		}
	})
}

// BenchmarkCrash reports the times from the crash of a daemon until the first other
// daemon suspects it and until all others have declared it dead: the mean and the
// maximum of 20 crashes.
func BenchmarkCrash(b *testing.B) {
	eachSize(b, func(b *testing.B, daemons, datacentres, backends int) {
		for range b.N {
			n := convergedFleet(b, 1, daemons, datacentres, backends)
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
					b.Fatal("the crash was not detected within a minute")
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

// knownDead reports whether no daemon that is up has the member in its table as alive.
func (n *network) knownDead(id member.ID) bool {
	for _, h := range n.hosts {
		if m, ok := h.roster.Member(id); h.up && ok && m.State != member.Dead {
			return false
		}
	}
	return true
}

// mean returns the mean in seconds.
func mean(ds []time.Duration) float64 {
	sum := time.Duration(0)
	for _, d := range ds {
		sum += d
	}
	return sum.Seconds() / float64(len(ds))
}

// BenchmarkRestarts reports traffic and store calls while daemons leave, depart and
// restart with their backend servers. A fleet of 410 daemons has 190 restarts in four
// hours; the benchmark scales this to the size of the fleet and runs it ten times as
// fast.
func BenchmarkRestarts(b *testing.B) {
	eachSize(b, func(b *testing.B, daemons, datacentres, backends int) {
		for range b.N {
			n := convergedFleet(b, 1, daemons, datacentres, backends)
			restarts := max(1, 190*daemons/410/8)
			interval := 3 * time.Minute / time.Duration(restarts)
			for i := range restarts {
				n.restart(n.order[i*7%daemons], backends)
				n.run(interval)
			}
			n.report(b, "", 3*time.Minute)
			b.ReportMetric(float64(restarts), "restarts")
			if _, ok := n.until(time.Minute, time.Second, n.converged); !ok {
				b.Fatal("the tables did not converge within a minute")
			}
		}
	})
}

// restart shuts a daemon down in the orderly way and starts it again with its backend
// servers.
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

// BenchmarkRegionCut reports traffic during the two minutes in which a third of the
// fleet is partitioned from the rest, and afterwards until the tables have converged,
// for two minutes at least.
func BenchmarkRegionCut(b *testing.B) {
	eachSize(b, func(b *testing.B, daemons, datacentres, backends int) {
		for range b.N {
			n := convergedFleet(b, 1, daemons, datacentres, backends)
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
			n.resetTraffic()
			clear(n.cut)
			took, ok := n.until(10*time.Minute, time.Second, n.converged)
			if !ok {
				b.Fatal("the tables did not converge within 10 minutes of the partition's end")
			}
			n.run(max(0, 2*time.Minute-took))
			n.report(b, "heal-", max(took, 2*time.Minute))
			b.ReportMetric(took.Seconds(), "heal-s")
		}
	})
}

// BenchmarkStoreOutage reports traffic and store calls during an outage of the store
// and in the minute after it.
func BenchmarkStoreOutage(b *testing.B) {
	eachSize(b, func(b *testing.B, daemons, datacentres, backends int) {
		for range b.N {
			n := convergedFleet(b, 1, daemons, datacentres, backends)
			n.storeDown = true
			n.run(5 * time.Minute)
			n.report(b, "out-", 5*time.Minute)
			for _, h := range n.hosts {
				if h.roster.Isolated(n.now) {
					b.Fatal("a daemon is isolated during an outage of the store")
				}
			}
			n.resetTraffic()
			n.storeDown = false
			n.run(time.Minute)
			n.report(b, "after-", time.Minute)
		}
	})
}

// populatedRoster returns a roster with the given number of other daemons, each with
// the given number of backend servers.
func populatedRoster(daemons, backends int) *Roster {
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

// BenchmarkSecond measures the CPU time that a roster takes for one second of
// operation: five ticks, a probe that is sent and answered, and a probe received.
func BenchmarkSecond(b *testing.B) {
	for _, size := range []struct{ daemons, backends int }{{100, 8}, {400, 8}, {1600, 8}, {400, 0}, {400, 32}} {
		b.Run(fmt.Sprintf("daemons=%d/backends=%d", size.daemons, size.daemons*size.backends), func(b *testing.B) {
			r := populatedRoster(size.daemons, size.backends)
			now := epoch
			for b.Loop() {
				for range 5 {
					now = now.Add(TickInterval)
					for _, a := range r.Update(now, Tick{}) {
						if s, ok := a.(Send); ok {
							r.Update(now, CallAnswered{Seq: s.Seq, Message: Message{From: s.To, Incarnation: 1, Hash: r.table.hash()}})
						}
					}
				}
				r.Update(now, Received{Message: Message{Kind: Probe, From: "vm-00001", Incarnation: 1}})
			}
		})
	}
}

// BenchmarkState measures the heap memory of a roster in bytes.
func BenchmarkState(b *testing.B) {
	for _, size := range []struct{ daemons, backends int }{{100, 8}, {400, 8}, {1600, 8}, {400, 0}, {400, 32}} {
		b.Run(fmt.Sprintf("daemons=%d/backends=%d", size.daemons, size.daemons*size.backends), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			kept := make([]*Roster, 0, b.N)
			for range b.N {
				kept = append(kept, populatedRoster(size.daemons, size.backends))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(kept)), "state-B")
			runtime.KeepAlive(kept)
		})
	}
}

// BenchmarkIsolated measures Isolated, which is called for every request.
func BenchmarkIsolated(b *testing.B) {
	r := populatedRoster(410, 8)
	for b.Loop() {
		r.Isolated(epoch)
	}
}
