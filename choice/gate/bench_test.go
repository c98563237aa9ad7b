package gate_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/gate"
	"berylpass/choice/verdict"
	"berylpass/config/class"
	"berylpass/fleet/backend"
)

// newGate returns a Gate with n warm backend servers.
func newGate(now time.Time, n int) (*gate.Gate, []backend.ID) {
	g := gate.New()
	names := make([]backend.ID, 0, n)
	for i := range n {
		b := backend.New(backend.ID(fmt.Sprintf("b-%05d", i)), "rounds", "vm").WithSlots(4)
		g.Update(now, gate.BackendUpdated{Backend: b, InService: true})
		names = append(names, b.ID)
	}
	return g, names
}

var gateSizes = []int{1, 8, 100, 1000}

func BenchmarkArriveFinished(b *testing.B) {
	for _, n := range gateSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			g, names := newGate(now, n)
			now = now.Add(time.Minute)
			b.ReportAllocs()
			i := uint64(0)
			for b.Loop() {
				i++
				attempt := id.New("vm", 1, i)
				now = now.Add(4 * time.Millisecond)
				g.Update(now, gate.Arrive{ID: attempt, Backend: names[int(i)%n], Organisation: "srem",
					Class: class.Transfer, Expires: now.Add(time.Second)})
				now = now.Add(4 * time.Millisecond)
				g.Update(now, gate.Finished{ID: attempt, Verdict: verdict.OK})
				g.Report(now, names[int(i)%n])
			}
		})
	}
}

// BenchmarkQueued measures the admission of a request that is queued behind requests of as many different
// organisations.
func BenchmarkQueued(b *testing.B) {
	for _, waiting := range []int{10, 50, 200} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			g, names := newGate(now, 1)
			now = now.Add(time.Minute)
			arrive := func(i uint64) {
				g.Update(now, gate.Arrive{ID: id.New("vm", 1, i), Backend: names[0], Organisation: fmt.Sprint(i % uint64(waiting)),
					Class: class.Transfer, Expires: now.Add(time.Hour)})
			}
			for i := range uint64(waiting + 4) {
				arrive(i)
			}
			running, i := []uint64{0, 1, 2, 3}, uint64(waiting+4)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				actions := g.Update(now, gate.Finished{ID: id.New("vm", 1, running[0]), Verdict: verdict.OK})
				running = running[1:]
				for _, a := range actions {
					if r, ok := a.(gate.Run); ok {
						running = append(running, r.ID.Request)
					}
				}
				arrive(i)
				i++
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range gateSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			g, _ := newGate(now, n)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				g.Update(now, gate.Tick{})
			}
		})
	}
}

// BenchmarkMemory reports the heap bytes per idle backend server.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{8, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				g, names := newGate(time.Unix(1_800_000_000, 0), n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(g)
				runtime.KeepAlive(names)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/backend")
		})
	}
}
