// Package recovery decides how a daemon that starts learns which departures earlier runs of it
// have acknowledged: from the list in the platform's store and from the daemons that hold
// copies. Either may be unavailable, and each may know of departures that the other doesn't.
//
// The departures count as known once the holders of the copies have answered and the list has
// been read or can't be read at present. Until then a heartbeat may be a late one from before
// a departure. A daemon that reaches neither store nor peers doesn't wait for them longer than
// MaxWait.
//
// # Usage
//
//	r := recovery.New(now, random)
//	for _, action := range r.Update(now, recovery.Tick{Peers: ids, RecordsRead: true}) {
//		// carry out ReadList and Recall, and report their results; Known comes once
//	}
//
// A Recovery is not safe for concurrent use.
package recovery

import (
	"math/rand/v2"
	"time"

	"berylpass/decision"
	"berylpass/fleet/member"
)

const (
	// MaxWait is the time after which the departures count as known although neither the store
	// nor the holders have answered. Within this time running daemons probe one that has
	// restarted.
	MaxWait = 3 * time.Second
	// recallInterval is the pause after a call of a peer that brought no complete answer.
	recallInterval = 250 * time.Millisecond
	// minReadPause and maxReadPause bound the exponential back-off between reads of the list
	// that fail. Each pause is multiplied by a random factor from 0.5 to 1.5, since many daemons
	// may start while the store is unavailable.
	minReadPause = time.Second
	maxReadPause = 8 * time.Second
)

// Tick passes the time. Peers holds the other daemons that are not dead. RecordsRead reports
// whether the member records have been read from the store, so that Peers holds all of them.
type Tick struct {
	Peers       []member.ID
	RecordsRead bool
}

// ListRead answers ReadList: the list was read.
type ListRead struct{}

// ListFailed answers ReadList: the list could not be read.
type ListFailed struct{}

// StoreAnswered reports that the store has answered another call of this daemon.
type StoreAnswered struct{}

// Recalled answers Recall. Complete reports whether enough holders were heard.
type Recalled struct{ Complete bool }

// ReadList asks for the list of departures to be read from the store.
type ReadList struct{}

// Recall asks for the copies of the departures, by way of a peer, which is to read the list as
// well if ReadList is set.
type Recall struct {
	From     member.ID
	ReadList bool
}

// Known reports that heartbeats may be accepted. TimedOut is true if that is only because
// MaxWait has passed.
type Known struct{ TimedOut bool }

// Recovery is the state of one daemon since its start.
type Recovery struct {
	started time.Time
	random  *rand.Rand
	tick    Tick

	listRead, reading bool
	// failures counts the reads of the list that failed.
	failures int
	readAt   time.Time

	recalled, recalling bool
	recallAt            time.Time

	known   bool
	actions []decision.Action
}

var _ decision.System = (*Recovery)(nil)

// New returns the state of a daemon that starts now.
func New(now time.Time, random *rand.Rand) *Recovery { return &Recovery{started: now, random: random} }

// Done reports whether nothing remains to be learnt.
func (r *Recovery) Done() bool { return r.known && r.listRead && r.recalled }

// Update applies an event and returns the actions to carry out.
func (r *Recovery) Update(now time.Time, event decision.Event) []decision.Action {
	r.actions = nil
	switch e := event.(type) {
	case Tick:
		r.tick = e
	case ListRead:
		r.listRead, r.reading = true, false
	case ListFailed:
		r.reading = false
		pause := min(minReadPause<<min(r.failures, 3), maxReadPause)
		r.failures++
		r.readAt = now.Add(pause/2 + time.Duration(r.random.Int64N(int64(pause))))
	case StoreAnswered:
		r.readAt = now
	case Recalled:
		r.recalled, r.recalling = r.recalled || e.Complete, false
		r.recallAt = now.Add(recallInterval)
	}
	r.read(now)
	r.recall(now)
	r.checkKnown(now)
	return r.actions
}

func (r *Recovery) emit(a decision.Action) { r.actions = append(r.actions, a) }

func (r *Recovery) read(now time.Time) {
	if r.listRead || r.reading || now.Before(r.readAt) {
		return
	}
	r.reading = true
	r.emit(ReadList{})
}

func (r *Recovery) recall(now time.Time) {
	if r.alone() {
		r.recalled = true
	}
	// The peers are asked after the first read, since they read the list if that has failed.
	tried := r.listRead || r.failures > 0
	if r.recalled || r.recalling || !tried || len(r.tick.Peers) == 0 || now.Before(r.recallAt) {
		return
	}
	r.recalling = true
	r.emit(Recall{From: r.tick.Peers[r.random.IntN(len(r.tick.Peers))], ReadList: !r.listRead})
}

// alone reports whether the fleet certainly has no other daemon.
func (r *Recovery) alone() bool { return r.tick.RecordsRead && len(r.tick.Peers) == 0 }

func (r *Recovery) checkKnown(now time.Time) {
	if r.known {
		return
	}
	timedOut := now.Sub(r.started) >= MaxWait
	if complete := r.recalled && (r.listRead || r.failures > 0); !complete && !timedOut {
		return
	}
	r.known = true
	r.emit(Known{TimedOut: !r.recalled || !r.listRead && r.failures == 0})
}
