package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/lesismal/llib/std/crypto/tls"

	"berylpass/caller/certificate"
	"berylpass/caller/listener"
	"berylpass/choice/chooser"
	"berylpass/config/revision"
	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/fleet/departure/keeper"
	"berylpass/fleet/directory"
	"berylpass/fleet/member"
	"berylpass/fleet/membership"
	"berylpass/fleet/roster"
	"berylpass/guard"
	"berylpass/hop/control"
	"berylpass/hop/forwarder"
	"berylpass/ingress"
	"berylpass/limit/enforcer"
	"berylpass/mesh"
	"berylpass/mesh/meshkey"
	"berylpass/monitor/event"
	"berylpass/platform/client"
	"berylpass/rollout/participant"
	"berylpass/store/observed"
)

// incarnationTimeout bounds the read of the daemon's own record from the store at its start.
const incarnationTimeout = 500 * time.Millisecond

// start starts the parts in the order of their dependencies. If it fails, Close
// closes the parts that have been started.
func (d *Daemon) start() error {
	d.startMemory()
	if err := d.startMesh(); err != nil {
		return trace.Wrap(err)
	}
	platform, store := d.newStore()
	d.self = member.New(member.ID(d.settings.Daemon.ID), d.settings.Daemon.Datacentre)
	earlier := d.readEarlierStarts(store)
	d.self = d.self.WithIncarnation(earlier.Incarnation)
	d.countLiveDaemons(d.self)
	d.startRollouts(platform)
	d.startGuard(store)
	if err := d.startDataPort(); err != nil {
		return trace.Wrap(err)
	}
	d.startFleet(platform, store, earlier)
	d.startIngress()
	if err := d.register(); err != nil {
		return trace.Wrap(err)
	}
	d.mesh.Serve()
	if err := d.startPorts(); err != nil {
		return trace.Wrap(err)
	}
	d.startMonitor()
	d.startRegions()
	return nil
}

// readEarlierStarts reads from the store what earlier starts of this daemon left
// there, so that the daemon gets a higher incarnation than they had.
func (d *Daemon) readEarlierStarts(store *observed.Store) membership.Start {
	ctx, cancel := context.WithTimeout(context.Background(), incarnationTimeout)
	defer cancel()
	return membership.NewStart(ctx, store, d.self.ID, d.clock())
}

func (d *Daemon) startMesh() error {
	key, err := meshkey.New(d.settings.Mesh.Secret, d.settings.Mesh.AlsoTrustedSecrets...)
	if err != nil {
		return trace.Wrap(err)
	}
	d.meshKey, d.directory = key, directory.New()
	d.mesh, err = mesh.New(d.settings.Listen.Control, key, d.directory, mesh.WithPanicHandler(d.logCallPanic), mesh.WithTraffic(d.traffic))
	if err != nil {
		return trace.Wrap(err)
	}
	d.onClose(d.mesh.Close)
	return nil
}

// startGuard starts the limits, the chooser of backend servers and the guard.
func (d *Daemon) startGuard(store *observed.Store) {
	d.limits = enforcer.New(enforcer.Options{
		Self: d.self.ID, Seed: d.self.Incarnation, Mesh: d.mesh, Fleet: &d.fleet, Clock: d.clock, Regions: d.regions(),
		HeardRevision: d.observer.HeardRevision,
		TokenLifetime: d.tokenLifetime(), Slack: enforcer.Slack{Share: d.settings.Limits.LimitOvershoot, Requests: float64(d.settings.Limits.LimitSlack)},
	})
	d.onClose(d.limits.Close)
	d.control = control.New(d.self, d.mesh, d.clock)
	d.chooser = chooser.New(chooser.Options{
		Self: d.self, Seed: d.self.Incarnation, Clock: d.clock, Observer: d.observer, Prober: d.control, Picker: d.pickerOptions(), Versions: d.chooserVersions(),
	})
	d.startedChooser.Store(d.chooser)
	d.onClose(d.chooser.Close)
	d.updateSpillRate()
	d.guard = guard.New(d.self, guard.Parts{
		Configuration:  &d.configuration,
		Leg:            d.newLeg(),
		Limit:          d.limits,
		Observer:       d.observer,
		Departures:     d.newDepartures(store),
		Versions:       d.guardVersions(),
		Clock:          d.clock,
		MaxQueued:      d.settings.Limits.QueuePerBackend,
		Precedence:     d.onPlatform(),
		SilenceLimit:   d.silenceLimit(),
		MayRepeatCall:  d.mayRepeatCall,
		CallWait:       d.callWait,
		LastFailedCall: d.lastFailedCall,
	})
	d.onClose(d.guard.Close)
	d.recoverDepartures()
}

