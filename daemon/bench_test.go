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

// runsPerMeasurement is the number of runs behind each reported median and maximum.
const runsPerMeasurement = 5

// reportDurations reports the median and the maximum of the measured times in milliseconds.
func reportDurations(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "median-ms")
	b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "max-ms")
	b.ReportMetric(0, "ns/op")
}

// measure runs a measurement runsPerMeasurement times for each iteration of the benchmark,
// each time on its own fleet.
func measure(b *testing.B, run func(t *testing.T) time.Duration) {
	for range b.N {
		took := make([]time.Duration, 0, runsPerMeasurement)
		for range runsPerMeasurement {
			ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
				Name: b.Name(), F: func(t *testing.T) { took = append(took, run(t)) },
			}})
			if !ok {
				b.Fatal("a run failed")
			}
		}
		reportDurations(b, took)
	}
}

// BenchmarkKeyWithdrawal measures the time until all daemons refuse a withdrawn key.
func BenchmarkKeyWithdrawal(b *testing.B) {
	measure(b, func(t *testing.T) time.Duration {
		f := newTestFleet(t, 3)
		c := newCaller(t, secret)
		at := time.Now()
		f.publish(withoutKey(f.snapshot, "kowalski-orchards"))
		for n := range 3 {
			f.waitUntil("the key is refused", func() bool {
				return c.send(f.callersAddress(n+1), "POST", "/visits", "", nil).status == http.StatusUnauthorized
			})
		}
		return time.Since(at)
	})
}

// BenchmarkDatacentreOut measures the time from taking a data centre out of service to
// the last run in it.
func BenchmarkDatacentreOut(b *testing.B) {
	measure(b, func(t *testing.T) time.Duration {
		f := newTestFleet(t, 3)
		c := newCaller(t, secret)
		l := startLoad(6, func(id string) result { return c.send(f.callersAddress(2), "POST", "/visits", id, nil) })
		f.waitUntil("srem gets work", func() bool { return f.backends[1].Total() > 10 })
		at := time.Now()
		f.publish(f.snapshot.WithDatacentre(f.snapshot.Datacentres["srem"].WithInService(false)))
		before := f.backends[0].Total()
		f.waitUntil("rounds-1 gets more work", func() bool { return f.backends[0].Total() > before+100 })
		l.finish()
		runs := f.backends[1].Runs()
		return runs[len(runs)-1].At.Sub(at)
	})
}

// BenchmarkGrayDetection measures the time until any daemon ejects a backend server whose
// service time rises tenfold, at 20 requests a second for each backend server.
func BenchmarkGrayDetection(b *testing.B) {
	const rate = 20
	measure(b, func(t *testing.T) time.Duration {
		f := newTestFleet(t, 3, emulator.WithServiceTime(15*time.Millisecond))
		c := newCaller(t, secret)
		stop := make(chan struct{})
		var wait sync.WaitGroup
		ticker := time.NewTicker(time.Second / time.Duration(rate*len(f.backends)))
		defer ticker.Stop()
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-ticker.C:
					wait.Go(func() { c.send(f.callersAddress(n%3+1), "GET", "/fields", fmt.Sprint(n), nil) })
				case <-stop:
					return
				}
			}
		})
		f.waitUntil("each backend server has run requests for two seconds", func() bool {
			return !slices.ContainsFunc(f.backends, func(b *localfleet.Backend) bool { return b.Total() < 2*rate })
		})
		f.backends[1].SetFault(emulator.Fault{SlowFactor: 10})
		at := time.Now()
		f.waitUntil("rounds-2 is ejected", func() bool { return f.anyEjected("rounds-2") })
		took := time.Since(at)
		close(stop)
		wait.Wait()
		return took
	})
}

// anyEjected reports whether any daemon shows the backend server as ejected or on trial.
func (f *testFleet) anyEjected(name string) bool {
	for _, d := range f.Daemons() {
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
		f := newTestFleet(t, 3)
		c := newCaller(t, secret)
		if err := f.KillDaemon(vm(2)); err != nil {
			t.Fatal(err)
		}
		at := time.Now()
		f.startDaemon(2)
		f.waitUntil("the daemon answers", func() bool {
			return c.send(f.callersAddress(2), "GET", "/fields", "", nil).outcome == ingress.Answered
		})
		return time.Since(at)
	})
}
