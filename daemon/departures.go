package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"berylpass/decision"
	"berylpass/fleet/departure"
	"berylpass/fleet/departure/keeper"
	"berylpass/fleet/departure/recovery"
	"berylpass/fleet/member"
	"berylpass/guard"
	"berylpass/monitor/event"
	"berylpass/store/observed"
)

// recoveryTick is the time between two recovery.Tick events.
const recoveryTick = 100 * time.Millisecond

// newDepartures returns the keeper of the departures of the backend servers on this VM, or nil
// in berylpass's own dialect: there a backend server announces itself once, without heartbeats
// that could arrive after its departure.
func (d *Daemon) newDepartures(store *observed.Store) guard.Departures {
	if !d.onPlatform() {
		return nil
	}
	d.departures = keeper.New(keeper.Parts{
		Self: d.self.ID, Store: store, Fleet: &d.fleet, Caller: d.mesh, Clock: d.clock, Observer: departureObserver{daemon: d},
	})
	d.onClose(d.departures.Close)
	return d.departures
}

// departureObserver logs how departures are kept.
type departureObserver struct{ daemon *Daemon }

// DepartureNotStored implements keeper.Observer.
func (o departureObserver) DepartureNotStored(p departure.Process, err error) {
	event.DepartureNotStored.Log(&o.daemon.logger).Str("backend", string(p.ID)).Uint64("incarnation", p.Incarnation).Err(err).Send()
}

// DepartureNotKept implements keeper.Observer.
func (o departureObserver) DepartureNotKept(p departure.Process, err error) {
	event.DepartureNotKept.Log(&o.daemon.logger).Str("backend", string(p.ID)).Uint64("incarnation", p.Incarnation).Err(err).Send()
}

// departureRecovery carries out the actions of a recovery.Recovery until that is done.
type departureRecovery struct {
	daemon *Daemon
	ctx    context.Context
	wait   sync.WaitGroup

	mu       sync.Mutex
	recovery *recovery.Recovery
}

// recoverDepartures learns the departures that earlier runs of the daemon have acknowledged and
// passes them to the guard, in the background.
func (d *Daemon) recoverDepartures() {
	if d.departures == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &departureRecovery{
		daemon: d, ctx: ctx,
		recovery: recovery.New(d.clock(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	d.recovery.Store(r)
	r.wait.Go(r.loop)
	d.onClose(func() {
		r.mu.Lock()
		cancel()
		r.mu.Unlock()
		r.wait.Wait()
	})
}

// loop sends ticks to the recovery until it is done.
func (r *departureRecovery) loop() {
	ticker := time.NewTicker(recoveryTick)
	defer ticker.Stop()
	for !r.done() {
		// RecordsRead is called first: if the records are read between the two calls, the fleet
		// must not look like one without peers.
		recordsRead := r.daemon.fleet.RecordsRead()
		r.update(recovery.Tick{Peers: r.peers(), RecordsRead: recordsRead})
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *departureRecovery) done() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recovery.Done()
}

// peers returns the other daemons that are not dead.
func (r *departureRecovery) peers() []member.ID {
	var peers []member.ID
	for _, m := range r.daemon.fleet.Members() {
		if m.ID != r.daemon.self.ID && m.State != member.Dead {
			peers = append(peers, m.ID)
		}
	}
	return peers
}

// update passes an event to the recovery and carries out the resulting actions, unless the
// daemon is closing.
func (r *departureRecovery) update(e decision.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return
	}
	for _, action := range r.recovery.Update(r.daemon.clock(), e) {
		switch a := action.(type) {
		case recovery.ReadList:
			r.wait.Go(r.readList)
		case recovery.Recall:
			r.wait.Go(func() { r.recall(a) })
		case recovery.Known:
			event.DeparturesKnown.Log(&r.daemon.logger).Bool("timed-out", a.TimedOut).Send()
			r.daemon.guard.DeparturesKnown()
		}
	}
}

// readList reads the departures from the store.
func (r *departureRecovery) readList() {
	processes, err := r.daemon.departures.Load(r.ctx)
	r.restore(processes)
	if err != nil {
		event.DeparturesUnread.Log(&r.daemon.logger).Err(err).Send()
		r.update(recovery.ListFailed{})
		return
	}
	r.update(recovery.ListRead{})
}

// recall asks a peer for the copies of the departures.
func (r *departureRecovery) recall(a recovery.Recall) {
	copies, err := r.daemon.departures.Recall(r.ctx, a.From, a.ReadList)
	r.restore(copies.Processes)
	r.update(recovery.Recalled{Complete: err == nil && copies.Complete})
}

// restore passes departures to the guard.
func (r *departureRecovery) restore(processes []departure.Process) {
	for _, p := range processes {
		leftAt := time.UnixMilli(p.StoredAt)
		r.daemon.guard.RestoreDeparture(p.ID, p.Incarnation, leftAt)
		if p.Unstated {
			r.daemon.guard.RestoreDeparture(p.ID, 0, leftAt)
		}
	}
}

// storeAnswered tells the parts that keep departures that the store answers.
func (d *Daemon) storeAnswered() {
	if d.departures != nil {
		d.departures.StoreAnswered()
	}
	if r := d.recovery.Load(); r != nil && !r.done() {
		r.update(recovery.StoreAnswered{})
	}
}
