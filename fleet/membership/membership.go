// Package membership keeps one daemon in the fleet. It drives a roster.Roster with the
// clock, sends its messages over the mesh and writes its records to the platform's
// store.
//
// # Usage
//
//	dir := directory.New()
//	m, _ := mesh.New(address, key, dir)
//	fleet := membership.New(self, m, dir, store,
//		membership.WithSeeds("10.0.0.1:7001"))
//	m.Register(membership.ServiceName, fleet.Receiver())
//	m.Serve()
//	fleet.Announce(b)
//	for _, b := range fleet.Backends("rounds") { ... }
//	fleet.Leave(ctx)  // take no new work from now on
//	fleet.Depart(ctx) // all work is done
//	fleet.Close()
//
// Close without Depart tells the fleet nothing, as in a crash. Callbacks run one at a
// time, in order, on a separate goroutine.
package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/fleet/directory"
	"berylpass/fleet/member"
	"berylpass/fleet/roster"
	"berylpass/store/object"
)

// callTimeout is the timeout of one call to another daemon.
const callTimeout = time.Second

// Caller calls net/rpc methods of other daemons, by ID or by control address (host:port).
type Caller interface {
	Call(ctx context.Context, to member.ID, method string, args, reply any) error
	CallAddress(ctx context.Context, address string, method string, args, reply any) error
}

// Store is the part of the platform's object API that membership uses.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (object.Object, error)
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// Watch returns all objects under the prefix at once if after is 0. Otherwise it
	// waits for changes after that version. It also returns the version as of which the
	// objects are.
	Watch(ctx context.Context, prefix string, after uint64) ([]object.Object, uint64, error)
}

// Membership is the membership of this daemon in the fleet. It is safe for concurrent
// use.
type Membership struct {
	caller    Caller
	store     Store
	directory *directory.Directory
	options   options

	mu     sync.Mutex
	roster *roster.Roster
	// view is nil if it must be made anew from the roster.
	view atomic.Pointer[view]
	// viewsMade is the number of views made.
	viewsMade  uint64
	onRevision func(revision uint64, from member.ID)
	// callbacks are the callbacks that are still to run.
	callbacks []func()
	pending   pendingRecords
	// watchRequested reports whether the roster wants this daemon to watch the store.
	watchRequested bool
	recordsRead    bool
	// listedVersion is the version as of which the records were listed, until the first
	// watch has taken it as its start.
	listedVersion uint64
	closed        bool

	// callbackSignal, recordSignal and watchSignal wake up notifyLoop, recordLoop and
	// watchLoop.
	callbackSignal chan struct{}
	recordSignal   chan struct{}
	watchSignal    chan struct{}
	ctx            context.Context
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
}

// New joins the fleet as self, which must have its addresses and an incarnation above
// those of the daemon's earlier runs; see NewStart. It starts goroutines that run until
// Close.
func New(self member.Member, caller Caller, dir *directory.Directory, store Store, opts ...Option) *Membership {
	o := options{clock: time.Now, randomSeed: rand.Uint64()}
	for _, option := range opts {
		option(&o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Membership{
		caller: caller, store: store, directory: dir, options: o,
		roster:         roster.New(self, o.seeds, o.randomSeed, o.clock(), o.roster...),
		pending:        newPendingRecords(o.recordKnown, o.recordVersion),
		callbackSignal: make(chan struct{}, 1), recordSignal: make(chan struct{}, 1),
		watchSignal: make(chan struct{}, 1),
		ctx:         ctx, cancel: cancel,
	}
	dir.Set(self.ID, self.Control)
	m.goroutines.Go(m.tickLoop)
	m.goroutines.Go(m.notifyLoop)
	m.goroutines.Go(m.recordLoop)
	m.goroutines.Go(m.watchLoop)
	m.goroutines.Go(m.joinLoop)
	return m
}

// Announce announces a backend server on this daemon's VM, or its new state, to the
// fleet; the state backend.Gone removes it.
func (m *Membership) Announce(b backend.Backend) { m.update(roster.BackendSet{Backend: b}) }

// SetRevision sets the configuration revision in force in this daemon, which its
// messages carry to others.
func (m *Membership) SetRevision(revision uint64) { m.update(roster.RevisionSet{Revision: revision}) }

// StoreAnswered reports that the platform's store answered a call that began at since.
func (m *Membership) StoreAnswered(since time.Time) { m.update(roster.StoreAnswered{CalledAt: since}) }

// RewriteRecord writes this daemon's record again unless the store has it. It is to be called when
// the store has gone on from an older copy.
func (m *Membership) RewriteRecord() { m.update(roster.StoreRestored{}) }

// Leave announces to the fleet that this daemon takes no new work. It returns when the
// record in the store has been written, or the error of ctx when ctx ends.
func (m *Membership) Leave(ctx context.Context) error {
	m.update(roster.Leave{})
	return m.waitForRecords(ctx)
}

// Depart announces to the fleet that this daemon ends, and removes its record from the
// store. It is to be called when all work is done, and Close after it. It returns when
// the neighbours have been called and the record has been removed, or the error of ctx
// when ctx ends.
func (m *Membership) Depart(ctx context.Context) error {
	sends := m.update(roster.Depart{})
	sent := make(chan struct{})
	go func() {
		sends.Wait()
		close(sent)
	}()
	select {
	case <-sent:
		return m.waitForRecords(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops all goroutines and waits for them. It tells the fleet nothing.
func (m *Membership) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.goroutines.Wait()
}

// OnRevision sets the function that is called, for each message from another daemon,
// with the configuration revision in force there.
func (m *Membership) OnRevision(callback func(revision uint64, from member.ID)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onRevision = callback
}

// Self returns the ID of this daemon.
func (m *Membership) Self() member.ID { return m.roster.Self() }

// Neighbours returns the IDs of the daemons that this one probes; see
// roster.Roster.Neighbours.
func (m *Membership) Neighbours() []member.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Neighbours()
}

// Watchers returns the serving daemons, without this one, that come first in the order of
// watchers, a few for each data centre: local holds those of this daemon's data centre,
// remote those of all others.
func (m *Membership) Watchers() (local, remote []member.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Watchers()
}

// RecordsRead reports whether the member records in the store have been read since the start.
// It stays false if the store didn't answer before another daemon was known.
func (m *Membership) RecordsRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recordsRead
}

// WatchesStore reports whether this daemon is one of those that watch the store.
func (m *Membership) WatchesStore() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watchRequested
}

// Isolated reports whether this daemon may miss changes that others have received; see
// roster.Roster.Isolated.
func (m *Membership) Isolated(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Isolated(now)
}

// update passes an event to the roster and executes the resulting actions. The returned
// group is done when the calls to other daemons that they started have ended.
func (m *Membership) update(event decision.Event) *sync.WaitGroup {
	m.mu.Lock()
	defer m.mu.Unlock()
	sends, _ := m.updateLocked(event)
	return sends
}

// exchange answers another daemon's call.
func (m *Membership) exchange(message roster.Message) roster.Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, reply := m.updateLocked(roster.Received{Message: message})
	return reply
}

