package revision

import (
	"errors"
	"time"

	"berylpass/config/snapshot"
	"berylpass/store/object"
)

// On the platform a revision holds the store's era; see object.VersionIn. So the revisions of a
// store that has gone on from an older copy are above all earlier ones, although the store gives
// out the same numbers again. Its content may be older than what it had acknowledged before:
// then the operators' own number tells, and the configuration in force stays until they have
// written theirs again.

// ErrOlder reports a configuration of a later era that is older, by the operators' own number,
// than the one in force.
var ErrOlder = errors.New("store has gone on from a copy with an older configuration")

// WithOnEra sets a function that is called when this daemon learns of a later era of the store,
// from the store or from another daemon. It must not block.
func WithOnEra(observe func(era uint64)) Option {
	return func(f *Follower) { f.onEra = observe }
}

// settleTime is the time from the learning of a later era for which a read of it is no proof: the
// store may have lost a configuration that no daemon had read yet, and the operators need a
// moment to write it again. The last proof of the earlier era lasts longer.
const settleTime = time.Second

// LearnEra records an era of the store that is known to this daemon. Proofs and lists of earlier
// eras no longer count.
func (f *Follower) LearnEra(era uint64) { f.learnEra(era, 0) }

// learnEra records an era, and for how long yet its reads are no proof at the daemon that states
// it. A daemon that has known no earlier era can't tell by itself whether this one is new.
func (f *Follower) learnEra(era uint64, settling time.Duration) {
	known := f.era.Load()
	if f.proof == nil || era < known || era == known && settling == 0 {
		return
	}
	f.mu.Lock()
	known = f.era.Load()
	p := f.proof
	if era > known {
		f.era.Store(era)
		p.firstEra = known == 0
		if !p.firstEra {
			p.settledAt = p.uptime() + settleTime
		}
	}
	if settling > 0 && p.firstEra && era >= known {
		p.settledAt = max(p.settledAt, p.uptime()+settling)
		p.confirmed, p.claimed = f.ifProof(p.confirmed), f.ifProof(p.claimed)
	}
	f.mu.Unlock()
	if era > known {
		f.onEra(era)
	}
}

// ifProof returns an observation if it counts as proof, else none. The caller holds mu.
func (f *Follower) ifProof(o observation) observation {
	if object.EraOf(o.revision) == f.era.Load() && o.at < f.proof.settledAt {
		return observation{}
	}
	return o
}

// recordNotice records what another daemon states of its configuration and of the store's era.
func (f *Follower) recordNotice(n Notice) {
	if f.proof != nil {
		f.learnEra(n.Era, n.Settling)
		f.recordNumber(n)
	}
	f.RecordRevision(n.Revision, n.From)
}

// recordNumber records the operators' number of a configuration from an earlier era than the one
// in force.
func (f *Follower) recordNumber(n Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if object.EraOf(n.Revision) < object.EraOf(f.applied.Load().snapshot.Revision) {
		f.proof.newestNumber = max(f.proof.newestNumber, n.Number)
	}
}

// notice returns what this daemon states to others.
func (f *Follower) notice() Notice {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.noticeLocked()
}

// noticeLocked is notice for a caller that holds mu.
func (f *Follower) noticeLocked() Notice {
	held := f.applied.Load().snapshot
	n := Notice{Revision: held.Revision, Number: held.Number, Era: f.era.Load(), From: f.fleet.Self()}
	if f.proof != nil {
		n.Settling = max(0, f.proof.settledAt-f.proof.uptime())
	}
	return n
}

// isSuperseded reports whether another daemon has a configuration from an earlier era of the store
// that is newer than the one in force. This daemon has then started with a copy that lacks it.
// The caller holds mu.
func (f *Follower) isSuperseded() bool {
	return f.proof.newestNumber > f.applied.Load().snapshot.Number
}

// isRefused reports whether a revision that was read has been refused with ErrOlder. The caller
// holds mu.
func (f *Follower) isRefused(revision uint64) bool {
	return revision != 0 && f.refusedOlder.Load() == revision
}

// isOlder reports whether next, a configuration of another era than held, is older.
func isOlder(next, held snapshot.Snapshot) bool {
	return object.EraOf(next.Revision) != object.EraOf(held.Revision) && next.Number < held.Number
}

// refuseOlder reports a configuration that is older than the one in force, once.
func (f *Follower) refuseOlder(next snapshot.Snapshot) {
	if f.refusedOlder.Swap(next.Revision) != next.Revision {
		f.refused("", ErrOlder)
	}
}
