package spread

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"berylpass/fleet/member"
)

// TestMain fixes the seed and the number of rapid's checks unless flags set them.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// TestRevisionNeverGoesBack checks that, whatever the faults, no process goes back to a
// lower revision, no process serves a revision below one that was stated to it at its
// start, and all reach the highest revision within 30 s after the faults end. A longer run:
//
//	go test ./config/spread -run Never -rapid.checks=20000 -rapid.seed=7
func TestRevisionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 7).Draw(t, "daemons"), 2, t.Fatalf)
		n.openDelay = 300 * time.Millisecond
		published := uint64(1)
		n.publish(1)
		pick := func() *host { return n.hosts[rapid.SampledFrom(n.order).Draw(t, "daemon")] }
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) {
				if !n.storeUnavailable {
					published++
					n.publish(published)
				}
			},
			"restore backup": func(t *rapid.T) { n.publish(rapid.Uint64Range(1, published).Draw(t, "revision")) },
			"store away":     func(*rapid.T) { n.storeUnavailable = !n.storeUnavailable },
			"store cut":      func(*rapid.T) { h := pick(); h.storeCut = !h.storeCut },
			"cut":            func(*rapid.T) { n.cut[[2]member.ID{pick().id, pick().id}] = true },
			"heal":           func(*rapid.T) { clear(n.cut) },
			"lossy":          func(t *rapid.T) { n.loss = rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "loss") },
			"slow":           func(t *rapid.T) { n.delay = rapid.SampledFrom([]time.Duration{1e6, 3e8, 2e9}).Draw(t, "delay") },
			"restart":        func(*rapid.T) { n.start(pick().id) },
			"pause":          func(*rapid.T) { pick().paused = true },
			"resume":         func(*rapid.T) { n.resume(pick()) },
			"":               func(t *rapid.T) { n.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
		})
		highest := uint64(0)
		clear(n.cut)
		n.loss, n.delay, n.storeUnavailable = 0, time.Millisecond, false
		for _, h := range n.hosts {
			h.storeCut = false
			if h.paused {
				n.resume(h)
			}
			highest = max(highest, h.spread.Revision())
		}
		highest = max(highest, n.store)
		n.wakeWatchers()
		n.run(30 * time.Second)
		if behind := n.behind(highest); behind > 0 {
			t.Fatalf("%d daemons below revision %d 30 s after the faults ended", behind, highest)
		}
		for id, h := range n.hosts {
			if !h.spread.CaughtUp() {
				t.Fatalf("%s does not serve", id)
			}
		}
	})
}

// TestNewDaemonTakesPeersRevisionOverRestoredStore checks that a new daemon serves its
// peers' revision, not the lower one of a store that was restored from a backup.
func TestNewDaemonTakesPeersRevisionOverRestoredStore(t *testing.T) {
	n := newNetwork(1, 6, 2, t.Fatalf)
	n.publish(9)
	n.run(10 * time.Second)
	n.publish(4)
	n.run(time.Second)
	h := n.start("vm-003")
	n.run(10 * time.Second)
	if h.firstServed != 9 {
		t.Errorf("first served revision %d, want 9", h.firstServed)
	}
}

func TestNotCaughtUpWithoutConfiguration(t *testing.T) {
	n := newNetwork(1, 3, 1, t.Fatalf)
	n.run(time.Minute)
	for id, h := range n.hosts {
		if h.spread.CaughtUp() {
			t.Errorf("%s serves without a configuration", id)
		}
	}
}

// TestFalseClaimDoesNotBlockStart guards against a daemon that never serves because a peer
// claims a revision that it can't deliver.
func TestFalseClaimDoesNotBlockStart(t *testing.T) {
	n := newNetwork(1, 4, 1, func(string, ...any) {})
	n.publish(5)
	n.run(10 * time.Second)
	h := n.start("vm-002")
	n.update(h, Heard{Revision: 1000, From: "vm-003"})
	n.run(30 * time.Second)
	if !h.spread.CaughtUp() || h.spread.Revision() != 5 {
		t.Errorf("revision %d, serving %v; want 5", h.spread.Revision(), h.spread.CaughtUp())
	}
}

// TestChangeDuringReadIsRead guards against a lost update: a revision published while the
// previous one is being read must be read too.
func TestChangeDuringReadIsRead(t *testing.T) {
	n := newNetwork(1, 1, 1, t.Fatalf)
	n.openDelay = 300 * time.Millisecond
	n.publish(1)
	n.run(10 * time.Second)
	n.publish(2)
	n.run(100 * time.Millisecond)
	n.publish(3)
	n.run(10 * time.Second)
	if behind := n.behind(3); behind > 0 {
		t.Errorf("%d daemons below revision 3, want 0", behind)
	}
}

// BenchmarkSpread reports the longest time in which a revision reaches every daemon, with
// 6 or 18 daemons that watch the store and with only one. Opening a revision takes 60 ms.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct {
		name              string
		daemons, watchers int
	}{
		{"daemons=30/watchers=6", 30, 6}, {"daemons=100/watchers=18", 100, 18}, {"daemons=410/watchers=18", 410, 18},
		{"daemons=30/watchers=1", 30, 1}, {"daemons=100/watchers=1", 100, 1}, {"daemons=410/watchers=1", 410, 1},
	} {
		b.Run(size.name, func(b *testing.B) {
			worst := time.Duration(0)
			for i := range b.N {
				n := newNetwork(uint64(i)+1, size.daemons, size.watchers, b.Fatalf)
				n.openDelay = 60 * time.Millisecond
				n.publish(1)
				n.run(30 * time.Second)
				published := n.now
				n.publish(2)
				for n.behind(2) > 0 {
					n.run(10 * time.Millisecond)
				}
				worst = max(worst, n.now.Sub(published))
			}
			b.ReportMetric(worst.Seconds(), "worst-s")
		})
	}
}
