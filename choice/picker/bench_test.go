package picker_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/picker"
	"berylpass/choice/report"
	"berylpass/choice/verdict"
	"berylpass/config/class"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

var sizes = []int{100, 1000, 3400}

// newPicker returns a Picker with n backend servers, 24 per service and 8 per VM.
func newPicker(now time.Time, n int) (*picker.Picker, []backend.Backend) {
	p := picker.New(1)
	all := make([]backend.Backend, 0, n)
	for i := range n {
		b := backend.New(backend.ID(fmt.Sprintf("b-%05d", i)), fmt.Sprintf("s-%03d", i/24), member.ID(fmt.Sprintf("vm-%03d", i%max(n/8, 1)))).WithSlots(4)
		p.Update(now, picker.BackendUpdated{Backend: b, Datacentre: "dc", InService: true})
		p.Update(now, picker.ReportReceived{Backend: b.ID, Report: healthy})
		all = append(all, b)
	}
	p.Update(now, picker.Tick{})
	return p, all
}

var healthy = report.Report{Limit: 4}.WithLevel(class.Transfer, report.Level{Time: 60 * time.Millisecond, Spread: 1, Samples: 400})

func BenchmarkPickObserved(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			p, all := newPicker(now, n)
			r := healthy
			b.ReportAllocs()
			i := uint64(0)
			for b.Loop() {
				i++
				now = now.Add(8 * time.Millisecond)
				chosen, _ := p.Pick(now, all[int(i)%n].Service, nil)
				attempt := id.New("vm", 1, i)
				p.Update(now, picker.AttemptStarted{Attempt: attempt, Backend: chosen, Class: class.Transfer})
				p.Update(now, picker.AttemptEnded{Attempt: attempt, Backend: chosen, Class: class.Transfer,
					Took: 60 * time.Millisecond, Verdict: verdict.OK, Report: &r})
			}
		})
	}
}

// BenchmarkTick measures a tick after 12 reports, the number that arrives in 100 ms at 124 requests per second.
func BenchmarkTick(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			p, all := newPicker(now, n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				for range 12 {
					i++
					p.Update(now, picker.ReportReceived{Backend: all[i*7%n].ID, Report: healthy})
				}
				p.Update(now, picker.Tick{})
			}
		})
	}
}

// BenchmarkMemory reports the heap bytes per backend server.
func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				p, all := newPicker(time.Unix(1_800_000_000, 0), n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(p)
				runtime.KeepAlive(all)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/backend")
		})
	}
}
