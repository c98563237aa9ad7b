// Package daemon assembles one berylpass process: it starts the ingress and the
// guard, the limits, the membership and the configuration, and opens their ports.
//
// # Usage
//
//	d, err := daemon.New(settings, logger)
//	if err != nil { ... } // nothing is left running
//	d.Shutdown(ctx)       // graceful: takes no new work and finishes the work in flight
//	d.Close()             // immediate: cuts the work in flight
package daemon

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"berylpass/caller/listener"
	"berylpass/caller/memory/holder"
	"berylpass/choice/chooser"
	"berylpass/choice/spill"
	"berylpass/config/revision"
	"berylpass/config/settings"
	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/fleet/departure/keeper"
	"berylpass/fleet/directory"
	"berylpass/fleet/member"
	"berylpass/fleet/membership"
	"berylpass/guard"
	"berylpass/hop/control"
	"berylpass/hop/forwarder"
	"berylpass/ingress"
	"berylpass/limit/enforcer"
	"berylpass/mesh"
	"berylpass/mesh/crossing"
	"berylpass/mesh/meshkey"
	"berylpass/monitor/burn"
	"berylpass/monitor/event"
	"berylpass/monitor/version"
	"berylpass/rollout/participant"
)

// Daemon is one running process of the fleet.
type Daemon struct {
	settings settings.Settings
	// limitSettings are the limits in force. Reload replaces them.
	limitSettings atomic.Pointer[settings.Limits]
	directory     *directory.Directory
	// traffic counts the bytes exchanged with each other VM.
	traffic  *crossing.Counter
	meshKey  *meshkey.MeshKey
	self     member.Member
	logger   zerolog.Logger
	metrics  metrics.Registry
	observer *observer
	clock    func() time.Time

	mesh          *mesh.Mesh
	members       *membership.Membership
	fleet         fleetView
	configuration configurationView
	follower      *revision.Follower
	// applied is the snapshot that was last passed to the other parts.
	applied   snapshot.Snapshot
	limits    *enforcer.Enforcer
	chooser   *chooser.Chooser
	control   *control.Control
	forwarder *forwarder.Forwarder
	guard     *guard.Guard
	// live holds the data centres of the daemons that are not dead, this one included. Only the start and the membership's callbacks,
	// which run one at a time, use it; liveDaemons is their number.
	live        map[member.ID]string
	liveDaemons atomic.Int64
	// regionDaemons is the number of live daemons in this region. spillMu guards spillPeers.
	regionDaemons atomic.Int64
	spillMu       sync.Mutex
	spillPeers    spill.Peers
	// departures is nil unless the daemon speaks the platform's dialect.
	departures *keeper.Keeper
	// recovery is nil until it has been started, and in berylpass's own dialect.
	recovery atomic.Pointer[departureRecovery]
	// rollouts is nil unless the settings bound the exposure of new versions.
	rollouts *participant.Participant
	// startedChooser is chooser once that exists, nil before.
	startedChooser atomic.Pointer[chooser.Chooser]
	ingress        *ingress.Ingress
	// startedIngress is ingress once that exists, nil before. Parts that start before the ingress use it.
	startedIngress atomic.Pointer[ingress.Ingress]

	callers, data, backends, operators *listener.Listener
	// startedCallers is callers once that exists, nil before.
	startedCallers atomic.Pointer[listener.Listener]
	// memory is shared by all ports.
	memory *holder.Book

	// eraRaised signals that the store has gone on from an older copy; see startRewrites.
	eraRaised chan struct{}

	// closers close the started parts, the last started first.
	closers []func()
	// ended is closed when Close has run.
	ended     chan struct{}
	closeOnce sync.Once

	noticeMu sync.Mutex
	// lastNotice holds the time of the last notice of each backend server.
	lastNotice map[backend.ID]time.Time
}

// New starts a daemon, which takes requests as soon as it holds a configuration.
// If New fails, it closes what it has started.
func New(s settings.Settings, logger zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: s, logger: logger, metrics: metrics.NewRegistry(), clock: time.Now,
		lastNotice: map[backend.ID]time.Time{}, traffic: crossing.New(), live: map[member.ID]string{}, ended: make(chan struct{}),
		eraRaised: make(chan struct{}, 1),
	}
	d.limitSettings.Store(&s.Limits)
	d.observer = &observer{
		logger: logger, metrics: d.metrics,
		backendChanged: d.localBackendChanged, reportChanged: d.localReportChanged,
		revisionHeard: func(revision uint64, from member.ID) { d.follower.RecordRevision(revision, from) },
		serviceOf:     func(id backend.ID) string { return d.chooser.Service(id) },
		clock:         d.clock, burn: burn.New(d.clock()),
		breakerOpen: map[backend.ID]bool{},
	}
	event.Starting.Log(&d.logger).Str("version", version.Current().Version).Send()
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// Addresses are the addresses on which a daemon listens, each as host:port.
type Addresses struct {
	Callers, Control, Data, Backends, Operators string
}

// Addresses returns the addresses on which the daemon listens.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Callers: d.callers.Address(), Control: d.mesh.Address(), Data: d.data.Address(),
		Backends: d.backends.Address(), Operators: d.operators.Address(),
	}
}

// Ready returns nil if the daemon is ready for callers, or else the reason, which
// wraps ingress.ErrNotReady. A daemon that is leaving is not ready, although its
// ingress still takes requests until callers have had time to go elsewhere.
func (d *Daemon) Ready(now time.Time) error {
	if d.configuration.leaving.Load() {
		return fmt.Errorf("%w: %w", ingress.ErrNotReady, errLeaving)
	}
	return d.configuration.Ready(now)
}

// Ended returns a channel that is closed once the daemon has stopped.
func (d *Daemon) Ended() <-chan struct{} { return d.ended }

// onClose registers the function that closes a started part. Close calls these functions in reverse order.
func (d *Daemon) onClose(closer func()) { d.closers = append([]func(){closer}, d.closers...) }
