package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"berylpass/fleet/backend"
	"berylpass/fleet/departure"
	"berylpass/guard"
	"berylpass/monitor/event"
	"berylpass/store/observed"
)

// departureTimeout bounds a read or a write of the list of departures. It is below
// one second because the guard answers a heartbeat only after the write, and a backend server
// regards the heartbeat as acknowledged only if the answer comes within a second.
const departureTimeout = 500 * time.Millisecond

// If the list can't be read at the start, the read is retried with exponential
// back-off from departureRetry to maxDepartureRetry. Each pause is multiplied by a
// random factor from 0.5 to 1.5, since many daemons may start while the store is
// unavailable.
const (
	departureRetry    = time.Second
	maxDepartureRetry = 8 * time.Second
)

// departureRecorder stores the departures of the backend servers on this VM, so that
// the daemon still knows them after a crash.
type departureRecorder struct {
	daemon *Daemon
	list   *departure.List
}

// newDepartures returns the recorder of departures, or nil in berylpass's own
// dialect: there a backend server announces itself once, without heartbeats that
// could arrive after its departure.
func (d *Daemon) newDepartures(store *observed.Store) guard.Departures {
	if !d.onPlatform() {
		return nil
	}
	d.departures = &departureRecorder{daemon: d, list: departure.New(store, d.self.ID, d.clock)}
	return d.departures
}

// loadDepartures passes the departures that were acknowledged before this start to
// the guard, at once or as soon as the store answers.
func (d *Daemon) loadDepartures() {
	if d.departures == nil || d.departures.load(context.Background()) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() {
		pause := departureRetry
		for {
			select {
			case <-time.After(pause/2 + rand.N(pause)):
			case <-ctx.Done():
				return
			}
			if d.departures.load(ctx) {
				return
			}
			pause = min(2*pause, maxDepartureRetry)
		}
	})
	d.onClose(func() {
		cancel()
		wait.Wait()
	})
}

// load passes the stored departures to the guard and reports whether they could be read.
func (r *departureRecorder) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	known, err := r.list.Load(ctx)
	if err != nil {
		event.DeparturesUnread.Log(&r.daemon.logger).Err(err).Send()
	}
	for _, p := range known {
		r.daemon.guard.RecordDeparture(p.ID, p.Incarnation)
	}
	return err == nil
}

// Add implements guard.Departures. It logs its errors.
func (r *departureRecorder) Add(id backend.ID, incarnation uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), departureTimeout)
	defer cancel()
	if err := r.list.Add(ctx, departure.Process{ID: id, Incarnation: incarnation}); err != nil {
		event.DepartureNotKept.Log(&r.daemon.logger).Str("backend", string(id)).Uint64("incarnation", incarnation).Err(err).Send()
	}
}
