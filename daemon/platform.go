package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"berylpass/announcement"
	"berylpass/caller/listener"
	"berylpass/choice/picker"
	"berylpass/config/revision"
	"berylpass/config/settings"
	"berylpass/config/signature"
	"berylpass/fleet/membership"
	"berylpass/ingress"
	"berylpass/leg"
	"berylpass/limit/enforcer"
	"berylpass/mesh/crossing"
	"berylpass/mesh/link"
	"berylpass/monitor/event"
	platformbackend "berylpass/platform/backend"
	platformcaller "berylpass/platform/caller"
	"berylpass/platform/client"
	"berylpass/platform/heartbeat"
	"berylpass/platform/operator"
	"berylpass/platform/readiness"
	"berylpass/platform/wire"
	"berylpass/store/observed"
)

const (
	// maxProofAge bounds the age of the proof that the configuration is the newest one;
	// with an older proof the daemon refuses requests with a key. The platform's rules let a
	// withdrawn key work for 5 s; the difference covers the error of the clocks and the
	// time until the request runs.
	maxProofAge = 4300 * time.Millisecond
	// platformSilenceLimit is the time without a heartbeat after which a backend server
	// counts as gone. It is long because a backend server whose heartbeats don't arrive
	// still serves, and one that is gone is detected by its failed requests.
	platformSilenceLimit = time.Minute
	// platformStoreAttempts is the number of attempts of a call to the store. The platform
	// charges for each.
	platformStoreAttempts = 2
)

// onPlatform reports whether the daemon speaks the platform's dialect.
func (d *Daemon) onPlatform() bool { return d.settings.Daemon.Dialect == settings.PlatformDialect }

// newStore returns the client of the platform's store, and the same store wrapped so
// that storeChanged is called when it stops answering or answers again.
func (d *Daemon) newStore() (*client.Client, *observed.Store) {
	options := []client.Option{
		client.WithTimeout(d.settings.Platform.Timeout),
		client.WithOnUnreadable(d.objectUnreadable),
		client.WithOnCall(d.storeCalled),
		client.WithDial(d.traffic.Dial(crossing.Store, link.New(client.DefaultTimeout).Dialer().DialContext)),
		client.WithOnEra(d.storeEraRaised),
	}
	if d.onPlatform() {
		options = append(options, client.WithAttempts(platformStoreAttempts))
	}
	c := client.New(d.settings.Platform.URL, options...)
	return c, observed.New(c, d.storeChanged)
}

// storeCalled records metrics of an HTTP call to the store and logs it.
func (d *Daemon) storeCalled(c client.Call) {
	outcome := "ok"
	if c.Err != nil {
		outcome = "failed"
	}
	d.observer.count(`store-calls{method="` + c.Method + `",outcome="` + outcome + `"}`)
	metrics.GetOrRegisterTimer("store-call-time", d.metrics).Update(c.Took)
	event.StoreCalled.Log(&d.logger).Str("method", c.Method).Str("path", c.Path).Dur("took", c.Took).AnErr("error", c.Err).Send()
}

// objectReader reads objects of any kind and reports to observed whether the store answers.
type objectReader struct {
	client   *client.Client
	observed *observed.Store
}

// GetObject implements operator.Store.
func (o objectReader) GetObject(ctx context.Context, kind, name string) (wire.Object, error) {
	object, err := o.client.GetObject(ctx, kind, name)
	o.observed.Record(ctx, err)
	return object, err
}

// ListKind implements operator.Store.
func (o objectReader) ListKind(ctx context.Context, kind string) ([]json.RawMessage, uint64, error) {
	items, asOf, err := o.client.ListKind(ctx, kind)
	o.observed.Record(ctx, err)
	return items, asOf, err
}

// newFollower returns the follower of the configuration: of the signed revisions in
// berylpass's own dialect, or of what the operators write into the store on the platform.
func (d *Daemon) newFollower(c *client.Client, store *observed.Store) *revision.Follower {
	options := []revision.Option{
		revision.WithOnChange(d.configurationChanged),
		revision.WithOnRefused(d.revisionRefused),
	}
	if !d.onPlatform() {
		return revision.New(signature.NewVerifier(d.settings.Owners), d.members, d.mesh, store, options...)
	}
	o := operator.New(objectReader{client: c, observed: store}, d.settings.Datacentres)
	options = append(options,
		revision.WithProof(o, maxProofAge, uptime),
		revision.WithOnEra(func(era uint64) {
			c.LearnEra(era)
			d.recordStoreEra(era)
		}),
		revision.WithOnStoreAnswered(func(since time.Time) { go d.members.StoreAnswered(since) }))
	if d.regions() != nil {
		options = append(options, revision.WithRegion(d.inSameRegion))
	}
	if d.rollouts != nil {
		options = append(options, revision.WithOrders(o, d.rollouts.ListRead))
	}
	return revision.New(o, d.members, d.mesh, o, options...)
}

