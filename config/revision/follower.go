// Package revision keeps a daemon on the highest revision of the configuration
// that it can learn of, from the platform's store or from other daemons.
//
// In berylpass's own dialect the store holds the signed manifest at CurrentKey and its chunks,
// by digest, under ChunkPrefix, and the Verifier is a signature.Verifier; only the chunks that
// this daemon lacks are fetched. On the platform, platform/operator is both Store and Verifier:
// what this package calls the signed manifest is then the operators' whole configuration,
// without signatures and chunks.
//
// Package spread decides when to fetch from whom and what to put in force, package roster
// which daemons watch the store, and package freshness when to seek proof that the
// configuration is the newest; this package makes the calls.
//
// # Usage
//
//	f := revision.New(verifier, fleet, m, store, revision.WithOnChange(apply))
//	m.Register(revision.ServiceName, f.Receiver())
//	s := f.Current()
//	f.RecordRevision(hop.Revision, hop.Ingress) // on a request from another daemon
//	if err := f.Ready(now); errors.Is(err, revision.ErrIsolated) { ... }
package revision

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"berylpass/config/snapshot"
	"berylpass/config/spread"
	"berylpass/decision"
	"berylpass/fleet/member"
	"berylpass/store/object"
)

// Keys in the platform's object store, as package archive writes them.
const (
	// CurrentKey holds the signed manifest.
	CurrentKey = "config/current"
	// ChunkPrefix is followed by the digest of a chunk in lower-case hex.
	ChunkPrefix = "config/chunk/"
)

// Intervals and time limits.
const (
	// tickInterval is the time between two spread.Tick events.
	tickInterval = 200 * time.Millisecond
	// pullTimeout bounds the fetch of a revision.
	pullTimeout = 5 * time.Second
	// notifyTimeout bounds the call that notifies a daemon of a new revision.
	notifyTimeout = time.Second
	// watchBackoff is the back-off after the first watch that failed. The actual pause is
	// drawn from half of the back-off up to the whole.
	watchBackoff = time.Second
	// roleCheckInterval is the time between two checks, by a daemon that doesn't watch the
	// store, of whether it should.
	roleCheckInterval = 200 * time.Millisecond
	// maxWatchBackoff bounds the back-off, which doubles with each failure.
	maxWatchBackoff = 15 * time.Second
)

var (
	// ErrNoConfiguration reports a daemon that must refuse all requests. Without WithProof,
	// it has no configuration, or has not compared it with the fleet since its start. With
	// WithProof, it has no proof, or doesn't know which data centres are out of service.
	ErrNoConfiguration = errors.New("no configuration in force yet")
	// ErrBehind reports a store that holds a lower revision than the one in force.
	ErrBehind = errors.New("store holds a lower revision than the one in force")
	// ErrIsolated reports a daemon that must refuse requests with keys, because it
	// may have missed the withdrawal of a key: it is isolated or, with WithProof, its proof
	// is too old.
	ErrIsolated = errors.New("daemon reaches neither the store nor enough of the fleet")
)

// Verifier opens a signed manifest: it makes all checks, fetches the chunks if there are any,
// and returns the configuration. signature.Verifier checks the signatures and the chunks'
// digests; platform/operator has neither.
type Verifier interface {
	Open(ctx context.Context, signedManifest []byte, fetch func(ctx context.Context, digest [32]byte) ([]byte, error)) (snapshot.Snapshot, error)
}

// Fleet is the part of membership that a Follower uses.
type Fleet interface {
	// Self returns the ID of this daemon.
	Self() member.ID
	// Neighbours returns the daemons to notify of a change; see roster.Roster.Neighbours.
	Neighbours() []member.ID
	// Watchers returns the serving daemons, without this one, that come first in the order of
	// watchers, a few for each data centre: local holds those of this data centre, remote
	// those of the others.
	Watchers() (local, remote []member.ID)
	// RecordsRead reports whether the member records in the store have been read.
	RecordsRead() bool
	// WatchesStore reports whether this daemon is to watch the store or, with WithProof, is a
	// reader in the sense of package freshness.
	WatchesStore() bool
	// Isolated reports whether this daemon may miss changes that others have received.
	Isolated(now time.Time) bool
	// SetRevision sets the revision in force here, which membership sends to other daemons.
	SetRevision(revision uint64)
	// OnRevision sets the function that is called with the revisions of other daemons.
	OnRevision(heard func(revision uint64, from member.ID))
}

// Caller calls methods of other daemons.
type Caller interface {
	Call(ctx context.Context, to member.ID, method string, args, reply any) error
}

// Store is the part of the platform's object API that a Follower uses.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
}

// Watcher is implemented by a Store that can be watched. Without WithProof, a Follower
// learns of changes in the store only if its Store is a Watcher.
type Watcher interface {
	Watch(ctx context.Context, prefix string, after uint64) ([]object.Object, uint64, error)
}

