package daemon

import (
	"context"
	"errors"
	"time"

	"berylpass/operate/event"
)

const (
	// drainLimitsTimeout bounds the handing over of allotments: leases rest for a
	// while before shares may move.
	drainLimitsTimeout = 25 * time.Second
	// departTime is kept of the grace for telling the fleet that the daemon ends.
	departTime = time.Second
)

// Shutdown takes no new work, finishes what is in flight while it hands allotments
// over, tells the fleet and ends the daemon. It cuts what is left when ctx ends first,
// and returns the error of ctx then.
func (d *Daemon) Shutdown(ctx context.Context) error {
	event.ShutdownRequested.Log(&d.logger).Send()
	d.configuration.leaving.Store(true)
	// The fleet learns first, so that other ingresses choose other guards while
	// this one still finishes what it has.
	leaveErr := d.members.Leave(ctx)
	drained := make(chan error, 1)
	go func() { drained <- d.drainLimits(ctx) }()
	callersErr := d.callers.Shutdown(ctx)
	guardErr := d.guard.Drain(ctx)
	drainErr := <-drained
	departErr := d.members.Depart(ctx)
	d.Close()
	if err := errors.Join(callersErr, guardErr); err != nil {
		event.ForcedEnd.Log(&d.logger).Err(err).Send()
		return err
	}
	event.ShutdownDone.Log(&d.logger).AnErr("leave", leaveErr).AnErr("drain", drainErr).AnErr("depart", departErr).Send()
	return nil
}

// drainLimits hands allotments over. What is not handed over in time is lent by
// others once this daemon's leases have lapsed.
func (d *Daemon) drainLimits(ctx context.Context) error {
	limit := d.clock().Add(drainLimitsTimeout)
	if end, ok := ctx.Deadline(); ok && end.Add(-departTime).Before(limit) {
		limit = end.Add(-departTime)
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	return d.limits.Drain(ctx)
}

// Close ends the daemon at once. It may be called again.
func (d *Daemon) Close() {
	d.closing.Do(func() {
		for _, part := range d.parts {
			part()
		}
		close(d.ended)
	})
}
