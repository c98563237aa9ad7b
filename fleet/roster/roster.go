// Package roster implements the decisions of fleet membership without input or
// output: which daemons are in the fleet, and which backend servers run on their
// VMs.
//
// It follows SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", 2002). Once a second a
// daemon probes one other member directly and, if that fails, indirectly through
// helpers. A member that fails two rounds is suspected; it is declared dead unless
// it refutes the suspicion in time. Changes are gossiped as deltas on probes, and
// each is also pushed to a few neighbours at once. Unlike in SWIM, a daemon probes
// its successors on a fixed set of hash rings, so that the number of connections
// doesn't grow with the fleet. Daemons whose tables stay different compare bucket
// hashes and fetch the records that differ (anti-entropy).
//
// Each record has a single writer: the daemon that it describes, or for a backend
// server the daemon on its VM. The platform's store serves only for discovery, by
// daemons that know no other and by partitions of the fleet that have lost each
// other.
//
// # Usage
//
//	r := roster.New(self, seeds, randomSeed, now)
//	for _, action := range r.Update(now, roster.Tick{}) { ... }
//	r.Members()
//	r.Isolated(now)
//
// A Roster is not safe for concurrent use. The caller must carry out the actions
// that Update returns in their order, and pass times that don't go backwards.
package roster

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// Intervals, timeouts and retention times.
const (
	// TickInterval is the time between two Tick events.
	TickInterval = 200 * time.Millisecond
	// ProbeInterval is the time between the starts of two probe rounds.
	ProbeInterval = time.Second
	// DirectTimeout is the time that a member has to answer a direct probe before
	// helpers are asked to probe it.
	DirectTimeout = 500 * time.Millisecond
	// HelperTimeout is the time that helpers have to report an answer before the
	// probe round has failed.
	HelperTimeout = time.Second
	// SuspicionTimeout is the time that a suspected member has to refute the
	// suspicion before it is declared dead.
	SuspicionTimeout = 5 * time.Second
	// GoneRetention is the time for which the record of a gone backend server is kept.
	GoneRetention = 2 * time.Minute
	// DeadRetention is the minimum time for which the record of a dead member is kept.
	// While it is kept, the member is probed now and then, unless it departed.
	DeadRetention = time.Hour
	// reconnectInterval is the time between two probes of dead members and seeds.
	reconnectInterval = 5 * time.Second
	// syncInterval is the minimum time between two Sync requests, except for a daemon
	// that is joining or whose last request brought changes.
	syncInterval = 5 * time.Second
	// quietTime is the time without changes after which a difference between two
	// tables is no longer expected to be resolved by deltas under way.
	quietTime = 2 * time.Second
	// recordCleanupDelay is the time for which a member must be dead before a watcher
	// in the same data centre removes its record from the store.
	recordCleanupDelay = time.Minute
	// remoteRecordCleanupDelay is the same for watchers in other data centres. It is
	// longer because they may only have lost the connection to the member.
	remoteRecordCleanupDelay = 30 * time.Minute
	// pauseThreshold is the time between two ticks above which the process is taken
	// to have been paused.
	pauseThreshold = 2 * time.Second
)

// Roster is the membership table of one daemon, with the state of its probes.
type Roster struct {
	self     Delta
	revision uint64
	seeds    []string
	random   *rand.Rand
	started  time.Time
	now      time.Time

	table      table
	queue      queue
	neighbours []member.ID
	// bridges are those of the neighbours that are in other regions, if WithRegions is given.
	bridges []member.ID
	// localWatchers and remoteWatchers are the results of Watchers.
	localWatchers, remoteWatchers []member.ID
	// known is the number of members that did not depart, self included;
	// alive is the number of those that are not dead.
	known, alive int
	// stale reports whether neighbours, watchers and counts must be recomputed.
	stale bool
	// watches reports whether this daemon watches the member records in the store.
	watches bool
	// forwarding reports whether the deltas being merged are queued for other members.
	forwarding bool
	// recordRequested reports whether this daemon's record has been given out for writing.
	recordRequested bool
	// version is the highest version given to a record of this daemon.
	version uint64

	probing      probing
	connectivity connectivity
	lastTick     time.Time
	// unconfirmed reports whether an earlier run of this daemon may have had a higher
	// incarnation.
	unconfirmed bool
	// changedAt is the time of the last change of the table.
	changedAt time.Time
	// syncedAt is the time of the last Sync request.
	syncedAt time.Time
	// goneSweptAt is the time of the last search for expired records of gone backend
	// servers.
	goneSweptAt time.Time

	actions []decision.Action
}

// Option configures a Roster.
type Option func(*Roster)

// WithUnconfirmedIncarnation states that an earlier run of this daemon may have had
// a higher incarnation. When the roster receives a higher incarnation that may be
// that run's, it raises its own above it instead of reporting Superseded.
func WithUnconfirmedIncarnation() Option { return func(r *Roster) { r.unconfirmed = true } }

// New returns a roster that contains only self, whose incarnation must be positive.
// The seeds are control addresses (host:port) of other daemons.
func New(self member.Member, seeds []string, randomSeed uint64, now time.Time, options ...Option) *Roster {
	r := &Roster{
		seeds:   slices.Clone(seeds),
		random:  rand.New(rand.NewPCG(randomSeed, randomSeed)),
		started: now,
		now:     now,
		table:   newTable(),
		queue:   newQueue(),
		probing: newProbing(now),
		stale:   true,
		version: 1,
	}
	r.self = Delta{
		ID: self.ID, Incarnation: self.Incarnation, Version: 1, State: uint8(member.Serving),
		Datacentre: self.Datacentre, Control: self.Control, Data: self.Data,
	}
	r.table.addMember(r.self).since = now
	r.queue.add(r.self)
	r.connectivity = newConnectivity(now)
	r.changedAt = now
	r.lastTick = now
	for _, option := range options {
		option(r)
	}
	return r
}