func (d *Daemon) startDataPort() error {
	data, err := listener.New(d.settings.Listen.Data, d.guard,
		listener.WithTLS(d.meshKey.NonBlockingServerTLS()),
		listener.WithMaxBody(d.settings.Limits.MaxBody),
		listener.WithMaxHeader(2*int(d.settings.Limits.MaxHeader)),
		listener.WithMemory(d.memory),
		listener.WithPanicHandler(d.logPanic))
	if err != nil {
		return trace.Wrap(err)
	}
	d.data = data
	d.onClose(data.Close)
	d.self = d.self.WithAddresses(d.mesh.Address(), data.Address())
	return nil
}

// startFleet joins the fleet and starts to follow the configuration.
func (d *Daemon) startFleet(platform *client.Client, store *observed.Store, earlier membership.Start) {
	options := append(d.membershipOptions(),
		membership.WithRegions(d.regions()),
		membership.WithSeeds(d.settings.Mesh.Seeds...),
		membership.WithRandomSeed(d.self.Incarnation),
		membership.WithOnMember(d.memberChanged),
		membership.WithOnBackend(d.backendChanged),
		membership.WithOnClock(d.clockHeard),
		membership.WithOnIncarnationRaised(d.incarnationRaised),
		membership.WithOnSuperseded(d.superseded),
		membership.WithStart(earlier))
	d.members = membership.New(d.self, d.mesh, d.directory, store, options...)
	d.onClose(d.members.Close)
	d.fleet.members.Store(d.members)
	d.follower = d.newFollower(platform, store)
	d.onClose(d.follower.Close)
	d.configuration.follower.Store(d.follower)
	d.startRewrites()
}

func (d *Daemon) startIngress() {
	d.forwarder = forwarder.New(d.meshKey.ClientTLS(), d.settings.Limits.MaxBody, forwarder.WithTraffic(d.traffic))
	d.ingress = ingress.New(d.self, ingress.Parts{
		Configuration:     &d.configuration,
		Chooser:           d.chooser,
		Limit:             d.limits,
		Hop:               localHop{forwarder: d.forwarder, guard: d.guard, address: d.self.Data},
		Guards:            d.control,
		Observer:          d.observer,
		Clock:             d.clock,
		Dialect:           d.callerDialect(),
		OpenToAnyKey:      d.onPlatform(),
		Service:           d.settings.Daemon.Service,
		RetryBudget:       d.retries,
		Hedges:            d.hedges(),
		RepeatProbability: d.guard.RepeatProbability,
		PromptAttempts:    d.promptAttempts(),
		Ranked:            d.onPlatform(),
		RankOfCall:        d.guard.RankOfCall,
	})
	d.startedIngress.Store(d.ingress)
	d.onClose(d.forwarder.Close)
}

