package daemon_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"berylpass/emulator"
	"berylpass/ingress"
	"berylpass/operate/localfleet"
)

const measuredRuns = 5

// report reports median and largest of several measured times.
func report(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "median-ms")
	b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "max-ms")
	b.ReportMetric(0, "ns/op")
}

// measure runs a measurement several times, each on a fleet of its own.
func measure(b *testing.B, run func(t *testing.T) time.Duration) {
	for range b.N {
		took := make([]time.Duration, 0, measuredRuns)
		for range measuredRuns {
			ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
				Name: b.Name(), F: func(t *testing.T) { took = append(took, run(t)) },
			}})
			if !ok {
				b.Fatal("a run failed")
			}
		}
		report(b, took)
	}
}

// BenchmarkKeyWithdrawal measures the time until no daemon takes a withdrawn key.
func BenchmarkKeyWithdrawal(b *testing.B) {
	measure(b, func(t *testing.T) time.Duration {
		w := newWorld(t, 3)
		c := newCaller(t, secret)
		at := time.Now()
		w.publish(withoutKey(w.snapshot, "kowalski-orchards"))
		for n := range 3 {
			w.until("the key is refused", func() bool {
				return c.send(w.callers(n+1), "POST", "/visits", "", nil).status == http.StatusUnauthorized
			})
		}
		return time.Since(at)
	})
}

// BenchmarkDatacentreOut measures the time from taking a data centre out to the last run in it.
func BenchmarkDatacentreOut(b *testing.B) {
	measure(b, func(t *testing.T) time.Duration {
		w := newWorld(t, 3)
		c := newCaller(t, secret)
		l := hammer(6, func(id string) told { return c.send(w.callers(2), "POST", "/visits", id, nil) })
		w.until("srem gets work", func() bool { return w.backends[1].Total() > 10 })
		at := time.Now()
		w.publish(w.snapshot.WithDatacentre(w.snapshot.Datacentres["srem"].WithInService(false)))
		before := w.backends[0].Total()
		w.until("others get its work", func() bool { return w.backends[0].Total() > before+100 })
		l.end()
		runs := w.backends[1].Journal()
		return runs[len(runs)-1].At.Sub(at)
	})
}

// BenchmarkGrayDetection measures the time until some daemon ejects a backend
// server that turns ten times as slow, at 20 requests a second for each.
func BenchmarkGrayDetection(b *testing.B) {
	const rate = 20
	measure(b, func(t *testing.T) time.Duration {
		w := newWorld(t, 3, emulator.WithServiceTime(15*time.Millisecond))
		c := newCaller(t, secret)
		stop := make(chan struct{})
		var wait sync.WaitGroup
		ticker := time.NewTicker(time.Second / time.Duration(rate*len(w.backends)))
		defer ticker.Stop()
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-ticker.C:
					wait.Go(func() { c.send(w.callers(n%3+1), "GET", "/fields", fmt.Sprint(n), nil) })
				case <-stop:
					return
				}
			}
		})
		w.until("all have history", func() bool {
			return !slices.ContainsFunc(w.backends, func(b *localfleet.Backend) bool { return b.Total() < 2*rate })
		})
		w.backends[1].SetFault(emulator.Fault{SlowFactor: 10})
		at := time.Now()
		w.until("rounds-2 is ejected", func() bool { return w.ejected("rounds-2") })
		took := time.Since(at)
		close(stop)
		wait.Wait()
		return took
	})
}

func (w *world) ejected(name string) bool {
	for _, d := range w.Daemons() {
		for _, line := range d.Status().Backends {
			if string(line.Backend) == name && (line.State == "ejected" || line.State == "on-trial") {
				return true
			}
		}
	}
	return false
}

// BenchmarkDaemonRestart measures the time from the start of a killed daemon to its first answer.
func BenchmarkDaemonRestart(b *testing.B) {
	measure(b, func(t *testing.T) time.Duration {
		w := newWorld(t, 3)
		c := newCaller(t, secret)
		if err := w.KillDaemon(vm(2)); err != nil {
			t.Fatal(err)
		}
		at := time.Now()
		w.daemon(2)
		w.until("the daemon answers", func() bool {
			return c.send(w.callers(2), "GET", "/fields", "", nil).outcome == ingress.Answered
		})
		return time.Since(at)
	})
}
