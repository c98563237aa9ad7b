// Package spread decides how configuration is distributed, as a state machine without
// I/O: when to fetch a revision, from whom, whether to put it in force, and whom to notify.
//
// The revision in force never falls, whatever the store or a peer holds. A daemon that
// puts a revision in force notifies its peers, which fetch it from that daemon. A new
// daemon compares its revision with the store and several peers before it counts as
// caught up.
//
// # Usage
//
//	s := spread.New(now)
//	for _, action := range s.Update(now, spread.Heard{Revision: 7, From: "vm-2"}) { ... }
//	if s.CaughtUp() { ... }
//
// A Spread is not safe for concurrent use.
package spread

import (
	"slices"
	"strings"
	"time"

	"berylpass/decision"
	"berylpass/fleet/member"
)

// Limits of a Spread.
const (
	// comparedPeers is the number of peers that a new daemon must hear before it serves, if
	// it knows as many.
	comparedPeers = 3
	// startTimeout is the time after which a new daemon stops waiting for a store and peers
	// that don't answer.
	startTimeout = 4 * time.Second
	// hedgeDelay is the time without an answer after which a second peer is asked as well.
	hedgeDelay = 500 * time.Millisecond
	// retryDelay is the pause before a source that failed is asked again.
	retryDelay = time.Second
	// maxRefuted is the number of false claims from which a source is no longer trusted. A
	// claim is false if the source answers with less, or with an invalid configuration.
	maxRefuted = 3
	// refutedDelay is the pause before a source that is no longer trusted is asked again.
	refutedDelay = 10 * time.Second
	// claimLifetime is the time after which a claim is dropped unless it is heard again. It
	// bounds how long a new daemon waits for a revision whose source can't be reached.
	claimLifetime = 15 * time.Second
	// failuresBeforeStore is the number of failures of one source after which the store is
	// read too.
	failuresBeforeStore = 3
	// maxPulls is the maximum number of simultaneous pulls from peers.
	maxPulls = 2
	// storeRetryInterval is the pause after a pull from the store that failed.
	storeRetryInterval = time.Second
)

// source is a daemon that claims a revision above the one in force here.
type source struct {
	revision uint64
	heardAt  time.Time
	// failures counts fetches that brought nothing new, refuted those among them that were
	// answered with less than claimed or with an invalid configuration.
	failures int
	refuted  int
	retryAt  time.Time
}

// trusted reports whether a claim is recent and has not been refuted too often.
func (s *source) trusted(now time.Time) bool {
	return s.refuted < maxRefuted && now.Sub(s.heardAt) < claimLifetime
}

// pull is a fetch that is under way; from is empty for the store.
type pull struct {
	from      member.ID
	startedAt time.Time
	// changed is true if the store was known to have changed when the pull began.
	changed bool
}

// Spread holds the state of configuration distribution at one daemon.
type Spread struct {
	started  time.Time
	revision uint64
	sources  map[member.ID]*source
	// heard holds the daemons that have stated a revision since the start.
	heard map[member.ID]bool
	// peers and recordsRead are those of the last Tick.
	peers       []member.ID
	recordsRead bool
	// pulls holds the pulls under way by number; seq is the last number given.
	pulls map[uint64]pull
	seq   uint64

	// storeAnswered is true once the store has answered a pull; storeWanted is true if
	// another pull from it is wanted, from storeNotBefore on.
	storeAnswered bool
	storeWanted   bool
	// storeChanged is true if the store is known to have changed since the last pull from it.
	storeChanged   bool
	storeNotBefore time.Time
	caughtUp       bool
	// actions collects the actions that Update returns.
	actions []decision.Action
}

// New returns a Spread without a configuration.
func New(now time.Time) *Spread {
	return &Spread{
		started: now, sources: map[member.ID]*source{}, heard: map[member.ID]bool{},
		pulls: map[uint64]pull{}, storeWanted: true,
	}
}

// Revision returns the revision in force at this daemon, 0 if there is none.
func (s *Spread) Revision() uint64 { return s.revision }

// CaughtUp reports whether this daemon has a configuration and, after its start, has compared
// it with the store and several peers, as far as they answered. The revision in force was then
// not below any that they stated, except for claims of daemons that failed to deliver the
// revision when asked, or couldn't be reached to be asked.
func (s *Spread) CaughtUp() bool { return s.caughtUp }

// Behind reports whether a trusted source claims a revision above the one in force.
func (s *Spread) Behind(now time.Time) bool {
	for _, src := range s.sources {
		if src.revision > s.revision && src.trusted(now) {
			return true
		}
	}
	return false
}

// Update applies one event and returns the actions to carry out, in order. The types of
// events and actions are those of this package.
func (s *Spread) Update(now time.Time, event decision.Event) []decision.Action {
	s.actions = nil
	switch e := event.(type) {
	case Tick:
		s.peers, s.recordsRead = e.Peers, e.RecordsRead
	case Heard:
		s.recordHeard(now, e)
	case StoreChanged:
		s.storeWanted, s.storeChanged = true, true
		s.storeNotBefore = now
	case Fetched:
		s.fetched(now, e)
	case FetchFailed:
		s.fetchFailed(now, e)
	}
	s.pullPeers(now)
	s.pullStore(now)
	s.checkCaughtUp(now)
	return s.actions
}

