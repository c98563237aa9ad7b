package daemon

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"berylpass/choice/chooser"
	"berylpass/fleet/backend"
	"berylpass/guard"
	"berylpass/monitor/event"
	"berylpass/monitor/status"
	"berylpass/platform/client"
	"berylpass/platform/operator"
	"berylpass/rollout/conductor"
	"berylpass/rollout/order"
	"berylpass/rollout/participant"
)

// startRollouts starts to take part in roll-outs if the platform bounds the exposure of new versions.
func (d *Daemon) startRollouts(platform *client.Client) {
	bounds := conductor.Bounds{Share: d.settings.Rollout.ExposureShare, Slack: d.settings.Rollout.ExposureSlack}
	if !d.onPlatform() || bounds.Share <= 0 {
		return
	}
	d.rollouts = participant.New(participant.Options{
		Self: d.self.ID, Mesh: d.mesh, Fleet: &d.fleet, Store: orderStore{client: platform}, Observer: d.observer,
		Bounds: bounds, Uptime: uptime,
		RefreshOrders: func() {
			if f := d.configuration.follower.Load(); f != nil {
				f.RefreshOrders()
			}
		},
		VersionsChanged: func(service string) {
			if c := d.startedChooser.Load(); c != nil {
				c.VersionsChanged(service)
			}
		},
	})
	d.onClose(d.rollouts.Close)
}

// chooserVersions returns the chooser's view of the roll-outs, nil without them.
func (d *Daemon) chooserVersions() chooser.Versions {
	if d.rollouts == nil {
		return nil
	}
	return d.rollouts
}

// guardVersions returns the guard's view of the roll-outs, nil without them.
func (d *Daemon) guardVersions() guard.Versions {
	if d.rollouts == nil {
		return nil
	}
	return d.rollouts
}

// versionSeen tells the roll-outs of a backend server's version before the chooser learns of it.
func (d *Daemon) versionSeen(b backend.Backend) {
	if d.rollouts != nil {
		d.rollouts.BackendChanged(b)
	}
}

// rolloutStatus returns the state of the orders for operators.
func (d *Daemon) rolloutStatus() []status.Rollout {
	if d.rollouts == nil {
		return nil
	}
	var all []status.Rollout
	for _, s := range d.rollouts.Status() {
		line := status.Rollout{
			Service: s.Order.Service, Target: s.Order.Target, State: s.Order.State.String(), Share: s.Share,
		}
		if s.Conducts {
			line.Step = s.Step.String()
		}
		all = append(all, line)
	}
	return all
}

// orderStore writes the state of orders into the platform's store.
type orderStore struct{ client *client.Client }

// WriteState implements participant.Store.
func (s orderStore) WriteState(ctx context.Context, o order.Order, state order.State) (uint64, error) {
	return operator.WriteState(ctx, s.client, o, state)
}

// StepChanged implements participant.Observer.
func (o *observer) StepChanged(s conductor.StepChanged) {
	kind := event.RolloutStep
	if s.Step == conductor.RollingBack {
		kind = event.RolloutRefused
	}
	o.count(`rollout-steps{step="` + s.Step.String() + `"}`)
	metrics.GetOrRegisterGauge("rollout-requests-to-new-version", o.metrics).Update(int64(s.SentToNew))
	kind.Log(&o.logger).Str("service", s.Order.Service).Str("version", s.Order.Target).Stringer("step", s.Step).
		Str("reason", string(s.Reason)).Int("sent", s.Sent).Int("sent-to-new", s.SentToNew).Send()
}

// StateWritten implements participant.Observer.
func (o *observer) StateWritten(of order.Order, state order.State, err error) {
	kind := event.RolloutStateWritten
	if err != nil {
		kind = event.RolloutStateFailed
	}
	kind.Log(&o.logger).Str("service", of.Service).Str("version", of.Target).Stringer("state", state).AnErr("error", err).Send()
}

// OutcomeLearnt implements participant.Observer.
func (o *observer) OutcomeLearnt(of order.Order) {
	kind := event.RolloutCompleted
	if of.State == order.RolledBack {
		kind = event.RolloutRolledBack
	}
	o.count(`rollout-outcomes{outcome="` + of.State.String() + `"}`)
	kind.Log(&o.logger).Str("service", of.Service).Str("version", of.Target).Send()
}
