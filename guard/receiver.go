package guard

import (
	"context"
	"net/http"
	"time"

	"berylpass/attempt/id"
	"berylpass/attempt/ledger"
	"berylpass/choice/gate"
	"berylpass/choice/verdict"
	"berylpass/config/class"
	"berylpass/fleet/backend"
	"berylpass/hop"
	"berylpass/leg"
	"berylpass/mesh"
)

// probeTimeout bounds a probe of a backend server.
const probeTimeout = time.Second

// ServiceName is the name under which a Receiver is registered on the mesh.
const ServiceName = "Guard"

// Receiver answers control calls of ingresses by net/rpc.
type Receiver struct{ guard *Guard }

// Receiver returns the receiver to register on the mesh.
func (g *Guard) Receiver() *Receiver { return &Receiver{guard: g} }

// CancelArgs names the attempt to cancel.
type CancelArgs struct {
	Attempt id.ID
	// Incarnation is the guard's incarnation to which the attempt was sent.
	Incarnation uint64
	// Expires is the attempt's deadline on the guard's clock in milliseconds since its start.
	Expires int64
}

// CancelReply holds the state of the attempt at the guard.
type CancelReply struct {
	State ledger.State
	// Incarnation is the guard's incarnation at present.
	Incarnation uint64
	// Clock is the guard's clock in milliseconds since its start.
	Clock int64
}

// Cancel stops an attempt if it is queued or running, and keeps it from starting later.
func (r *Receiver) Cancel(args CancelArgs, reply *CancelReply) (err error) {
	defer mesh.Recover(&err)
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
	reply.Incarnation, reply.Clock = g.ledger.Incarnation(), now.Sub(g.started).Milliseconds()
	return nil
}

// ClockArgs are the empty arguments of ReadClock.
type ClockArgs struct{}

// ClockReply is a reading of the guard's clock.
type ClockReply struct {
	Incarnation uint64
	// Clock is the guard's clock in milliseconds since its start.
	Clock int64
}

// ReadClock returns the guard's incarnation and clock.
func (r *Receiver) ReadClock(_ ClockArgs, reply *ClockReply) (err error) {
	defer mesh.Recover(&err)
	reply.Incarnation, reply.Clock = r.guard.Incarnation(), r.guard.GuardClock()
	return nil
}

// ReportArgs names the backend server of which the measurements are requested.
type ReportArgs struct{ Backend backend.ID }

// ReportReply holds a report.Report in its text form; Load is empty if the guard doesn't
// know the backend server.
type ReportReply struct{ Load []byte }

// Report returns the load that the guard has measured at a backend server. It sends no request.
func (r *Receiver) Report(args ReportArgs, reply *ReportReply) (err error) {
	defer mesh.Recover(&err)
	g := r.guard
	now := g.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	load, ok := g.gate.Report(now, args.Backend)
	if !ok {
		return nil
	}
	text, err := load.MarshalText()
	reply.Load = text
	return err
}

// ProbeArgs names the backend server to probe, and the attempt under which to do so.
type ProbeArgs struct {
	Attempt id.ID
	Backend backend.ID
}

// ProbeReply holds the result of a probe. Load is a report.Report in its text form, empty
// if there is none.
type ProbeReply struct {
	Verdict verdict.Verdict
	Load    []byte
}

// Probe sends an OPTIONS request to a backend server and returns the verdict. The request
// takes a slot like any other one; if it gets none, the verdict is verdict.Shed.
func (r *Receiver) Probe(args ProbeArgs, reply *ProbeReply) (err error) {
	defer mesh.Recover(&err)
	g := r.guard
	expires := g.GuardClock() + probeTimeout.Milliseconds()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	envelope := hop.Envelope{Attempt: args.Attempt, Backend: args.Backend, Expires: expires, Class: class.Background}
	a := g.admitProbe(g.Clock(), envelope, cancel)
	reply.Verdict = verdict.Shed
	if d := <-a.decisions; d.run {
		answer, err := g.Leg.Run(ctx, g.address(envelope), leg.Request{Method: http.MethodOptions, Target: "/", Host: "localhost"})
		reply.Verdict = verdictOf(ctx, resultOfRun(answer, err), err)
		g.finish(g.Clock(), a, true, &gate.Finished{ID: args.Attempt, Verdict: reply.Verdict})
	} else {
		g.finish(g.Clock(), a, false, nil)
	}
	if load := g.report(envelope, result{}).Load; load != nil {
		reply.Load, _ = load.MarshalText()
	}
	return nil
}
