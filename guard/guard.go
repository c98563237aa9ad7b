// Package guard admits requests to the backend servers of one VM and runs them there.
//
// All requests to these backend servers pass through the guard. It holds the authoritative state
// of each and checks every forwarded request again with its own configuration, so that
// an ingress with a stale view can't break an invariant alone. A request passes, in this
// order: the ledger (no attempt runs twice or after its cancellation), the checks, the
// gate (slots, ramp-up, queue), the rate limit's token, the connection to the backend
// server, and, right before the first byte is sent, the checks and the ledger again.
//
// # Usage
//
//	g := guard.New(self, guard.Parts{Configuration: c, Leg: leg.New(), Limit: limit})
//	mesh.Register(guard.ServiceName, g.Receiver())
//	data, err := listener.New(address, g, listener.WithTLS(tls))
//	backends, err := listener.New(loopback, announcement.New(g))
//	g.Drain(ctx) // when the daemon leaves: refuses new requests, waits for those in flight
//	g.Close()
package guard

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"berylpass/announcement"
	"berylpass/attempt/calls"
	"berylpass/attempt/id"
	"berylpass/attempt/ledger"
	"berylpass/choice/gate"
	"berylpass/choice/report"
	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/fleet/instance"
	"berylpass/fleet/member"
	"berylpass/hop"
	"berylpass/leg"
	"berylpass/limit/enforcer"
)

// tickInterval is the time between two ticks, which advance the gate and remove silent
// backend servers, and between two checks of Drain.
const tickInterval = 50 * time.Millisecond

// Configuration holds the snapshot of the configuration in force. ProvenNewest reports whether it
// is certain that no newer one has been accepted for long.
type Configuration interface {
	Current() snapshot.Snapshot
	ProvenNewest(now time.Time) bool
}

// Leg runs a request on a backend server. Its errors wrap leg.ErrNotSent or leg.ErrUnknown.
type Leg interface {
	Run(ctx context.Context, address string, r leg.Request) (leg.Answer, error)
}

// Limit issues tokens of an organisation's rate limit. The guard draws one if the token
// that came with a request has expired. A token allows one run until it expires.
type Limit interface {
	Draw(ctx context.Context, organisation string) (enforcer.Token, error)
	// Renew replaces an expired token that has not been used; its error wraps enforcer.ErrNotRenewed.
	Renew(ctx context.Context, t enforcer.Token) (enforcer.Token, error)
	// Started reports a token as used: the request may have run.
	Started(t enforcer.Token)
	// Return gives back a token whose request certainly did not run.
	Return(t enforcer.Token)
}

// Departures keeps which backend server processes have announced that they drain or leave, so that
// the record survives a crash of the daemon.
type Departures interface {
	// Add keeps the departure of a process. It takes a fraction of a second at most. After an error
	// the departure must not be acknowledged.
	Add(id backend.ID, incarnation uint64) error
	// AddUnstated does so for a departure that stated no incarnation: any process of the ID that has
	// started by now may be the one that leaves. latest is the latest one that is known to have left,
	// 0 if there is none.
	AddUnstated(id backend.ID, latest uint64) error
}

// Observer is notified of events at the guard. Its methods must not block.
type Observer interface {
	// BackendChanged is called when a backend server is added, changes, or is gone.
	BackendChanged(b backend.Backend)
	// Refused is called when the ledger, the checks, a retry budget or the gate refuse an
	// attempt, but not when the rate limit does.
	Refused(reason string)
	// AttemptHandled is called when an attempt has ended at the guard, refused ones included.
	AttemptHandled(s AttemptRecord)
	// HeartbeatIgnored is called when a backend server's heartbeat is rejected.
	HeartbeatIgnored(b backend.Backend, reason string)
	// HeardRevision is called with the configuration revision in each forwarded request.
	HeardRevision(revision uint64, from member.ID)
	// LoadChanged is called when the guard's measurements of a backend server have changed so
	// much that the ingresses should receive them.
	LoadChanged(id backend.ID, r report.Report)
}

// AttemptRecord describes an attempt that ended at the guard.
type AttemptRecord struct {
	Attempt   id.ID
	RequestID string
	Backend   backend.ID
	Ending    hop.Ending
	// Reason says in kebab case why the backend server did not answer; empty if it did.
	Reason string
	// Status is the HTTP status of the backend server's answer, 0 without one.
	Status int
	// Waited is the time in the queue, Took the time at the backend server.
	Waited, Took time.Duration
	Revision     uint64
	RetryAfter   time.Duration
}

