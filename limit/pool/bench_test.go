package pool

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"berylpass/fleet/member"
)

// newSizedPool returns a pool with the given numbers of daemons and organisations.
func newSizedPool(daemons, organisations int) (*Pool, []member.Member, time.Time) {
	now := time.Unix(0, 0)
	var members []member.Member
	for n := range daemons {
		members = append(members, member.New(id(n), "srem"))
	}
	limits := map[string]Limit{}
	for n := range organisations {
		limits[fmt.Sprintf("organisation-%d", n)] = Limit{Rate: 4, Burst: 10}
	}
	p := New(id(0), 1)
	p.SetLimits(now, limits)
	p.SetMembers(now, members, true, false)
	return p, members, now
}

// BenchmarkDraw measures a draw from the daemon's own share, including the choice of holders to
// ask if it is empty.
func BenchmarkDraw(b *testing.B) {
	for _, organisations := range []int{100, 1000, 14_000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			p, _, now := newSizedPool(410, organisations)
			b.ReportAllocs()
			for n := range b.N {
				now = now.Add(time.Millisecond)
				name := fmt.Sprintf("organisation-%d", n%organisations)
				if !p.Take(now, name) {
					p.HoldersToAsk(now, name)
				}
			}
		})
	}
}

// BenchmarkMemberChange measures the cost, for each daemon, of one daemon that joins or leaves.
func BenchmarkMemberChange(b *testing.B) {
	for _, daemons := range []int{30, 100, 410} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			p, members, now := newSizedPool(daemons, 14_000)
			for n := range b.N {
				now = now.Add(time.Second)
				p.SetMembers(now, members[:daemons-n%2], true, false)
			}
		})
	}
}

// BenchmarkMemory reports the heap memory per organisation in bytes.
func BenchmarkMemory(b *testing.B) {
	for _, organisations := range []int{1000, 4000, 14_000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			p, _, _ := newSizedPool(410, organisations)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(organisations), "bytes/organisation")
			runtime.KeepAlive(p)
		})
	}
}
