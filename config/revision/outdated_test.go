package revision

import (
	"testing"
	"time"
)

// TestNewestIsProvenOnlyByARecentProof guards against denials by a daemon that may have missed
// a new key or route: it must know that its configuration is outdated, or may be.
func TestNewestIsProvenOnlyByARecentProof(t *testing.T) {
	store, clock := &fakeStore{revision: 7}, &fakeClock{now: time.Hour}
	f := New(store, soloFleet{}, soloFleet{}, store, WithProof(store, 10*time.Second, clock.read))
	defer f.Close()
	if f.ProvenNewest(time.Now()) {
		t.Error("the newest configuration counts as proven before there is one")
	}
	await(t, "revision 7 is proven to be the newest", func() bool {
		clock.advance(10 * time.Millisecond)
		return f.ProvenNewest(time.Now())
	})
	store.set(func(s *fakeStore) { s.unavailable = true })
	clock.advance(maxDenialAge + time.Second)
	await(t, "the proof is too old", func() bool { return !f.ProvenNewest(time.Now()) })
	if now := time.Now(); f.Ready(now) != nil || f.Behind(now) {
		t.Errorf("ready %v, behind %t; want ready and not behind", f.Ready(now), f.Behind(now))
	}
	store.set(func(s *fakeStore) { s.unavailable = false })
	await(t, "revision 7 is proven again", func() bool {
		clock.advance(10 * time.Millisecond)
		return f.ProvenNewest(time.Now())
	})
	f.RecordRevision(9, "vm-2")
	if now := time.Now(); !f.Behind(now) || f.ProvenNewest(now) {
		t.Error("the daemon isn't behind, although another one has a newer revision")
	}
}
