package revision

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"berylpass/config/freshness"
	"berylpass/config/outage"
	"berylpass/config/spread"
	"berylpass/fleet/member"
	"berylpass/store/object"
)

const (
	// proofTickInterval is the time between two checks of the proof's age.
	proofTickInterval = 100 * time.Millisecond
	// outageRefreshAge is the age at which the list of data centres out of service is read again.
	outageRefreshAge = 1500 * time.Millisecond
	// proofTimeout bounds one read of the store, and one call of a peer for its proof.
	proofTimeout = time.Second
	// maxDenialAge bounds the age of the proof with which ProvenNewest is true. A change must be
	// in force 2 s after it was accepted.
	maxDenialAge = 2 * time.Second
)

// errEarlierEra reports an answer of the store from before it went on from an older copy.
var errEarlierEra = errors.New("answer is of an earlier era of the store")

// Outages returns which data centres the operators have taken out of service.
type Outages interface {
	// OutOfService returns the names of the data centres out of service, and the store's
	// version, as in object.Object, as of which the list holds.
	OutOfService(ctx context.Context) (names []string, asOf uint64, err error)
}

// WithProof makes the follower poll the store instead of watching it, and makes Ready
// require proof that the configuration was the newest at most maxAge ago. The proof is a
// read of the store by this daemon or a peer; its age counts from the start of the read.
// uptime is a monotonic clock that also counts the time for which the VM is suspended.
// The Store must return the configuration with its revision number as the object's Version, as
// platform/operator does.
func WithProof(outages Outages, maxAge time.Duration, uptime func() time.Duration) Option {
	return func(f *Follower) {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		f.proof = &proof{outageSource: outages, maxAge: maxAge, uptime: uptime, freshness: freshness.New(uptime(), random)}
	}
}

// observation states that the store held no revision above this one at a time.
type observation struct {
	revision uint64
	// at is the uptime at the start of the read.
	at time.Duration
	// known is false if there is no observation.
	known bool
}

// later returns the later of two observations.
func (o observation) later(other observation) observation {
	if !o.known || other.known && other.at > o.at {
		return other
	}
	return o
}

// proof is the state with which a follower proves that its configuration is the newest.
// All fields but the first three are guarded by the follower's mu.
type proof struct {
	outageSource Outages
	maxAge       time.Duration
	uptime       func() time.Duration

	// confirmed is the latest observation of a revision up to the one in force; claimed may
	// be one of a revision that has yet to be fetched.
	confirmed, claimed observation
	freshness          *freshness.Freshness
	// stored is the manifest's object in the store at the last read that was answered.
	stored object.Object
	// newestNumber is the highest operators' number of a configuration that another daemon has
	// from an earlier era of the store than the one in force here.
	newestNumber uint64
	// firstEra is true if the era is the first that this daemon knows of. settledAt is the uptime
	// from which a read in the era is proof.
	firstEra  bool
	settledAt time.Duration

	// outages is what is known of the data centres out of service, outOfService which of them
	// are in force.
	outages      outage.Outages
	outOfService []string
	// orders is nil unless WithOrders was given.
	orders *orderList
}

// proofAge returns the age of the proof, and whether there is one. The caller holds mu.
func (f *Follower) proofAge() (time.Duration, bool) {
	p := f.proof
	if p.claimed.known && p.claimed.revision <= f.applied.Load().snapshot.Revision {
		p.confirmed = p.confirmed.later(p.claimed)
	}
	return p.uptime() - p.confirmed.at, p.confirmed.known
}