func (s *Spread) emit(a decision.Action) { s.actions = append(s.actions, a) }

// recordHeard adds, updates or removes the claim of a daemon.
func (s *Spread) recordHeard(now time.Time, e Heard) {
	s.heard[e.From] = true
	if e.Revision <= s.revision {
		delete(s.sources, e.From)
		return
	}
	src := s.sources[e.From]
	if src == nil {
		s.sources[e.From] = &source{revision: e.Revision, heardAt: now, retryAt: now}
		return
	}
	src.revision, src.heardAt = e.Revision, now
}

// fetched ends a pull and puts its revision in force if it is above the current one.
func (s *Spread) fetched(now time.Time, e Fetched) {
	finished, open := s.pulls[e.Number]
	if !open {
		return
	}
	delete(s.pulls, e.Number)
	if finished.from == "" {
		s.storeAnswered = true
	}
	if e.Revision <= s.revision {
		s.failed(now, finished.from, true)
		return
	}
	s.revision = e.Revision
	s.emit(Apply(e))
	s.emit(Notify{To: slices.Clone(s.peers), Revision: s.revision})
	for id, src := range s.sources {
		if src.revision <= s.revision {
			delete(s.sources, id)
		}
	}
}

// failed counts a fetch that brought nothing new. refuted is true if the source answered
// with less than it claimed. At every failuresBeforeStore-th failure of a
// source the store is read too.
func (s *Spread) failed(now time.Time, from member.ID, refuted bool) {
	src := s.sources[from]
	if src == nil {
		return
	}
	src.failures++
	src.retryAt = now.Add(retryDelay)
	if refuted {
		src.refuted++
	}
	if src.refuted >= maxRefuted {
		src.retryAt = now.Add(refutedDelay)
	}
	if src.failures%failuresBeforeStore == 0 {
		s.storeWanted = true
	}
}

func (s *Spread) fetchFailed(now time.Time, e FetchFailed) {
	failed, open := s.pulls[e.Number]
	if !open {
		return
	}
	delete(s.pulls, e.Number)
	if failed.from == "" {
		s.storeAnswered = s.storeAnswered || e.Empty
		s.storeNotBefore = now.Add(storeRetryInterval)
		// A daemon that serves tries the store again only if the store is known to have
		// changed; otherwise only the daemons that watch the store read it.
		if !e.Empty && (failed.changed || !s.caughtUp) {
			s.storeWanted, s.storeChanged = true, s.storeChanged || failed.changed
		}
		return
	}
	s.failed(now, failed.from, e.Invalid)
}

// pullPeers pulls from the peer with the highest claim, and from a second one if the first
// hasn't answered within hedgeDelay. It drops claims that are too old.
func (s *Spread) pullPeers(now time.Time) {
	asked := map[member.ID]bool{}
	for _, p := range s.pulls {
		if p.from == "" {
			continue
		}
		asked[p.from] = true
		if now.Sub(p.startedAt) < hedgeDelay {
			return
		}
	}
	if len(asked) >= maxPulls {
		return
	}
	best, found := member.ID(""), false
	for id, src := range s.sources {
		if now.Sub(src.heardAt) >= claimLifetime {
			delete(s.sources, id)
			continue
		}
		if asked[id] || now.Before(src.retryAt) {
			continue
		}
		if !found || s.preferred(id, best) {
			best, found = id, true
		}
	}
	if found {
		s.pull(now, best)
	}
}

// preferred reports whether to ask source a before b: higher revisions first, then fewer
// failures, then the order of IDs.
func (s *Spread) preferred(a, b member.ID) bool {
	x, y := s.sources[a], s.sources[b]
	if x.revision != y.revision {
		return x.revision > y.revision
	}
	if x.failures != y.failures {
		return x.failures < y.failures
	}
	return strings.Compare(string(a), string(b)) < 0
}

// pullStore pulls from the store if that is wanted and due, and no such pull is under way.
func (s *Spread) pullStore(now time.Time) {
	if !s.storeWanted || now.Before(s.storeNotBefore) {
		return
	}
	for _, p := range s.pulls {
		if p.from == "" {
			return
		}
	}
	s.pull(now, "")
	// A change of the store from here on requires another pull.
	s.storeWanted, s.storeChanged = false, false
}

func (s *Spread) pull(now time.Time, from member.ID) {
	s.seq++
	s.pulls[s.seq] = pull{from: from, startedAt: now, changed: s.storeChanged}
	s.emit(Pull{Number: s.seq, From: from})
}

// checkCaughtUp sets caughtUp once the daemon has a configuration, no trusted source claims
// a higher revision, and the comparison is complete or startTimeout has passed.
func (s *Spread) checkCaughtUp(now time.Time) {
	if s.caughtUp || s.revision == 0 {
		return
	}
	for _, src := range s.sources {
		if src.trusted(now) {
			return
		}
	}
	compared := s.recordsRead && s.storeAnswered && len(s.heard) >= min(comparedPeers, len(s.peers))
	s.caughtUp = compared || now.Sub(s.started) >= startTimeout
}
