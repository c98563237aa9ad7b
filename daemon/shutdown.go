package daemon

import (
	"context"
	"errors"
	"time"

	"berylpass/monitor/event"
)

// Shutdown announces that the daemon leaves, finishes the work in flight, removes the
// daemon from the fleet and closes it. With a listen address for readiness it takes
// callers' requests for another lingerTime. Work that is still in flight when ctx is
// cancelled, or departTimeout before its deadline, is cut; Shutdown then returns an error.
func (d *Daemon) Shutdown(ctx context.Context) error {
	event.ShutdownRequested.Log(&d.logger).Send()
	drainCtx, cancel := drainContext(ctx)
	defer cancel()
	d.configuration.leaving.Store(true)
	// The fleet is told first, so that other ingresses choose other guards while this
	// guard still finishes its work.
	leaveErr := callWithTimeout(drainCtx, leaveTimeout, d.members.Leave)
	d.limits.Leave()
	drained := make(chan error, 1)
	go func() { drained <- d.guard.Drain(drainCtx) }()
	d.linger(drainCtx)
	d.configuration.closing.Store(true)
	callersErr := d.callers.Shutdown(drainCtx)
	guardErr := <-drained
	departErr := callWithTimeout(ctx, departTimeout, d.members.Depart)
	d.Close()
	if err := errors.Join(callersErr, guardErr); err != nil {
		event.ForcedShutdown.Log(&d.logger).Err(err).Send()
		return err
	}
	event.ShutdownDone.Log(&d.logger).AnErr("leave", leaveErr).AnErr("depart", departErr).Send()
	return nil
}

// leaveTimeout bounds the write to the store that the daemon leaves. The other daemons
// are told at once; an unavailable store must not use up the time for the work in flight.
const leaveTimeout = 300 * time.Millisecond

// departTimeout is the part of the shutdown grace that is reserved for telling the fleet
// that the daemon ends. The other daemons remove a record that stays in the store.
const departTimeout = 500 * time.Millisecond

// callWithTimeout calls a function with a context that ends after the timeout.
func callWithTimeout(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx)
}

// lingerTime is how long callers are still served after the daemon has reported that it
// leaves: the platform checks readiness once a second and acts on the second failed check.
const lingerTime = 2200 * time.Millisecond

// drainContext returns the context for the work in flight: it ends departTimeout before
// the deadline of ctx, if that has one.
func drainContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if end, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, end.Add(-departTimeout))
	}
	return context.WithCancel(ctx)
}

// linger waits, while callers are still served, until the platform has seen that the
// daemon leaves. It returns at once without a listen address for readiness.
func (d *Daemon) linger(ctx context.Context) {
	if d.settings.Listen.Readiness == "" {
		return
	}
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Close stops the daemon at once and cuts the work in flight. Further calls do nothing.
func (d *Daemon) Close() {
	d.closeOnce.Do(func() {
		for _, closer := range d.closers {
			closer()
		}
		close(d.ended)
	})
}
