package roster

import (
	"time"

	"berylpass/fleet/member"
)

// Limits by which a daemon judges its own links.
const (
	// silenceLimit is the time without a word from another daemon after which this
	// daemon may be cut off.
	silenceLimit = 4 * time.Second
	// lonelyAfter is the time without a word after which it turns to the store itself.
	lonelyAfter = 2 * time.Second
	// evidenceLimit is the age up to which news from the store counts as fresh.
	evidenceLimit = 15 * time.Second
	// checkInterval is the time between checks of the store by watchers.
	checkInterval = 3 * time.Second
	// lonelyCheckInterval is the same for a daemon without a word from others.
	lonelyCheckInterval = time.Second
	// maxCheckInterval is the longest time between checks of a store that doesn't answer.
	maxCheckInterval = 15 * time.Second
	// takeoverAfter is the time without a daemon known to reach the store after
	// which more daemons try; their number doubles every takeoverInterval.
	takeoverAfter    = 10 * time.Second
	takeoverInterval = 2 * time.Second
	// probeWindow is the number of last probes by which links are judged.
	probeWindow = 8
	// doubtShare is the share of answered probes, one in doubtShare, below which a
	// daemon doubts its own links rather than the others.
	doubtShare = 4
)

// reach is what a daemon knows of its own connection to the fleet and the store.
type reach struct {
	heardAt time.Time
	// storeAt is the time at which the store last answered this daemon.
	storeAt time.Time
	// evidenceAt is the latest time at which any daemon is known to have reached the store.
	evidenceAt   time.Time
	evidenceFrom member.ID
	// elsewhereAt is the latest time at which a daemon that this one yields to is
	// believed to have reached the store.
	elsewhereAt time.Time
	checkedAt   time.Time
	outcomes    [probeWindow]bool
	next        int
}

func newReach(now time.Time) reach {
	r := reach{heardAt: now, evidenceAt: now, elsewhereAt: now}
	for i := range r.outcomes {
		r.outcomes[i] = true
	}
	return r
}

func (r *reach) heard(now time.Time) { r.heardAt = now }

func (r *reach) storeSeen(since time.Time, self member.ID) {
	r.storeAt = since
	r.evidence(since, self)
}

func (r *reach) evidence(at time.Time, from member.ID) {
	if at.After(r.evidenceAt) {
		r.evidenceAt, r.evidenceFrom = at, from
	}
}

func (r *reach) elsewhere(at time.Time) {
	if at.After(r.elsewhereAt) {
		r.elsewhereAt = at
	}
}

// watchers returns the number of daemons per data centre that are to watch the
// store: it doubles while none is known to reach it.
func (r *reach) watchers(now time.Time) int {
	silent := now.Sub(r.elsewhereAt) - takeoverAfter
	if silent < 0 {
		return watchersPerDatacentre
	}
	return watchersPerDatacentre << min(1+int(silent/takeoverInterval), 16)
}

func (r *reach) evidenceFresh(now time.Time) bool { return now.Sub(r.evidenceAt) < evidenceLimit }

func (r *reach) probed(answered bool) {
	r.outcomes[r.next] = answered
	r.next = (r.next + 1) % probeWindow
}

func (r *reach) storeFresh(now time.Time) bool { return now.Sub(r.storeAt) < silenceLimit }

func (r *reach) lonely(now time.Time) bool { return now.Sub(r.heardAt) >= lonelyAfter }

// doubtful reports whether a daemon's failed probes say more of itself than of others.
func (r *reach) doubtful(now time.Time) bool {
	answered := 0
	for _, ok := range r.outcomes {
		if ok {
			answered++
		}
	}
	silent := r.lonely(now) || answered*doubtShare < probeWindow
	return silent && !r.storeFresh(now)
}

// wantsCheck reports whether it is time to check the store, and notes the check.
func (r *reach) wantsCheck(now time.Time, lonely bool) bool {
	interval := checkInterval
	if lonely {
		interval = lonelyCheckInterval
	}
	interval = max(interval, min(maxCheckInterval, now.Sub(r.storeAt)/4))
	if now.Sub(r.storeAt) < interval || now.Sub(r.checkedAt) < interval {
		return false
	}
	r.checkedAt = now
	return true
}

// Isolated reports whether this daemon may miss a withdrawal that others have
// heard of: it knows others, and either nobody spoke to it for some seconds and
// the store doesn't answer it, or no news from the store has come for longer and
// most of the known members are dead to it.
//
// A fleet of which the smaller part alone reaches the store goes on in that part;
// the larger part sees itself as the fleet without a store and goes on as well.
// Likewise two halves of equal size both go on. Neither can be told from an
// outage of the store by the daemons concerned.
func (r *Roster) Isolated(now time.Time) bool {
	r.settle()
	if r.known <= 1 || r.reach.storeFresh(now) {
		return false
	}
	if now.Sub(r.reach.heardAt) >= silenceLimit {
		return true
	}
	return !r.reach.evidenceFresh(now) && 2*r.alive < r.known
}