// Follower keeps the configuration of one daemon up to date. It is safe for concurrent use.
type Follower struct {
	verifier Verifier
	fleet    Fleet
	caller   Caller
	store    Store
	clock    func() time.Time
	// sameRegion reports whether a daemon is in this one's region; nil if regions make no difference.
	sameRegion func(id member.ID) bool
	onChange   func(snapshot.Snapshot)
	refused    func(from member.ID, err error)
	// onStoreAnswered is called, with mu held, when a read of the store was answered, with the time at which it began.
	onStoreAnswered func(since time.Time)

	// applied is the revision in force, without the outages.
	applied atomic.Pointer[verifiedRevision]
	// effective is applied's snapshot with the outages. Current returns it.
	effective atomic.Pointer[snapshot.Snapshot]
	// caughtUp is the last result of spread's CaughtUp. Ready requires it only without
	// WithProof.
	caughtUp atomic.Bool
	// proof is nil unless WithProof was given.
	proof *proof
	// era is the latest era of the store that is known; refusedOlder is the revision that was
	// last refused with ErrOlder.
	era          atomic.Uint64
	refusedOlder atomic.Uint64
	onEra        func(era uint64)

	mu     sync.Mutex
	closed bool
	spread *spread.Spread
	// pulled holds verified revisions, by the number of their spread.Pull, until spread has
	// decided whether to put them in force.
	pulled map[uint64]*verifiedRevision
	// previous is the revision before the current one, kept for peers that still fetch it.
	previous *verifiedRevision
	// changes holds the snapshots for which onChange has yet to be called; changed signals
	// that there are some.
	changes []snapshot.Snapshot
	changed chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

// verifiedRevision is a revision that the Verifier has opened.
type verifiedRevision struct {
	snapshot       snapshot.Snapshot
	signedManifest []byte
	chunks         map[[32]byte][]byte
}

// Option changes a follower that New makes.
type Option func(*Follower)

// WithClock replaces time.Now.
func WithClock(clock func() time.Time) Option { return func(f *Follower) { f.clock = clock } }

// WithOnChange sets a function that is called with each snapshot put in force, in order,
// on one goroutine. It is also called when only the outages have changed.
func WithOnChange(change func(snapshot.Snapshot)) Option {
	return func(f *Follower) { f.onChange = change }
}

// WithOnRefused sets a function that is called with each revision that is refused: one
// that fails its checks, or, with ErrBehind, a lower one in the store. from is empty for
// the store.
func WithOnRefused(refused func(from member.ID, err error)) Option {
	return func(f *Follower) { f.refused = refused }
}

// WithRegion sets the function that reports whether another daemon is in the same region. Without it regions make no
// difference.
func WithRegion(same func(id member.ID) bool) Option {
	return func(f *Follower) { f.sameRegion = same }
}

// WithOnStoreAnswered sets a function that is called after each read that the store answered, with the time at
// which the read began, if WithProof is given. It must not block.
func WithOnStoreAnswered(answered func(since time.Time)) Option {
	return func(f *Follower) { f.onStoreAnswered = answered }
}

// New returns a follower and starts its goroutines.
func New(verifier Verifier, fleet Fleet, caller Caller, store Store, options ...Option) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		verifier: verifier, fleet: fleet, caller: caller, store: store, clock: time.Now,
		refused: func(member.ID, error) {}, onStoreAnswered: func(time.Time) {}, onEra: func(uint64) {},
		pulled: map[uint64]*verifiedRevision{}, changed: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
	}
	for _, option := range options {
		option(f)
	}
	f.previous = &verifiedRevision{snapshot: snapshot.New(0)}
	f.applied.Store(f.previous)
	f.effective.Store(&f.previous.snapshot)
	f.spread = spread.New(f.clock())
	fleet.OnRevision(f.RecordRevision)
	f.wait.Go(f.tickLoop)
	if f.proof != nil {
		f.wait.Go(f.proofLoop)
	} else {
		f.wait.Go(f.watchLoop)
	}
	f.wait.Go(f.changeLoop)
	return f
}

// Close stops the follower and waits for its goroutines.
func (f *Follower) Close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.cancel()
	f.wait.Wait()
}

// Current returns the configuration in force. Its revision is 0 before the first one.
func (f *Follower) Current() snapshot.Snapshot { return *f.effective.Load() }

// Manifest returns the signed manifest of the configuration in force.
func (f *Follower) Manifest() []byte { return f.applied.Load().signedManifest }

// RecordRevision records the revision that another daemon has stated on a control call or a
// forwarded request.
func (f *Follower) RecordRevision(revision uint64, from member.ID) {
	if f.proof != nil {
		f.LearnEra(object.EraOf(revision))
	}
	if from == "" || f.caughtUp.Load() && revision <= f.Current().Revision {
		return
	}
	f.update(spread.Heard{Revision: revision, From: from})
}