func (d *Daemon) register() error {
	for _, r := range []struct {
		name     string
		receiver any
	}{
		{guard.ServiceName, d.guard.Receiver()},
		{enforcer.ServiceName, d.limits.Receiver()},
		{membership.ServiceName, d.members.Receiver()},
		{revision.ServiceName, d.follower.Receiver()},
		{NoticeService, &NoticeReceiver{chooser: d.chooser, relay: d.relayNotice}},
	} {
		if err := d.mesh.Register(r.name, r.receiver); err != nil {
			return fmt.Errorf("register %s: %w", r.name, err)
		}
	}
	if d.rollouts != nil {
		if err := d.mesh.Register(participant.ServiceName, d.rollouts.Receiver()); err != nil {
			return fmt.Errorf("register %s: %w", participant.ServiceName, err)
		}
	}
	if d.departures == nil {
		return nil
	}
	if err := d.mesh.Register(keeper.ServiceName, d.departures.Receiver()); err != nil {
		return fmt.Errorf("register %s: %w", keeper.ServiceName, err)
	}
	return nil
}

func (d *Daemon) startPorts() (err error) {
	if d.backends, err = listener.New(d.settings.Listen.Backends, d.announcementHandler(), listener.WithMemory(d.memory)); err != nil {
		return trace.Wrap(err)
	}
	d.onClose(d.backends.Close)
	if d.operators, err = listener.New(d.settings.Listen.Operators, d.operatorHandler(), listener.WithMemory(d.memory)); err != nil {
		return trace.Wrap(err)
	}
	d.onClose(d.operators.Close)
	options, err := d.callerOptions()
	if err != nil {
		return trace.Wrap(err)
	}
	if d.callers, err = listener.New(d.settings.Listen.Callers, d.ingress, options...); err != nil {
		return trace.Wrap(err)
	}
	d.onClose(d.callers.Close)
	d.startedCallers.Store(d.callers)
	d.applyTimeouts(d.configuration.Current())
	if err := d.startReadiness(); err != nil {
		return trace.Wrap(err)
	}
	event.WaitingForConfiguration.Log(&d.logger).Str("callers", d.callers.Address()).Send()
	return nil
}

func (d *Daemon) callerOptions() ([]listener.Option, error) {
	options := []listener.Option{
		listener.WithMaxBody(d.settings.Limits.MaxBody),
		listener.WithMaxHeader(int(d.settings.Limits.MaxHeader)),
		listener.WithMaxConnections(callerConnections(d.settings.Limits)),
		listener.WithMemory(d.memory),
		listener.WithEvictionHandler(d.connectionEvicted),
		listener.WithRefusal(d.refuse),
		listener.WithPanicHandler(d.logPanic),
	}
	if d.settings.TLS.Certificate == "" {
		return options, nil
	}
	c, err := certificate.New(d.settings.TLS.Certificate, d.settings.TLS.Key, d.clock, certificate.WithLoadObserver(d.logCertificateRead))
	if err != nil {
		return nil, err
	}
	d.logCertificateRead(nil)
	return append(options, listener.WithTLS(&tls.Config{GetCertificate: c.GetCertificate, MinVersion: tls.VersionTLS12})), nil
}

// refuse logs a request that the callers' listener refused before it reached the
// ingress, and returns the headers and the body of the answer.
func (d *Daemon) refuse(status int, reason string) (http.Header, []byte) {
	event.CallerRefused.Log(&d.logger).Int("status", status).Str("reason", reason).Send()
	header, body := ingress.Refuse(status, reason)
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", memoryRetryAfter)
	}
	return header, body
}

// logPanic logs the panic of an HTTP handler, whose connection the listener cuts.
func (d *Daemon) logPanic(value any, stack []byte) {
	event.HandlerPanicked.Log(&d.logger).Interface("value", value).Bytes("stack", stack).Send()
}

// logCallPanic logs the panic of a call of another daemon, which got an error.
func (d *Daemon) logCallPanic(method, stack string) {
	event.HandlerPanicked.Log(&d.logger).Str("method", method).Str("stack", stack).Send()
}