// Parts holds the dependencies and settings of a guard.
type Parts struct {
	Configuration Configuration
	Leg           Leg
	Limit         Limit
	Observer      Observer
	// Departures is nil if departures aren't kept. Otherwise the guard takes no backend server into
	// service by a heartbeat before DeparturesKnown has been called.
	Departures Departures
	// Versions decides which versions may be used and is told of the requests to them; nil if all may.
	Versions Versions
	// Clock replaces time.Now unless it is nil.
	Clock func() time.Time
	// MayRepeatCall reports whether the retry budget of a service allows a call that counts as
	// repeated. If nil, all services allow it.
	MayRepeatCall func(service string) bool
	// CallWait returns the expected wait of a call to a service, as the ingress on this VM has heard; zero if that
	// is not known. A nil CallWait counts as zero.
	CallWait func(service string) time.Duration
	// LastFailedCall returns when a call of a backend server on this VM last failed; nil if
	// that is not known.
	LastFailedCall func() time.Time
	// MaxQueued bounds the requests that wait for one backend server; gate.DefaultMaxQueued if zero.
	MaxQueued int
	// Precedence makes urgent requests go before less urgent ones, and keeps slots free for calls of running
	// requests.
	Precedence bool
	// SilenceLimit is the time without an announcement, a heartbeat or a load report after
	// which a backend server counts as gone; announcement.SilenceLimit if zero.
	SilenceLimit time.Duration
}

// Guard forwards requests to the backend servers of its VM. It is safe for concurrent use.
type Guard struct {
	Parts
	self    member.Member
	started time.Time
	done    chan struct{}
	wait    sync.WaitGroup

	// registryMu serialises changes of backend servers together with the calls of the
	// observer that report them. It is locked before mu.
	registryMu sync.Mutex

	mu       sync.Mutex
	ledger   *ledger.Ledger
	gate     *gate.Gate
	backends map[backend.ID]registered
	// instances decides which heartbeats are accepted.
	instances *instance.Table
	attempts  map[id.ID]*attempt
	// holding is true until DeparturesKnown has been called, held contains the heartbeats until then.
	holding bool
	held    []heldHeartbeat
	// calls records which services the attempts on this VM call, by route.
	calls   *calls.Calls
	leaving bool
}

// New returns a guard for the daemon self, without backend servers, and starts its
// goroutine. Zero fields of parts get their defaults where there are any.
func New(self member.Member, parts Parts) *Guard {
	if parts.Clock == nil {
		parts.Clock = time.Now
	}
	if parts.MaxQueued == 0 {
		parts.MaxQueued = gate.DefaultMaxQueued
	}
	if parts.SilenceLimit == 0 {
		parts.SilenceLimit = announcement.SilenceLimit
	}
	if parts.Versions == nil {
		parts.Versions = allVersions{}
	}
	if parts.MayRepeatCall == nil {
		parts.MayRepeatCall = func(string) bool { return true }
	}
	started := parts.Clock()
	g := &Guard{
		Parts:     parts,
		self:      self,
		started:   started,
		done:      make(chan struct{}),
		ledger:    ledger.New(started, self.Incarnation, ledger.DefaultCapacity),
		gate:      gate.New(gateOptions(parts)...),
		backends:  map[backend.ID]registered{},
		instances: instance.New(),
		attempts:  map[id.ID]*attempt{},
		calls:     calls.New(),
		holding:   parts.Departures != nil,
	}
	g.wait.Go(func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				g.tick(g.Clock())
			case <-g.done:
				return
			}
		}
	})
	return g
}

// gateOptions returns the options of the gate.
func gateOptions(parts Parts) []gate.Option {
	options := []gate.Option{gate.WithMaxQueued(parts.MaxQueued)}
	if parts.Precedence {
		options = append(options, gate.WithPrecedence())
	}
	return options
}

// GuardClock returns the guard's clock in milliseconds since its start.
func (g *Guard) GuardClock() int64 { return g.Clock().Sub(g.started).Milliseconds() }

// RaiseIncarnation sets a higher incarnation. Requests in flight continue.
func (g *Guard) RaiseIncarnation(incarnation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.RaiseIncarnation(incarnation)
}

// Incarnation returns the guard's incarnation.
func (g *Guard) Incarnation() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Incarnation()
}

// ConfigurationChanged applies a new snapshot: it refuses the waiting requests that the
// snapshot no longer allows, and updates the services and backend servers at the gate.
func (g *Guard) ConfigurationChanged(s snapshot.Snapshot) {
	now := g.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, attemptID := range g.waitingIDs() {
		a := g.attempts[attemptID]
		if reason := g.check(now, s, a.envelope); reason != reasonNone {
			a.reason = reason
			g.apply(now, g.gate.Update(now, gate.Withdraw{ID: attemptID}))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		g.apply(now, g.gate.Update(now, gate.ServiceUpdated{Service: s.Services[name]}))
	}
	for _, known := range g.backendIDs() {
		g.apply(now, g.gate.Update(now, gate.BackendUpdated{Backend: g.backends[known].Backend, InService: g.inService(s)}))
	}
}

// InFlight returns the number of requests that are queued or running.
func (g *Guard) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.attempts)
}

// Drain refuses new requests as not run and waits until none is in flight. If ctx is done
// first, it returns the error of ctx.
func (g *Guard) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.ConfigurationChanged(g.Configuration.Current())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for g.InFlight() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close stops the guard's goroutine and waits for its end. It doesn't wait for requests.
func (g *Guard) Close() {
	close(g.done)
	g.wait.Wait()
}
