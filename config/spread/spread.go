// Package spread is the decision core of configuration distribution: when to fetch
// a revision, from whom, whether to put it in force, and whom to tell.
//
// The revision in force only rises, whatever the store or a peer shows. A daemon
// that puts a revision in force tells its peers, which fetch it from the daemon
// that told them. A new daemon compares the store and several peers before it
// counts as caught up.
//
// # Usage
//
//	s := spread.New(now)
//	for _, action := range s.Update(now, spread.Heard{Revision: 7, From: "vm-2"}) { ... }
//	if s.CaughtUp(now) { ... }
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
	// comparedPeers is the number of peers that a new daemon hears before it serves,
	// if it knows as many.
	comparedPeers = 3
	// patience is the time that a new daemon gives the store and peers that are silent.
	patience = 4 * time.Second
	// hedgeDelay is the time after which a second source is asked as well.
	hedgeDelay = 500 * time.Millisecond
	// retryDelay is the pause before a source that failed is asked again.
	retryDelay = time.Second
	// maxRefuted is the number of times a source may show less than it claimed.
	maxRefuted = 3
	// refutedDelay is the pause before a source that did so is asked again.
	refutedDelay = 10 * time.Second
	// claimLifetime is the time for which a start waits for a revision whose source
	// cannot be reached and is not heard of any more.
	claimLifetime = 15 * time.Second
	// storeAfter is the number of failures of a source after which the store is asked.
	storeAfter = 3
	// maxPulls is the number of pulls from peers at once.
	maxPulls = 2
	// storeInterval is the pause between tries of the store until it has answered.
	storeInterval = time.Second
)

// source is a daemon that claims a revision above the one in force here.
type source struct {
	revision uint64
	heardAt  time.Time
	// failures counts fetches that failed; refuted those that showed less than claimed.
	failures int
	refuted  int
	retryAt  time.Time
}

// trusted reports whether a claim is recent and has not been refuted too often.
func (s *source) trusted(now time.Time) bool {
	return s.refuted < maxRefuted && now.Sub(s.heardAt) < claimLifetime
}

// pull is a fetch that is under way.
type pull struct {
	from      member.ID
	startedAt time.Time
	// changed tells that the store was known to hold something new.
	changed bool
}

// Spread decides on the distribution of configuration for one daemon.
type Spread struct {
	started  time.Time
	revision uint64
	sources  map[member.ID]*source
	heard    map[member.ID]bool
	peers    []member.ID
	joined   bool
	pulls    map[uint64]pull
	seq      uint64

	storeAnswered bool
	storeWanted   bool
	// storeChanged tells that the store is known to hold something new.
	storeChanged bool
	storeAt      time.Time
	caughtUp     bool
	out          []decision.Action
}

// New returns a Spread without a configuration.
func New(now time.Time) *Spread {
	return &Spread{
		started: now, sources: map[member.ID]*source{}, heard: map[member.ID]bool{},
		pulls: map[uint64]pull{}, storeWanted: true,
	}
}

// Revision returns the revision in force, 0 for none.
func (s *Spread) Revision() uint64 { return s.revision }

// CaughtUp reports whether this daemon may serve: it has a configuration, and at
// its start compared it with the store and several peers, as far as they answered.
// The revision is then not below any that these showed, except from daemons that
// failed to show it when asked, or were lost before they could be asked.
func (s *Spread) CaughtUp() bool { return s.caughtUp }

// Update applies one event; see the event and action types of this package.
func (s *Spread) Update(now time.Time, event decision.Event) []decision.Action {
	s.out = nil
	switch e := event.(type) {
	case Tick:
		s.peers, s.joined = e.Peers, e.Joined
	case Heard:
		s.hear(now, e)
	case StoreChanged:
		s.storeWanted, s.storeChanged = true, true
		s.storeAt = now
	case Fetched:
		s.fetched(now, e)
	case FetchFailed:
		s.fetchFailed(now, e)
	}
	s.pullPeers(now)
	s.pullStore(now)
	s.compare(now)
	return s.out
}

func (s *Spread) emit(a decision.Action) { s.out = append(s.out, a) }

