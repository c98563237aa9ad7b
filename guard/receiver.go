package guard

import (
	"berylpass/attempt/id"
	"berylpass/attempt/ledger"
)

// ServiceName is the name under which a Receiver is registered on the mesh.
const ServiceName = "Guard"

// Receiver answers the control calls of ingresses.
type Receiver struct{ guard *Guard }

// Receiver returns the receiver to register on the mesh.
func (g *Guard) Receiver() *Receiver { return &Receiver{guard: g} }

// CancelArgs asks that an attempt not run.
type CancelArgs struct {
	Attempt     id.ID
	Incarnation uint64
	// Expires is the attempt's deadline on the guard's clock in milliseconds since its start.
	Expires int64
}

// CancelReply tells what the guard knows of the attempt.
type CancelReply struct {
	State       ledger.State
	Incarnation uint64
	// Clock is the guard's clock in milliseconds since its start.
	Clock int64
}

// Cancel stops an attempt, or keeps it from ever starting.
func (r *Receiver) Cancel(args CancelArgs, reply *CancelReply) error {
	g := r.guard
	now := g.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	reply.State = ledger.Unknown
	cancel := ledger.Cancel{ID: args.Attempt, Incarnation: args.Incarnation, Deadline: milliseconds(args.Expires)}
	actions := g.ledger.Update(now, cancel)
	g.apply(now, actions)
	for _, action := range actions {
		if c, ok := action.(ledger.Cancelled); ok {
			reply.State = c.State
		}
	}
	reply.Incarnation, reply.Clock = g.self.Incarnation, now.Sub(g.started).Milliseconds()
	return nil
}

// ClockArgs asks for a reading of the guard's clock.
type ClockArgs struct{}

// ClockReply is a reading of the guard's clock in milliseconds since its start.
type ClockReply struct {
	Incarnation uint64
	Clock       int64
}

// ReadClock returns the guard's incarnation and clock.
func (r *Receiver) ReadClock(_ ClockArgs, reply *ClockReply) error {
	reply.Incarnation, reply.Clock = r.guard.self.Incarnation, r.guard.GuardClock()
	return nil
}