// Update applies one event and returns the actions that the caller must carry out;
// see the event and action types of this package.
func (r *Roster) Update(now time.Time, event decision.Event) []decision.Action {
	r.now = now
	r.actions = nil
	r.forwarding = true
	switch e := event.(type) {
	case Tick:
		r.tick()
	case Received:
		r.received(e.Message)
	case CallAnswered:
		r.answered(e.Seq, e.Message)
	case CallFailed:
		r.failed(e.Seq)
	case BackendSet:
		r.setOwnBackend(e.Backend)
	case RevisionSet:
		r.revision = max(r.revision, e.Revision)
		r.table.members[r.self.ID].revision = r.revision
	case Leave:
		r.leave()
	case Depart:
		r.depart()
	case StoreRecords:
		r.mergeRecords(e.Records)
	case StoreRestored:
		r.rewriteRecord()
	case StoreAnswered:
		r.connectivity.recordStoreAnswer(e.CalledAt, r.self.ID)
	}
	return r.actions
}

// Members returns all members in the table, dead ones included, ordered by ID.
func (r *Roster) Members() []member.Member {
	rows := r.table.sorted()
	members := make([]member.Member, 0, len(rows))
	for _, row := range rows {
		members = append(members, row.member())
	}
	return members
}

// Member returns the member with the given ID and reports whether it is in the table.
func (r *Roster) Member(id member.ID) (member.Member, bool) {
	row, ok := r.table.members[id]
	if !ok {
		return member.Member{}, false
	}
	return row.member(), true
}

// Backends returns the backend servers that are not gone and whose member is not
// dead, ordered by ID. Of two with the same ID it returns the one with the higher
// incarnation.
func (r *Roster) Backends() []backend.Backend {
	latest := map[backend.ID]backend.Backend{}
	for _, row := range r.table.sorted() {
		if !row.alive() {
			continue
		}
		for _, server := range r.table.backendRows(row.delta.ID) {
			b := server.backend()
			other, duplicate := latest[b.ID]
			if !server.gone() && (!duplicate || b.Incarnation > other.Incarnation) {
				latest[b.ID] = b
			}
		}
	}
	backends := make([]backend.Backend, 0, len(latest))
	for _, b := range latest {
		backends = append(backends, b)
	}
	slices.SortFunc(backends, func(a, b backend.Backend) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return backends
}

// Neighbours returns the members that this daemon probes: its successors on the rings.
func (r *Roster) Neighbours() []member.ID {
	r.refresh()
	return slices.Clone(r.neighbours)
}

// Watchers returns the serving daemons, without this one, that come first in the order of
// watchers, a few for each data centre: local holds those of this daemon's data centre,
// remote those of all others.
func (r *Roster) Watchers() (local, remote []member.ID) {
	r.refresh()
	return slices.Clone(r.localWatchers), slices.Clone(r.remoteWatchers)
}

func (r *Roster) emit(a decision.Action) { r.actions = append(r.actions, a) }

// recordChange records the time of a change of the table.
func (r *Roster) recordChange() { r.changedAt = r.now }

// refresh recomputes the neighbours, watchers and counts after a change of members.
func (r *Roster) refresh() {
	if !r.stale {
		return
	}
	r.stale = false
	neighbours, bridges, ok := r.table.regionalSuccessors(r.self)
	if !ok {
		neighbours = r.table.successors(r.self.ID)
	}
	r.neighbours, r.bridges = neighbours, bridges
	r.localWatchers, r.remoteWatchers = r.table.firstWatchers(r.self)
	r.known, r.alive = r.table.count()
}

func (r *Roster) tick() {
	paused := r.now.Sub(r.lastTick) > pauseThreshold
	r.lastTick = r.now
	if paused {
		r.resume()
	}
	if !r.recordRequested {
		r.recordRequested = true
		r.emit(WriteRecord{Record: r.ownRecord()})
	}
	r.refresh()
	r.expire()
	r.probe()
	r.pushFresh()
	r.chooseRole()
	r.cleanUpRecords()
}

// defersTo reports whether this daemon need not take over watching the store because
// reader, which reaches it, does so. A daemon that doesn't reach the store itself defers
// to any other; one that reaches it defers only to daemons before it in the order of
// watchers. So the first of all daemons that reach the store never defers.
func (r *Roster) defersTo(reader member.ID) bool {
	if reader == "" || reader == r.self.ID {
		return false
	}
	return !r.connectivity.storeFresh(r.now) || ringPosition(reader, 0) < ringPosition(r.self.ID, 0)
}

// chooseRole decides whether this daemon watches the store, and emits CheckStore
// when a watcher needs to know whether the store is reachable.
func (r *Roster) chooseRole() {
	outOfContact := r.connectivity.outOfContact(r.now)
	watches := outOfContact || r.table.watcherRank(r.self) < r.connectivity.watcherCount(r.now)
	if watches != r.watches {
		r.watches = watches
		r.emit(WatchStore{Watch: watches})
	}
	if watches && r.connectivity.checkDue(r.now, outOfContact) {
		r.emit(CheckStore{})
	}
}

// Self returns the ID of this daemon. It never changes, so Self alone may be called
// concurrently with Update.
func (r *Roster) Self() member.ID { return r.self.ID }
