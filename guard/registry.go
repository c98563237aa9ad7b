package guard

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"berylpass/announcement"
	"berylpass/attempt/id"
	"berylpass/choice/gate"
	"berylpass/config/service"
	"berylpass/fleet/backend"
)

// registered is a backend server that the guard knows.
type registered struct {
	backend.Backend
	// lastHeard is the time of its last announcement, heartbeat or load report.
	lastHeard time.Time
}

var _ announcement.Registry = (*Guard)(nil)

// ErrUnknownService means that the configuration in force doesn't have the service of a backend
// server.
var ErrUnknownService = errors.New("unknown service")

// Announce adds a backend server or replaces its state. It always returns nil.
func (g *Guard) Announce(b backend.Backend) error {
	b.Member = g.self.ID
	if b.Slots == 0 {
		b.Slots = g.defaultSlots(b.Service)
	}
	g.registryMu.Lock()
	defer g.registryMu.Unlock()
	g.update(b)
	return nil
}

// ReportLoad takes the load that a backend server reports of itself. It also counts as a sign
// of life. Its error is announcement.ErrUnknown for an unknown backend server.
func (g *Guard) ReportLoad(backendID backend.ID, load announcement.Load) error {
	now := g.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.backends[backendID]
	if !ok {
		return announcement.ErrUnknown
	}
	r.lastHeard = now
	g.backends[backendID] = r
	g.apply(now, g.gate.Update(now, gate.SlotsReported{Backend: backendID, Slots: load.Slots}))
	return nil
}

// DrainBackend stops new requests for a backend server. Its error is
// announcement.ErrUnknown for an unknown one.
func (g *Guard) DrainBackend(backendID backend.ID) error {
	g.registryMu.Lock()
	defer g.registryMu.Unlock()
	g.mu.Lock()
	r, ok := g.backends[backendID]
	g.mu.Unlock()
	if !ok {
		return announcement.ErrUnknown
	}
	g.update(r.WithState(backend.Draining))
	return nil
}

// Remove removes a backend server. Its error is announcement.ErrUnknown for an unknown one.
func (g *Guard) Remove(backendID backend.ID) error {
	g.registryMu.Lock()
	defer g.registryMu.Unlock()
	now := g.Clock()
	g.mu.Lock()
	gone, known := g.remove(now, backendID)
	g.mu.Unlock()
	if !known {
		return announcement.ErrUnknown
	}
	g.Observer.BackendChanged(gone)
	return nil
}

// remove removes a backend server and returns it in the state backend.Gone. The caller
// holds g.mu.
func (g *Guard) remove(now time.Time, backendID backend.ID) (gone backend.Backend, known bool) {
	r, known := g.backends[backendID]
	if !known {
		return backend.Backend{}, false
	}
	delete(g.backends, backendID)
	g.apply(now, g.gate.Update(now, gate.BackendRemoved{ID: backendID}))
	return r.WithState(backend.Gone), true
}

// Backends returns the backend servers on this VM, in order of their IDs.
func (g *Guard) Backends() []backend.Backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]backend.Backend, 0, len(g.backends))
	for _, known := range g.backendIDs() {
		all = append(all, g.backends[known].Backend)
	}
	return all
}

// Heartbeat takes a heartbeat of a backend server, which may come late or out of order;
// sequence increases with each heartbeat of a process. cold is the time for which the
// backend server is still to be treated as cold. If the heartbeat says that the backend
// server drains, Heartbeat adds it to Departures before it returns. After an error, such a
// heartbeat must not be acknowledged: the departure could not be kept, or the configuration
// doesn't have the service.
func (g *Guard) Heartbeat(b backend.Backend, sequence uint64, cold time.Duration) error {
	b.Member = g.self.ID
	if s := g.Configuration.Current(); s.Revision > 0 {
		if _, ok := s.Services[b.Service]; !ok {
			g.Observer.HeartbeatIgnored(b, "unknown-service")
			return unknownService(b)
		}
	}
	if g.hold(b, sequence, cold) {
		return nil
	}
	if !g.acceptHeartbeat(b, sequence, cold) {
		// "superseded" stands for every heartbeat that package instance finds invalid.
		g.Observer.HeartbeatIgnored(b, "superseded")
	}
	// A repeated heartbeat is invalid, but its departure may not have been kept yet.
	if b.State == backend.Serving || !g.isRetired(b) {
		return nil
	}
	return g.keepDeparture(b.ID, b.Incarnation)
}

// unknownService returns the error for a heartbeat of a service that the configuration doesn't
// have. Only a departure needs one: it would be acknowledged without being recorded.
func unknownService(b backend.Backend) error {
	if b.State == backend.Serving {
		return nil
	}
	return fmt.Errorf("%w: %q", ErrUnknownService, b.Service)
}

// isRetired reports whether the process must never serve again.
func (g *Guard) isRetired(b backend.Backend) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instances.IsRetired(b.ID, b.Incarnation)
}

// keepDeparture adds a departure to Departures, if there are any.
func (g *Guard) keepDeparture(backendID backend.ID, incarnation uint64) error {
	if g.Departures == nil {
		return nil
	}
	return g.Departures.Add(backendID, incarnation)
}