func (d *Daemon) logCertificateRead(err error) {
	if err != nil {
		event.CertificateFailed.Log(&d.logger).Err(err).Send()
		return
	}
	event.CertificateLoaded.Log(&d.logger).Str("certificate", d.settings.TLS.Certificate).Send()
}

func (d *Daemon) revisionRefused(from member.ID, err error) {
	if errors.Is(err, revision.ErrBehind) {
		event.StoreBehind.Log(&d.logger).Uint64("revision", d.configuration.Current().Revision).Send()
		return
	}
	if errors.Is(err, revision.ErrOlder) {
		event.OlderKept.Log(&d.logger).Uint64("revision", d.configuration.Current().Revision).Send()
		return
	}
	event.RevisionRefused.Log(&d.logger).Str("from", string(from)).Str("reason", err.Error()).Send()
}

func (d *Daemon) objectUnreadable(err error) {
	event.ObjectUnreadable.Log(&d.logger).Err(err).Send()
}

func (d *Daemon) announcementRefused(err error) {
	event.AnnouncementRefused.Log(&d.logger).Str("reason", err.Error()).Send()
}

// memberChanged passes the new state of a daemon to the parts that use it: of another one, or
// of this one when it leaves.
func (d *Daemon) memberChanged(m member.Member) {
	d.observer.memberChanged(m)
	if m.State == member.Dead {
		d.control.Forget(m.ID)
	}
	d.chooser.SetGuard(m)
	d.limits.MembersChanged()
	d.countLiveDaemons(m)
}

// countLiveDaemons counts the daemons that are not dead after a change of one of them.
func (d *Daemon) countLiveDaemons(changed member.Member) {
	if changed.State == member.Dead {
		delete(d.live, changed.ID)
	} else {
		d.live[changed.ID] = changed.Datacentre
	}
	d.liveDaemons.Store(int64(len(d.live)))
	d.updateSpillRate()
}

// incarnationRaised passes the daemon's new incarnation to the guard. The membership
// raises it when the fleet knows the daemon by a higher incarnation than its own.
func (d *Daemon) incarnationRaised(incarnation uint64) {
	event.IncarnationRaised.Log(&d.logger).Uint64("from", d.self.Incarnation).Uint64("incarnation", incarnation).Send()
	d.guard.RaiseIncarnation(incarnation)
}

// superseded closes the daemon at once: another process with the same ID has started
// later, and two processes must not run attempts or lend tokens under one ID.
func (d *Daemon) superseded(incarnation uint64) {
	event.Superseded.Log(&d.logger).Uint64("incarnation", incarnation).Send()
	d.configuration.leaving.Store(true)
	go d.Close()
}

func (d *Daemon) clockHeard(h roster.ClockReported) {
	d.control.RecordClock(h.From, h.Incarnation, int64(h.UptimeMilliseconds))
}

// localBackendChanged passes the new state of a backend server on this VM to the chooser and the fleet.
func (d *Daemon) localBackendChanged(b backend.Backend) {
	d.versionSeen(b)
	d.chooser.SetBackend(b, d.self)
	d.members.Announce(b)
}

// backendChanged passes the new state of a backend server to the chooser. For one on this VM it
// repeats what localBackendChanged has passed.
func (d *Daemon) backendChanged(b backend.Backend) {
	guardMember, ok := d.members.Member(b.Member)
	if !ok {
		return
	}
	d.versionSeen(b)
	d.chooser.SetBackend(b, guardMember)
}

// configurationChanged passes a new snapshot to the parts that use it.
func (d *Daemon) configurationChanged(s snapshot.Snapshot) {
	event.RevisionApplied.Log(&d.logger).Uint64("revision", s.Revision).Send()
	d.logWithdrawals(d.applied, s)
	d.applied = s
	d.guard.ConfigurationChanged(s)
	d.chooser.SetConfiguration(s)
	d.limits.SetConfiguration(s)
	d.limits.UpdateMembers()
	d.applyTimeouts(s)
}
