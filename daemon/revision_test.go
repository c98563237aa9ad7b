package daemon_test

import (
	"context"
	"crypto/ed25519"
	"net/http"
	"testing"

	"berylpass/config/snapshot"
	"berylpass/ingress"
	"berylpass/store/memory"
)

// checkRevision checks that all daemons have this revision in force.
func (f *testFleet) checkRevision(want uint64) {
	f.t.Helper()
	for id, d := range f.Daemons() {
		if got := d.Status().Revision; got != want {
			f.t.Errorf("%s holds revision %d, want %d", id, got, want)
		}
	}
}

// awaitReads waits until the store has received n more gets, lists and watches.
func (f *testFleet) awaitReads(n uint64) {
	f.t.Helper()
	reads := func() uint64 {
		c := f.Platform().Store().Counts()
		return c.Gets + c.Lists + c.Watches
	}
	from := reads()
	f.waitUntil("the store has been read again", func() bool { return reads() >= from+n })
}

// TestRestoredStoreDoesNotRevertDaemons checks that after the store has been restored from
// an old backup no daemon returns to the old revision, neither a running one nor one
// that starts.
func TestRestoredStoreDoesNotRevertDaemons(t *testing.T) {
	f := newTestFleet(t, 2)
	store := f.Platform().Store()
	store.SetWatchWait(pollInterval * 10)
	old := store.Backup()
	f.publishAndAwait(withoutKey(f.snapshot, "kowalski-orchards"))
	store.Restore(old)
	f.awaitReads(20)
	f.checkRevision(2)
	d := f.startDaemon(3)
	f.waitUntil("the new daemon is ready", func() bool {
		s := d.Status()
		if s.Ready == "ready" && s.Revision < 2 {
			t.Fatalf("the new daemon serves with revision %d", s.Revision)
		}
		return s.Ready == "ready"
	})
	f.awaitReads(20)
	f.checkRevision(2)
	c := newCaller(t, secret)
	for n := range 3 {
		if r := c.send(f.callersAddress(n+1), "POST", "/visits", "withdrawn", nil); r.status != http.StatusUnauthorized {
			t.Errorf("%s: got %s with a withdrawn key", vm(n+1), r)
		}
	}
}

// TestDaemonWithoutConfiguration checks that a daemon without a configuration refuses all
// requests as not run.
func TestDaemonWithoutConfiguration(t *testing.T) {
	f := newEmptyTestFleet(t)
	f.startVM(1)
	f.awaitReads(3)
	for _, path := range []string{"/visits", "/notices", "/anything"} {
		r := newCaller(t, secret).send(f.callersAddress(1), "GET", path, "early", nil)
		if r.status != http.StatusServiceUnavailable || r.outcome != ingress.NotRun || r.reason != "not-ready" {
			t.Errorf("%s: got %s, want 503 not-run not-ready", path, r)
		}
	}
	if n := f.backends[0].Total(); n != 0 {
		t.Errorf("%d requests ran", n)
	}
}

// TestRevisionNeedsTwoSignatures checks that daemons don't apply a revision in the store
// that is signed by only one owner and by a stranger.
func TestRevisionNeedsTwoSignatures(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2)
	store := f.Platform().Store()
	store.SetWatchWait(pollInterval * 10)
	_, stranger, err := ed25519.GenerateKey(nil)
	if err != nil {
		t.Fatal(err)
	}
	forged := snapshot.New(2).Index()
	if err := f.PublishForged(context.Background(), forged, "ola", stranger); err != nil {
		t.Fatal(err)
	}
	f.awaitReads(20)
	f.checkRevision(1)
	d := f.startDaemon(3)
	f.waitUntil("the new daemon is ready", func() bool { return d.Status().Ready == "ready" })
	f.checkRevision(1)
	if r := newCaller(t, secret).send(f.callersAddress(1), "POST", "/visits", "signed", nil); r.outcome != ingress.Answered {
		t.Errorf("got %s, want answered with the revision of two owners", r)
	}
}

// TestStartWithStoreUnavailable checks that a daemon which starts while the platform's
// store is unavailable gets the configuration from its seeds and serves.
func TestStartWithStoreUnavailable(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2)
	f.publishAndAwait(withoutKey(f.snapshot, "hope-bay-library"))
	f.Platform().Store().SetFaults(memory.Faults{Unavailable: true})
	d := f.startDaemon(3)
	f.waitUntil("the new daemon is ready", func() bool {
		s := d.Status()
		return s.Ready == "ready" && s.Revision == 2 && len(s.Backends) == 2
	})
	c := newCaller(t, secret)
	f.waitUntil("the new daemon answers", func() bool {
		return c.send(f.callersAddress(3), "POST", "/visits", "", nil).outcome == ingress.Answered
	})
	if r := newCaller(t, otherSecret).send(f.callersAddress(3), "POST", "/visits", "late", nil); r.status != http.StatusUnauthorized {
		t.Errorf("got %s with a withdrawn key", r)
	}
}