// newLeg returns the leg, which sends requests to the backend servers on this VM.
func (d *Daemon) newLeg() *leg.Leg {
	options := []leg.Option{leg.WithMaxAnswer(d.settings.Limits.MaxBody)}
	if d.onPlatform() {
		options = append(options, leg.WithDialect(platformbackend.New()))
	}
	l := leg.New(options...)
	d.onClose(l.Close)
	return l
}

// retryBudgetFraction is the part of its allowed second attempts that this daemon uses.
// The rest is a reserve, because the calls made by repeated runs count as repeated too,
// and their number is only estimated.
const retryBudgetFraction = 0.75

// retries returns this daemon's part of the fleet's budget of second attempts: the
// burst is divided by the number of live daemons.
func (d *Daemon) retries() ingress.RetryBudget {
	limits := d.limitSettings.Load()
	return ingress.RetryBudget{
		StartEmpty: d.onPlatform(),
		Share:      retryBudgetFraction * limits.RetryShare,
		Burst:      retryBudgetFraction * float64(limits.RetrySlack) / float64(max(d.liveDaemons.Load(), 1)),
	}
}

// tokenLifetime returns the lifetime of the limits' tokens, 0 for the default.
func (d *Daemon) tokenLifetime() time.Duration {
	if d.onPlatform() {
		return enforcer.QueuedTokenLifetime
	}
	return 0
}

// pickerOptions returns the options of the picker. On the platform requests prefer their
// own data centre, because traffic between data centres is expensive.
func (d *Daemon) pickerOptions() []picker.Option {
	if d.onPlatform() {
		return append(d.regionOptions(), picker.WithLocalFirst())
	}
	return nil
}

// lastFailedCall returns when a request without a key, such as a call made by a backend
// server on this VM, last failed at the ingress; zero if none has.
func (d *Daemon) lastFailedCall() time.Time {
	if i := d.startedIngress.Load(); i != nil {
		return i.LastFailedCall()
	}
	return time.Time{}
}

// mayRepeatCall reports whether the retry budget of a service allows another repeated call
// from this VM. It returns true before the ingress has been started.
func (d *Daemon) mayRepeatCall(service string) bool {
	i := d.startedIngress.Load()
	return i == nil || i.HasRetryBudget(service)
}

// callerDialect returns the dialect of the callers, nil for berylpass's own.
func (d *Daemon) callerDialect() ingress.Dialect {
	if d.onPlatform() {
		return platformcaller.New()
	}
	return nil
}

// membershipOptions returns the options of the membership. On the platform it makes no
// store checks of its own, because the reads that prove the configuration to be the
// newest also show that the store answers.
func (d *Daemon) membershipOptions() []membership.Option {
	if d.onPlatform() {
		return []membership.Option{membership.WithoutStoreChecks()}
	}
	return nil
}

// silenceLimit returns the guard's silence limit, 0 for the default.
func (d *Daemon) silenceLimit() time.Duration {
	if d.onPlatform() {
		return platformSilenceLimit
	}
	return 0
}

// announcementHandler returns the handler of the backend servers' announcements or,
// on the platform, of their heartbeats.
func (d *Daemon) announcementHandler() http.Handler {
	if d.onPlatform() {
		return heartbeat.New(d.guard, heartbeat.WithOnRefused(d.announcementRefused))
	}
	return announcement.New(d.guard, announcement.WithOnRefused(d.announcementRefused))
}

// startReadiness serves the platform's readiness checks if the settings have a listen
// address for them.
func (d *Daemon) startReadiness() error {
	if d.settings.Listen.Readiness == "" {
		return nil
	}
	l, err := listener.New(d.settings.Listen.Readiness, readiness.New(func() error { return d.Ready(d.clock()) }), listener.WithMemory(d.memory))
	if err != nil {
		return err
	}
	d.onClose(l.Close)
	return nil
}
