package daemon_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"berylpass/ingress"
)

// drainTarget is the time after which a leaving backend server gets no new work.
const drainTarget = 3 * time.Second

// TestDrainedBackendGetsNoNewWork lets a backend server ask for no more work while
// requests come through two daemons, and counts its runs after the target.
func TestDrainedBackendGetsNoNewWork(t *testing.T) {
	w := newWorld(t, 2)
	c := newCaller(t, secret)
	leaving := w.backends[0]
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	if err := leaving.Announcer.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	at := time.Now()
	w.until("both daemons know", func() bool {
		for _, d := range w.Daemons() {
			for _, line := range d.Status().Backends {
				if line.Backend == "rounds-1" && line.State != "draining" {
					return false
				}
			}
		}
		return true
	})
	if took := time.Since(at); took > drainTarget {
		t.Errorf("the fleet knew after %s, want at most %s", took, drainTarget)
	}
	before := leaving.Total()
	for n := range 40 {
		if r := c.send(w.callers(n%2+1), "GET", "/fields", fmt.Sprint("drained-", n), nil); r.outcome != ingress.Answered {
			t.Errorf("got %s, want an answer of the other backend server", r)
		}
	}
	if n := leaving.Total() - before; n != 0 {
		t.Errorf("%d requests ran at a backend server that leaves", n)
	}
}
