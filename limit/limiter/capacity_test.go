package limiter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"berylpass/limit/allotment"
	"berylpass/limit/limiter"
)

// manyLimits returns n organisations of 3.6 requests a second.
func manyLimits(n int) map[string]limit {
	limits := map[string]limit{}
	for i := range n {
		limits[fmt.Sprintf("organisation-%05d", i)] = limit{rate: 3.6, burst: 8}
	}
	return limits
}

// BenchmarkDraw measures a draw with a token in hand, over the given number of organisations.
// Run: go test ./limit/limiter -run '^$' -bench Draw -benchmem
func BenchmarkDraw(b *testing.B) {
	for _, count := range []int{100, 1000, 14000} {
		b.Run(fmt.Sprintf("organisations=%d", count), func(b *testing.B) {
			f, names := borrowed(count)
			n := f.nodes[0]
			now := n.clock(f.now)
			b.ReportAllocs()
			drawn := 0
			for i := 0; b.Loop(); i++ {
				token, verdict, _ := n.core.Draw(now, names[i%count], false)
				if verdict == limiter.Drawn {
					drawn++
					n.core.Settle(now, token, false)
				}
			}
			b.ReportMetric(100*float64(drawn)/float64(b.N), "%drawn")
		})
	}
}

// borrowed returns a node that holds a grant of each organisation.
func borrowed(count int) (*fleet, []string) {
	f := newFleet(3, 1, manyLimits(count))
	f.runFor(20 * time.Second)
	var names []string
	for name := range f.limits {
		names = append(names, name)
		for range 3 {
			f.offer(f.nodes[0], name)
		}
	}
	f.now += 5 * time.Second / 10
	return f, names
}

// BenchmarkMemory measures the memory of a daemon that holds and uses the given number of
// organisations. Run: go test ./limit/limiter -run '^$' -bench Memory -benchtime 1x
func BenchmarkMemory(b *testing.B) {
	for _, count := range []int{1000, 4000, 14000} {
		b.Run(fmt.Sprintf("organisations=%d", count), func(b *testing.B) {
			for range b.N {
				limits := manyLimits(count)
				configured := heapInUse()
				f := newFleet(3, 1, limits)
				f.runFor(20 * time.Second)
				for name := range limits {
					f.offer(f.nodes[0], name)
					f.offer(f.nodes[0], name)
				}
				used := heapInUse()
				b.ReportMetric(0, "ns/op")
				b.ReportMetric((used-configured)/float64(count), "B/organisation")
				runtime.KeepAlive(f)
			}
		})
	}
}

func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkLeases measures the messages that keep the leases of all shards, without requests.
// Run: go test ./limit/limiter -run '^$' -bench Leases -benchtime 1x
func BenchmarkLeases(b *testing.B) {
	for _, nodes := range []int{9, 30, 90, 180} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for range b.N {
				f := newFleet(5, nodes, map[string]limit{})
				for shard := range allotment.Shards {
					f.shards[shard] = true
				}
				f.runFor(warmUp)
				f.sizeOf = messageSize()
				f.messages, f.writes, f.reads = 0, 0, 0
				start := time.Now()
				f.runFor(30 * time.Second)
				daemonSeconds := 30 * float64(nodes)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64(f.messages)/daemonSeconds, "msgs/s/daemon")
				b.ReportMetric(float64(f.bytes)/daemonSeconds, "B/s/daemon")
				b.ReportMetric(time.Since(start).Seconds()/daemonSeconds*100, "%core/daemon")
				b.ReportMetric(float64(f.reads)/30, "reads/s")
				b.ReportMetric(float64(f.writes)/30, "writes/s")
			}
		})
	}
}
