// Package control makes an ingress's control calls to guards over the mesh, and tracks
// the lower bounds of the guards' clocks.
//
// # Usage
//
//	c := control.New(self, mesh, time.Now)
//	c.RecordClock("vm-17", incarnation, reading)
//	bound, err := c.Clock(ctx, "vm-17") // errors.Is(err, control.ErrNoClock)
//	incarnation, expires, ok := bound.Deadline(now, left)
//	certainty := c.Cancel(ctx, "vm-17", envelope)
package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"berylpass/attempt/clock"
	"berylpass/attempt/id"
	"berylpass/attempt/ledger"
	"berylpass/attempt/lifecycle"
	"berylpass/choice/chooser"
	"berylpass/choice/report"
	"berylpass/choice/verdict"
	"berylpass/fleet/member"
	"berylpass/guard"
	"berylpass/hop"
)

const (
	// cancelTimeout bounds one Cancel call.
	cancelTimeout = 500 * time.Millisecond
	// clockTimeout bounds one ReadClock call, including the connection set-up: three round
	// trips to the farthest region. A request that waits for it can still go to another guard.
	clockTimeout = 400 * time.Millisecond
)

// firstProbeRequest is added to the numbers of probes, so that their attempt IDs differ from those
// of callers' requests.
const firstProbeRequest = 1 << 63

// ErrNoClock is wrapped by the error of Clock if the guard's clock could not be read.
var ErrNoClock = errors.New("reading the guard's clock failed")

// Mesh makes RPC calls to other daemons.
type Mesh interface {
	Call(ctx context.Context, to member.ID, method string, args, reply any) error
}

// Control makes the control calls of one ingress. It is safe for concurrent use.
type Control struct {
	self member.Member
	mesh Mesh
	now  func() time.Time

	mu     sync.Mutex
	clocks map[member.ID]clock.Clock
	// probes is the number of probes sent.
	probes uint64
}

// New returns a Control of the daemon self without readings of guards' clocks.
func New(self member.Member, mesh Mesh, now func() time.Time) *Control {
	return &Control{self: self, mesh: mesh, now: now, clocks: map[member.ID]clock.Clock{}}
}

// RecordClock records a reading of a guard's clock that has just arrived, in milliseconds since the
// guard's start.
func (c *Control) RecordClock(guard member.ID, incarnation uint64, reading int64) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clocks[guard] = c.clocks[guard].WithReading(incarnation, time.Duration(reading)*time.Millisecond, now)
}

// Forget removes the clock of a guard that has left the fleet.
func (c *Control) Forget(guard member.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.clocks, guard)
}

// Clock returns the lower bound of a guard's clock. If there is no reading yet, it calls the
// guard for one. Its error wraps ErrNoClock.
func (c *Control) Clock(ctx context.Context, of member.ID) (clock.Clock, error) {
	c.mu.Lock()
	known, ok := c.clocks[of]
	c.mu.Unlock()
	if ok {
		return known, nil
	}
	ctx, cancel := context.WithTimeout(ctx, clockTimeout)
	defer cancel()
	var reply guard.ClockReply
	if err := c.mesh.Call(ctx, of, guard.ServiceName+".ReadClock", guard.ClockArgs{}, &reply); err != nil {
		return clock.Clock{}, fmt.Errorf("%w: %w", ErrNoClock, err)
	}
	c.RecordClock(of, reply.Incarnation, reply.Clock)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clocks[of], nil
}

// Cancel asks a guard to cancel the attempt of the envelope and returns what is then certain.
func (c *Control) Cancel(ctx context.Context, at member.ID, e hop.Envelope) lifecycle.Certainty {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	args := guard.CancelArgs{Attempt: e.Attempt, Incarnation: e.Incarnation, Expires: e.Expires}
	var reply guard.CancelReply
	if err := c.mesh.Call(ctx, at, guard.ServiceName+".Cancel", args, &reply); err != nil {
		return lifecycle.Unreachable
	}
	c.RecordClock(at, reply.Incarnation, reply.Clock)
	if reply.State == ledger.NotRun {
		return lifecycle.NeverRuns
	}
	return lifecycle.MayRun
}

// Probe asks a guard to send a safe request to its backend server. It returns the verdict and
// the guard's measurements, which are nil if there are none.
func (c *Control) Probe(ctx context.Context, target chooser.Target) (verdict.Verdict, *report.Report) {
	c.mu.Lock()
	c.probes++
	n := c.probes
	c.mu.Unlock()
	args := guard.ProbeArgs{
		Attempt: id.New(c.self.ID, c.self.Incarnation, firstProbeRequest+n),
		Backend: target.Backend.ID,
	}
	var reply guard.ProbeReply
	if err := c.mesh.Call(ctx, target.Guard.ID, guard.ServiceName+".Probe", args, &reply); err != nil {
		return verdict.PathFailure, nil
	}
	return reply.Verdict, parseReport(reply.Load)
}

// FetchReport fetches a guard's measurements of its backend server without running a request. The
// verdict is Shed if the guard answered, which proves the path only, and PathFailure otherwise.
func (c *Control) FetchReport(ctx context.Context, target chooser.Target) (verdict.Verdict, *report.Report) {
	args := guard.ReportArgs{Backend: target.Backend.ID}
	var reply guard.ReportReply
	if err := c.mesh.Call(ctx, target.Guard.ID, guard.ServiceName+".Report", args, &reply); err != nil {
		return verdict.PathFailure, nil
	}
	return verdict.Shed, parseReport(reply.Load)
}

// parseReport parses the text form of a report. It returns nil if the text is not a valid one.
func parseReport(text []byte) *report.Report {
	var load report.Report
	if err := load.UnmarshalText(text); err != nil {
		return nil
	}
	return &load
}
