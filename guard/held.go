package guard

import (
	"time"

	"berylpass/fleet/backend"
)

// maxHeldHeartbeats bounds the heartbeats that are held until the departures are known.
const maxHeldHeartbeats = 64

// heldHeartbeat is a heartbeat of a backend server that serves, received before the departures
// that earlier runs of the daemon have acknowledged are known. It may be a late one of a process
// that has left.
type heldHeartbeat struct {
	backend   backend.Backend
	sequence  uint64
	coldUntil time.Time
}

// hold holds a heartbeat back and reports true if the departures aren't known yet.
func (g *Guard) hold(b backend.Backend, sequence uint64, cold time.Duration) bool {
	now := g.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.holding || b.State != backend.Serving {
		return false
	}
	g.held = append(g.held, heldHeartbeat{backend: b, sequence: sequence, coldUntil: now.Add(cold)})
	g.held = g.held[max(0, len(g.held)-maxHeldHeartbeats):]
	return true
}

// DeparturesKnown tells the guard that it has been given all departures that earlier runs of the
// daemon have acknowledged, as far as they can be known. The guard then takes the heartbeats that
// it has held, in the order of their arrival.
func (g *Guard) DeparturesKnown() {
	g.mu.Lock()
	held := g.held
	g.holding, g.held = false, nil
	g.mu.Unlock()
	for _, h := range held {
		// The error is nil: it concerns only departures, and only backend servers that serve are held.
		_ = g.Heartbeat(h.backend, h.sequence, max(h.coldUntil.Sub(g.Clock()), 0))
	}
}
