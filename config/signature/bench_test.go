package signature

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"

	"berylpass/config/key"
	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/service"
	"berylpass/config/snapshot"
)

// largeSnapshot returns a configuration with the given number of organisations, two keys
// each, and 10 routes for every 56 organisations.
func largeSnapshot(organisations int) snapshot.Snapshot {
	s := snapshot.New(7).WithService(service.New("catalogue-desk"))
	for i := range organisations {
		name := fmt.Sprintf("organisation-of-parish-%05d", i)
		s.Organisations[name] = organisation.New(name).WithLimit(3.6, 20).
			WithKey(key.New("reader-2026", key.DigestOf(name+"a"))).WithKey(key.New("desk-2026", key.DigestOf(name+"b")))
	}
	for i := range organisations * 10 / 56 {
		name := fmt.Sprintf("route-%04d", i)
		s.Routes[name] = route.New(name, "catalogue-desk").WithMatch("api.example.org", "/catalogue/"+strconv.Itoa(i), "GET", "HEAD")
	}
	return s.Index()
}

// BenchmarkOpen measures what a daemon does for a new revision, without the network: check
// signatures, digests and rules, decode and index. held-B is the memory in bytes that the
// opened configuration occupies, envelope-B the size of the signed manifest.
func BenchmarkOpen(b *testing.B) {
	for _, organisations := range []int{1400, 7000, 14000} {
		b.Run(strconv.Itoa(organisations), func(b *testing.B) {
			m, held := buildRevision(b, largeSnapshot(organisations))
			envelope, v := signedEnvelope(m), NewVerifier(owners)
			var s snapshot.Snapshot
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				var err error
				if s, err = v.Open(b.Context(), envelope, held.fetch); err != nil {
					b.Fatal(err)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "held-B")
			b.ReportMetric(float64(len(envelope)), "envelope-B")
			runtime.KeepAlive(s)
		})
	}
}