// ProofAge returns the age of the proof that the configuration is the newest. known is
// false if there is no proof, and always without WithProof.
func (f *Follower) ProofAge() (age time.Duration, known bool) {
	if f.proof == nil {
		return 0, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proofAge()
}

// checkProof returns nil if the proof suffices to serve, else the error for Ready. A daemon
// that does not know which data centres are out of service must not serve: it must not
// assume that none is.
func (f *Follower) checkProof() error {
	f.mu.Lock()
	age, known := f.proofAge()
	known = known && f.proof.outages.Known()
	superseded := f.isSuperseded()
	f.mu.Unlock()
	switch {
	case !known:
		return fmt.Errorf("%w: at revision %d", ErrNoConfiguration, f.Current().Revision)
	case superseded:
		return fmt.Errorf("%w: another daemon has a newer configuration than revision %d", ErrIsolated, f.Current().Revision)
	case age > f.proof.maxAge:
		return fmt.Errorf("%w: revision %d was the newest %s ago", ErrIsolated, f.Current().Revision, age)
	}
	return nil
}

// proofLoop calls refreshProof until the follower is closed.
func (f *Follower) proofLoop() {
	ticker := time.NewTicker(proofTickInterval)
	defer ticker.Stop()
	for {
		f.refreshProof()
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refreshProof reads the store, asks another daemon for its proof, or both, if package
// freshness decides so at the age of the proof.
func (f *Follower) refreshProof() {
	view := freshness.View{Reader: f.fleet.WatchesStore(), Neighbours: f.fleet.Neighbours()}
	view.Readers, view.RemoteReaders = f.fleet.Watchers()
	for _, id := range slices.Concat(view.Readers, view.RemoteReaders) {
		if id < f.fleet.Self() {
			view.Rank++
		}
	}
	if f.sameRegion != nil {
		f.separateRegions(&view)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.putOutagesInForce()
	view.Age, view.Known = f.proofAge()
	read, ask := f.proof.freshness.Tick(f.proof.uptime(), view)
	if read {
		f.wait.Go(f.readProof)
	}
	if ask != "" {
		f.wait.Go(func() { f.askProof(ask) })
	}
}

// separateRegions moves the readers of other regions to their own list, and determines whether this daemon is the first
// reader of its region.
func (f *Follower) separateRegions(view *freshness.View) {
	remote := view.RemoteReaders
	view.RemoteReaders, view.FirstOfRegion = nil, view.Reader
	for _, id := range remote {
		if f.sameRegion(id) {
			view.RemoteReaders = append(view.RemoteReaders, id)
		} else {
			view.AbroadReaders = append(view.AbroadReaders, id)
		}
	}
	for _, id := range slices.Concat(view.Readers, view.RemoteReaders) {
		view.FirstOfRegion = view.FirstOfRegion && f.fleet.Self() < id
	}
}

// readProof reads the store's manifest, and the outages if they are due, and takes the
// read as proof.
func (f *Follower) readProof() {
	ctx, cancel := context.WithTimeout(f.ctx, proofTimeout)
	defer cancel()
	start, since := f.proof.uptime(), f.clock()
	stored, err := f.store.Get(ctx, CurrentKey)
	if err == nil {
		f.LearnEra(object.EraOf(stored.Version))
		if object.EraOf(stored.Version) < f.era.Load() {
			err = errEarlierEra
		}
	}
	if err == nil {
		f.readOutages(ctx)
		f.readOrders(ctx)
	}
	f.mu.Lock()
	p := f.proof
	seen := f.ifProof(observation{revision: stored.Version, at: start, known: err == nil})
	p.freshness.RecordRead(start, outcome(err, seen.known && !f.isRefused(stored.Version)))
	if err == nil {
		f.onStoreAnswered(since)
		p.stored = stored
		p.claimed = p.claimed.later(seen)
	}
	newer := err == nil && stored.Version > f.applied.Load().snapshot.Revision
	f.mu.Unlock()
	if newer {
		f.update(spread.StoreChanged{})
	}
}

// outcome returns the outcome of a read for package freshness. useful is false for an answer that
// proves nothing yet: the next read must not follow at once.
func outcome(err error, useful bool) freshness.Outcome {
	switch {
	case err == nil && useful:
		return freshness.Answered
	case err == nil, errors.Is(err, object.ErrNotFound):
		return freshness.Empty
	}
	return freshness.Failed
}

// lastStored returns the manifest's object in the store at the last read. If its revision
// is not above the one in force, lastStored makes the next read of the store due soon.
func (f *Follower) lastStored() (object.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stored := f.proof.stored
	if stored.Version == 0 {
		return object.Object{}, object.ErrNotFound
	}
	if stored.Version <= f.applied.Load().snapshot.Revision {
		f.proof.freshness.ReadSoon()
	}
	return stored, nil
}

// readOutages reads the list of data centres out of service if it is unknown or older than
// outageRefreshAge.
func (f *Follower) readOutages(ctx context.Context) {
	f.mu.Lock()
	start := f.proof.uptime()
	list := f.proof.outages.List()
	due := list.AsOf == 0 || start-list.At >= outageRefreshAge || object.EraOf(list.AsOf) < f.era.Load()
	f.mu.Unlock()
	if !due {
		return
	}
	names, asOf, err := f.proof.outageSource.OutOfService(ctx)
	if err == nil {
		f.applyOutages(outage.List{Names: names, AsOf: asOf, At: start})
	}
}

// applyOutages puts a list of outages in force if it is newer than the current one.
func (f *Follower) applyOutages(l outage.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proof.outages = f.proof.outages.With(f.proof.uptime(), l)
	f.putOutagesInForce()
}

// putOutagesInForce puts the outages in force if they have changed. The caller holds mu.
func (f *Follower) putOutagesInForce() {
	if names := f.proof.outages.Names(); !slices.Equal(names, f.proof.outOfService) {
		f.updateEffective()
	}
}

// askProof asks a peer for its proof and its outages and takes both over.
func (f *Follower) askProof(peer member.ID) {
	ctx, cancel := context.WithTimeout(f.ctx, proofTimeout)
	defer cancel()
	start := f.proof.uptime()
	var reply Proof
	err := f.caller.Call(ctx, peer, proofMethod, f.notice(), &reply)
	f.mu.Lock()
	f.proof.freshness.RecordAsk(err == nil)
	f.mu.Unlock()
	if err != nil {
		return
	}
	f.recordNotice(Notice{Revision: reply.Revision, Number: reply.Number, Era: reply.Era, Settling: reply.Settling, From: peer})
	if !reply.Known || reply.Era < f.era.Load() {
		return
	}
	f.mu.Lock()
	p := f.proof
	p.claimed = p.claimed.later(f.ifProof(observation{revision: reply.Revision, at: start - reply.Age, known: true}))
	p.outages = p.outages.With(p.uptime(), outage.List{Names: reply.Outages, AsOf: reply.OutagesAsOf, At: start - reply.OutagesAge}).
		WithHeld(p.uptime(), reply.OutagesAsOf, reply.Held, start+reply.HeldFor)
	f.putOutagesInForce()
	f.mu.Unlock()
	f.takeProofOrders(reply, start)
}

// ownProof returns the proof that this daemon gives to peers.
func (f *Follower) ownProof() Proof {
	if f.proof == nil {
		return Proof{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	age, known := f.proofAge()
	now, list, own := f.proof.uptime(), f.proof.outages.List(), f.noticeLocked()
	held, until := f.proof.outages.Held()
	p := Proof{
		Known: known && !f.isSuperseded(), Age: age, Revision: own.Revision, Number: own.Number, Era: own.Era, Settling: own.Settling,
		Outages: list.Names, OutagesAsOf: list.AsOf, OutagesAge: now - list.At,
		Held: held, HeldFor: max(0, until-now),
	}
	f.proof.orders.addTo(&p, f.proof.uptime())
	return p
}
