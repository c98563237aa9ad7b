package daemon_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"berylpass/ingress"
)

// maxDrainTime is the longest time for which a draining backend server may get new work.
const maxDrainTime = 3 * time.Second

// TestDrainedBackendGetsNoNewWork drains a backend server and checks that both daemons
// know it within maxDrainTime, and that none of the requests sent then runs there.
func TestDrainedBackendGetsNoNewWork(t *testing.T) {
	f := newTestFleet(t, 2)
	c := newCaller(t, secret)
	leaving := f.backends[0]
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	if err := leaving.Announcer.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	drainedAt := time.Now()
	f.waitUntil("both daemons know that rounds-1 is draining", func() bool {
		for _, d := range f.Daemons() {
			for _, line := range d.Status().Backends {
				if line.Backend == "rounds-1" && line.State != "draining" {
					return false
				}
			}
		}
		return true
	})
	if took := time.Since(drainedAt); took > maxDrainTime {
		t.Errorf("the fleet knew after %s, want at most %s", took, maxDrainTime)
	}
	before := leaving.Total()
	for n := range 40 {
		if r := c.send(f.callersAddress(n%2+1), "GET", "/fields", fmt.Sprint("drained-", n), nil); r.outcome != ingress.Answered {
			t.Errorf("got %s, want answered by the other backend server", r)
		}
	}
	if n := leaving.Total() - before; n != 0 {
		t.Errorf("%d requests ran at the draining backend server", n)
	}
}