// acceptHeartbeat records the state of b unless the heartbeat is invalid, and reports
// whether it did. It removes the backend servers that b replaces.
func (g *Guard) acceptHeartbeat(b backend.Backend, sequence uint64, cold time.Duration) bool {
	g.registryMu.Lock()
	defer g.registryMu.Unlock()
	now := g.Clock()
	g.mu.Lock()
	if !g.instances.Accept(now, b, sequence) {
		g.mu.Unlock()
		return false
	}
	var changed []backend.Backend
	for _, replaced := range g.replacedBy(b) {
		if gone, known := g.remove(now, replaced); known {
			changed = append(changed, gone)
		}
	}
	if g.record(now, b, now.Add(cold)) {
		changed = append(changed, b)
	}
	g.mu.Unlock()
	for _, one := range changed {
		g.Observer.BackendChanged(one)
	}
	return true
}

// BackendLeft takes the announcement of a backend server process that it leaves; incarnation is
// 0 if the process names none. BackendLeft adds the process to Departures before it returns.
// After an error, the departure must not be acknowledged.
func (g *Guard) BackendLeft(backendID backend.ID, incarnation uint64) error {
	latest := g.recordDeparture(backendID, incarnation)
	if incarnation != 0 || g.Departures == nil {
		return g.keepDeparture(backendID, incarnation)
	}
	return g.Departures.AddUnstated(backendID, latest)
}

// RestoreDeparture records a departure that an earlier run of the daemon has acknowledged at a
// time; incarnation is 0 if the process had stated none.
func (g *Guard) RestoreDeparture(backendID backend.ID, incarnation uint64, leftAt time.Time) {
	if incarnation != 0 {
		g.recordDeparture(backendID, incarnation)
		return
	}
	g.removeIf(backendID, func(now time.Time) bool { return g.instances.RestoreRemoval(now, leftAt, backendID) })
}

// recordDeparture records that a process has left; incarnation is 0 if it is not known. It
// returns the latest incarnation of the ID that has left, 0 if none is known.
func (g *Guard) recordDeparture(backendID backend.ID, incarnation uint64) uint64 {
	return g.removeIf(backendID, func(now time.Time) bool { return g.instances.Remove(now, backendID, incarnation) })
}

// removeIf removes a backend server if end, which ends processes of its ID in g.instances, ends that of
// the backend server. It returns the latest incarnation of the ID that has left, 0 if none is known.
func (g *Guard) removeIf(backendID backend.ID, end func(now time.Time) bool) uint64 {
	g.registryMu.Lock()
	defer g.registryMu.Unlock()
	now := g.Clock()
	g.mu.Lock()
	ended := end(now)
	var gone backend.Backend
	known := false
	if present := g.backends[backendID]; ended && !g.instances.IsKnown(backendID, present.Incarnation) {
		gone, known = g.remove(now, backendID)
	}
	latest := g.instances.LatestRetired(backendID)
	g.mu.Unlock()
	if known {
		g.Observer.BackendChanged(gone)
	}
	return latest
}

// replacedBy returns the other backend servers at the address of b. The caller holds g.mu.
func (g *Guard) replacedBy(b backend.Backend) []backend.ID {
	var out []backend.ID
	for _, known := range g.backendIDs() {
		if known != b.ID && g.backends[known].Address == b.Address {
			out = append(out, known)
		}
	}
	return out
}

// update records the state of a backend server and notifies the observer of a change. The
// caller holds g.registryMu.
func (g *Guard) update(b backend.Backend) {
	now := g.Clock()
	g.mu.Lock()
	changed := g.record(now, b, time.Time{})
	g.mu.Unlock()
	if changed {
		g.Observer.BackendChanged(b)
	}
}

// record stores the state of a backend server, which is cold until coldUntil, and reports
// whether it differs from the previous state. The caller holds g.mu.
func (g *Guard) record(now time.Time, b backend.Backend, coldUntil time.Time) bool {
	previous, known := g.backends[b.ID]
	g.backends[b.ID] = registered{Backend: b, lastHeard: now}
	seen := gate.BackendUpdated{Backend: b, InService: g.inService(g.Configuration.Current()), ColdUntil: coldUntil}
	g.apply(now, g.gate.Update(now, seen))
	return !known || previous.Backend != b
}

// silent returns the backend servers that have not been heard from for longer than
// SilenceLimit.
func (g *Guard) silent(now time.Time) []backend.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []backend.ID
	for _, known := range g.backendIDs() {
		if now.Sub(g.backends[known].lastHeard) > g.SilenceLimit {
			out = append(out, known)
		}
	}
	return out
}

// backendIDs returns the IDs of the backend servers in order. The caller holds g.mu.
func (g *Guard) backendIDs() []backend.ID { return slices.Sorted(maps.Keys(g.backends)) }

// waitingIDs returns the IDs of the attempts that wait for the gate's decision, in order.
// The caller holds g.mu.
func (g *Guard) waitingIDs() []id.ID {
	var out []id.ID
	for attemptID, a := range g.attempts {
		if !a.decided {
			out = append(out, attemptID)
		}
	}
	slices.SortFunc(out, id.ID.Compare)
	return out
}

// defaultSlots returns the number of slots of a backend server that announces none.
func (g *Guard) defaultSlots(name string) int {
	if s, ok := g.Configuration.Current().Services[name]; ok {
		return s.Slots
	}
	return service.DefaultSlots
}
