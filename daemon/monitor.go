package daemon

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"berylpass/config/revision"
	"berylpass/config/snapshot"
	"berylpass/monitor/event"
)

// monitorInterval is the time between two checks of the daemon's condition.
const monitorInterval = 250 * time.Millisecond

// condition is the part of a daemon's state whose changes are logged.
type condition struct {
	ready    bool
	isolated bool
	// holdsShares is true if the daemon holds a share of at least one limit.
	holdsShares bool
	// keptByFloor holds the IDs of the backend servers that are not ejected because of the
	// floor, the share of a service's healthy capacity that must stay in use.
	keptByFloor map[string]bool
}

// startMonitor starts to check the daemon's condition and to log its changes.
func (d *Daemon) startMonitor() {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		ticker := time.NewTicker(monitorInterval)
		defer ticker.Stop()
		var last condition
		for {
			select {
			case <-ticker.C:
				next := d.condition(d.clock())
				d.logChanges(last, next)
				last = next
			case <-done:
				return
			}
		}
	})
	d.onClose(func() {
		close(done)
		wait.Wait()
	})
}

func (d *Daemon) condition(now time.Time) condition {
	err := d.Ready(now)
	c := condition{
		ready:       err == nil,
		isolated:    errors.Is(err, revision.ErrIsolated),
		holdsShares: d.limits.SharesHeld() > 0,
		keptByFloor: map[string]bool{},
	}
	for _, line := range d.chooser.Status() {
		if line.State == "kept-by-floor" {
			c.keptByFloor[string(line.Backend)] = true
		}
	}
	return c
}

func (d *Daemon) logChanges(last, next condition) {
	if next.ready && !last.ready {
		event.Ready.Log(&d.logger).Str("callers", d.callers.Address()).Send()
	}
	if next.isolated && !last.isolated {
		event.Isolated.Log(&d.logger).Send()
	}
	if last.isolated && !next.isolated {
		event.Rejoined.Log(&d.logger).Send()
	}
	if last.holdsShares && !next.holdsShares {
		event.SharesLost.Log(&d.logger).Send()
	}
	if next.holdsShares && !last.holdsShares {
		event.SharesHeld.Log(&d.logger).Send()
	}
	for _, id := range slices.Sorted(maps.Keys(next.keptByFloor)) {
		if !last.keptByFloor[id] {
			event.FloorHeld.Log(&d.logger).Str("backend", id).Send()
		}
	}
}

// storeChanged logs that the platform's store has stopped answering or answers again. It is
// called on the goroutine of the call that found it, which may hold locks.
func (d *Daemon) storeChanged(available bool) {
	if available {
		event.StoreBack.Log(&d.logger).Send()
		go d.storeAnswered()
		return
	}
	event.StoreUnavailable.Log(&d.logger).Send()
}

// logWithdrawals logs the keys that a new snapshot withdraws, and the data centres
// that it takes out of service or puts back.
func (d *Daemon) logWithdrawals(last, next snapshot.Snapshot) {
	for _, name := range slices.Sorted(maps.Keys(last.Organisations)) {
		for _, k := range last.Organisations[name].Keys {
			if !next.HasKey(name, k.ID) {
				event.KeyWithdrawn.Log(&d.logger).Str("organisation", name).Str("key", k.ID).Send()
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(next.Datacentres)) {
		switch {
		case last.InService(name) && !next.InService(name):
			event.DatacentreOut.Log(&d.logger).Str("datacentre", name).Send()
		case !last.InService(name) && next.InService(name):
			event.DatacentreBack.Log(&d.logger).Str("datacentre", name).Send()
		}
	}
}