// updateLocked is update with the lock held. It also returns the reply to a Received
// event. After Close it does nothing.
func (m *Membership) updateLocked(event decision.Event) (*sync.WaitGroup, roster.Message) {
	var reply roster.Message
	sends := &sync.WaitGroup{}
	if m.closed {
		return sends, reply
	}
	for _, action := range m.roster.Update(m.options.clock(), event) {
		switch a := action.(type) {
		case roster.Reply:
			reply = a.Message
		case roster.Send:
			m.send(a, sends)
		case roster.MemberChanged:
			m.memberChanged(a.Member)
		case roster.BackendChanged:
			m.notify(func() { m.options.onBackend(a.Backend) }, m.options.onBackend != nil)
		case roster.RevisionReported:
			m.dropOlderView(a)
			onRevision := m.onRevision
			m.notify(func() { onRevision(a.Revision, a.From) }, onRevision != nil)
		case roster.ClockReported:
			m.notify(func() { m.options.onClock(a) }, m.options.onClock != nil)
		case roster.IncarnationRaised:
			m.view.Store(nil)
			m.notify(func() { m.options.onRaised(a.Incarnation) }, m.options.onRaised != nil)
		case roster.Superseded:
			m.notify(func() { m.options.onSuperseded(a.Incarnation) }, m.options.onSuperseded != nil)
		default:
			m.handleStoreAction(action)
		}
	}
	return sends, reply
}

func (m *Membership) memberChanged(changed member.Member) {
	m.view.Store(nil)
	if changed.Control != "" {
		m.directory.Set(changed.ID, changed.Control)
	}
	m.notify(func() { m.options.onMember(changed) }, m.options.onMember != nil)
}

// dropOlderView drops the view if it has an older configuration revision of the member.
func (m *Membership) dropOlderView(reported roster.RevisionReported) {
	if v := m.view.Load(); v != nil && v.revisions[reported.From] < reported.Revision {
		m.view.Store(nil)
	}
}

// send makes one call in the background and passes its answer or failure to the roster.
func (m *Membership) send(a roster.Send, sends *sync.WaitGroup) {
	sends.Add(1)
	m.goroutines.Go(func() {
		defer sends.Done()
		ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
		defer cancel()
		var reply roster.Message
		var err error
		if a.Address != "" {
			err = m.caller.CallAddress(ctx, a.Address, exchangeMethod, a.Message, &reply)
		} else {
			err = m.caller.Call(ctx, a.To, exchangeMethod, a.Message, &reply)
		}
		if err != nil {
			m.update(roster.CallFailed{Seq: a.Seq})
			return
		}
		m.update(roster.CallAnswered{Seq: a.Seq, Message: reply})
	})
}

// notify queues a callback if wanted is set; the caller holds the lock.
func (m *Membership) notify(callback func(), wanted bool) {
	if wanted {
		m.callbacks = append(m.callbacks, callback)
		signal(m.callbackSignal)
	}
}

func (m *Membership) tickLoop() {
	ticker := time.NewTicker(roster.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
			m.update(roster.Tick{})
		}
	}
}

func (m *Membership) notifyLoop() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.callbackSignal:
		}
		m.mu.Lock()
		callbacks := m.callbacks
		m.callbacks = nil
		m.mu.Unlock()
		for _, callback := range callbacks {
			callback()
		}
	}
}

// signal wakes up the receiver of c, which has a buffer of 1, without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