func (s *Spread) hear(now time.Time, e Heard) {
	s.heard[e.From] = true
	if e.Revision <= s.revision {
		delete(s.sources, e.From)
		return
	}
	known := s.sources[e.From]
	if known == nil {
		s.sources[e.From] = &source{revision: e.Revision, heardAt: now, retryAt: now}
		return
	}
	known.revision, known.heardAt = e.Revision, now
}

// fetched puts a revision in force if it is above the present one.
func (s *Spread) fetched(now time.Time, e Fetched) {
	done, open := s.pulls[e.Pull]
	if !open {
		return
	}
	delete(s.pulls, e.Pull)
	if done.from == "" {
		s.storeAnswered = true
	}
	if e.Revision <= s.revision {
		s.failed(now, done.from, true)
		return
	}
	s.revision = e.Revision
	s.emit(Apply(e))
	s.emit(Notify{To: slices.Clone(s.peers), Revision: s.revision})
	for id, known := range s.sources {
		if known.revision <= s.revision {
			delete(s.sources, id)
		}
	}
}

// failed counts a fetch that brought nothing new; refuted tells that the source
// answered with less than it claimed. After some failures the store is asked too.
func (s *Spread) failed(now time.Time, from member.ID, refuted bool) {
	known := s.sources[from]
	if known == nil {
		return
	}
	known.failures++
	known.retryAt = now.Add(retryDelay)
	if refuted {
		known.refuted++
	}
	if known.refuted >= maxRefuted {
		known.retryAt = now.Add(refutedDelay)
	}
	if known.failures%storeAfter == 0 {
		s.storeWanted = true
	}
}

func (s *Spread) fetchFailed(now time.Time, e FetchFailed) {
	failed, open := s.pulls[e.Pull]
	if !open {
		return
	}
	delete(s.pulls, e.Pull)
	if failed.from == "" {
		s.storeAnswered = s.storeAnswered || e.Empty
		s.storeAt = now.Add(storeInterval)
		// Daemons that serve leave the store alone unless they watch it.
		if !e.Empty && (failed.changed || !s.caughtUp) {
			s.storeWanted, s.storeChanged = true, s.storeChanged || failed.changed
		}
		return
	}
	s.failed(now, failed.from, e.Refuted)
}

// pullPeers asks the peer with the highest claim, and another one if that is slow.
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
	for id, known := range s.sources {
		if now.Sub(known.heardAt) >= claimLifetime {
			delete(s.sources, id)
			continue
		}
		if asked[id] || now.Before(known.retryAt) {
			continue
		}
		if !found || s.before(id, best) {
			best, found = id, true
		}
	}
	if found {
		s.pull(now, best)
	}
}

// before orders sources: higher revisions first, then fewer failures.
func (s *Spread) before(a, b member.ID) bool {
	x, y := s.sources[a], s.sources[b]
	if x.revision != y.revision {
		return x.revision > y.revision
	}
	if x.failures != y.failures {
		return x.failures < y.failures
	}
	return strings.Compare(string(a), string(b)) < 0
}

func (s *Spread) pullStore(now time.Time) {
	if !s.storeWanted || now.Before(s.storeAt) {
		return
	}
	for _, p := range s.pulls {
		if p.from == "" {
			return
		}
	}
	s.pull(now, "")
	// A change from here on asks for another pull.
	s.storeWanted, s.storeChanged = false, false
}

func (s *Spread) pull(now time.Time, from member.ID) {
	s.seq++
	s.pulls[s.seq] = pull{from: from, startedAt: now, changed: s.storeChanged}
	s.emit(Pull{Pull: s.seq, From: from})
}

// compare ends the start when what was heard is in force here.
func (s *Spread) compare(now time.Time) {
	if s.caughtUp || s.revision == 0 {
		return
	}
	for _, known := range s.sources {
		if known.trusted(now) {
			return
		}
	}
	compared := s.joined && s.storeAnswered && len(s.heard) >= min(comparedPeers, len(s.peers))
	s.caughtUp = compared || now.Sub(s.started) >= patience
}