// Ready returns nil if this daemon may serve. Otherwise its error wraps
// ErrNoConfiguration, on which the daemon must refuse all requests, or ErrIsolated, on
// which it must refuse those with a key.
func (f *Follower) Ready(now time.Time) error {
	if f.proof != nil {
		return f.checkProof()
	}
	if !f.caughtUp.Load() {
		return fmt.Errorf("%w: at revision %d", ErrNoConfiguration, f.Current().Revision)
	}
	if f.fleet.Isolated(now) {
		return fmt.Errorf("%w: at revision %d", ErrIsolated, f.Current().Revision)
	}
	return nil
}

// Behind reports whether this daemon knows that a newer configuration exists than the one in force.
func (f *Follower) Behind(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.proof != nil && (f.isSuperseded() || f.proof.claimed.revision > f.applied.Load().snapshot.Revision) {
		return true
	}
	return f.spread.Behind(now)
}

// ProvenNewest reports whether no configuration newer than the one in force was accepted before
// a few seconds ago, as far as the store or the fleet can tell. Otherwise what the configuration
// doesn't allow may be allowed by now.
func (f *Follower) ProvenNewest(now time.Time) bool {
	if f.Behind(now) || f.Ready(now) != nil {
		return false
	}
	if f.proof == nil {
		return true
	}
	age, known := f.ProofAge()
	return known && age <= maxDenialAge
}

// update passes an event to spread and carries out the actions that it returns.
func (f *Follower) update(event decision.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	for _, action := range f.spread.Update(f.clock(), event) {
		switch a := action.(type) {
		case spread.Pull:
			f.wait.Go(func() { f.pull(a) })
		case spread.Apply:
			f.apply(a)
		case spread.Notify:
			f.notify(a)
		}
	}
	switch e := event.(type) {
	case spread.Fetched:
		delete(f.pulled, e.Number)
	}
	f.caughtUp.Store(f.spread.CaughtUp())
}

// apply puts a pulled revision in force. The caller holds mu.
func (f *Follower) apply(a spread.Apply) {
	f.previous = f.applied.Load()
	f.applied.Store(f.pulled[a.Number])
	// Whoever is told of the change must find the follower ready.
	f.caughtUp.Store(f.spread.CaughtUp())
	f.fleet.SetRevision(a.Revision)
	f.updateEffective()
}

// updateEffective puts the current revision with the current outages in force. The caller
// holds mu.
func (f *Follower) updateEffective() {
	s := f.applied.Load().snapshot
	if f.proof != nil {
		f.proof.outOfService = f.proof.outages.Names()
		s = s.WithOutOfService(f.proof.outOfService)
	}
	f.effective.Store(&s)
	if f.onChange != nil {
		f.changes = append(f.changes, s)
		signal(f.changed)
	}
}

// notify sends the revision in force to other daemons and records theirs.
func (f *Follower) notify(a spread.Notify) {
	for _, id := range a.To {
		f.wait.Go(func() {
			ctx, cancel := context.WithTimeout(f.ctx, notifyTimeout)
			defer cancel()
			var reply Notice
			err := f.caller.Call(ctx, id, noticeMethod, f.notice(), &reply)
			if err == nil {
				reply.From = id
				f.recordNotice(reply)
			}
		})
	}
}

// tickLoop sends ticks to spread until the follower is closed.
func (f *Follower) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		// RecordsRead is called first: if the records are read between the two calls, the
		// fleet must not look like one without peers.
		recordsRead := f.fleet.RecordsRead()
		f.update(spread.Tick{Peers: f.fleet.Neighbours(), RecordsRead: recordsRead})
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// changeLoop calls onChange with the queued snapshots until the follower is closed.
func (f *Follower) changeLoop() {
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-f.changed:
		}
		f.mu.Lock()
		changes := f.changes
		f.changes = nil
		f.mu.Unlock()
		for _, s := range changes {
			f.onChange(s)
		}
	}
}

// watchLoop watches the store while membership has this daemon do so.
func (f *Follower) watchLoop() {
	watcher, ok := f.store.(Watcher)
	if !ok {
		return
	}
	after, backoff := uint64(0), watchBackoff
	for f.ctx.Err() == nil {
		if !f.fleet.WatchesStore() {
			after, backoff = 0, watchBackoff
			f.pause(roleCheckInterval)
			continue
		}
		objects, version, err := watcher.Watch(f.ctx, CurrentKey, after)
		if err != nil {
			f.pause(backoff/2 + rand.N(backoff/2))
			backoff = min(2*backoff, maxWatchBackoff)
			continue
		}
		backoff = watchBackoff
		// A version below after, or of another era, means that the store has been restored to an
		// earlier state.
		if len(objects) > 0 || version < after || object.EraOf(version) != object.EraOf(after) {
			f.update(spread.StoreChanged{})
		}
		after = version
	}
}

// pause waits for d or until the follower is closed.
func (f *Follower) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.ctx.Done():
	case <-timer.C:
	}
}

// signal sends on c, which has a buffer of one, unless a signal is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
