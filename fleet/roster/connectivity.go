package roster

import (
	"time"

	"berylpass/fleet/member"
)

// Limits by which a daemon judges its own connections to the fleet and the store.
const (
	// contactTimeout is the time without a message from another daemon after which this
	// daemon may be isolated, and the time for which an answer of the store counts as
	// recent.
	contactTimeout = 4 * time.Second
	// outOfContactAfter is the time without a message from another daemon after which a
	// daemon watches the store whatever its place in the order of watchers.
	outOfContactAfter = 2 * time.Second
	// evidenceFreshFor is the age up to which evidence of the store counts as fresh.
	evidenceFreshFor = 15 * time.Second
	// checkInterval is the time between two checks of the store by a watcher.
	checkInterval = 3 * time.Second
	// outOfContactCheckInterval is the same for a daemon that is out of contact.
	outOfContactCheckInterval = time.Second
	// maxCheckInterval is the maximum time between two checks of a store that doesn't
	// answer.
	maxCheckInterval = 15 * time.Second
	// takeoverAfter is the time without evidence from a daemon to which this one defers
	// after which more daemons watch the store; their number doubles every
	// takeoverInterval.
	takeoverAfter    = 10 * time.Second
	takeoverInterval = 2 * time.Second
	// probeWindow is the number of most recent probe rounds by which a daemon judges
	// its own connections.
	probeWindow = 8
	// minAnsweredDivisor defines the share of answered probes, one in
	// minAnsweredDivisor, below which a daemon attributes the failures to its own
	// connection rather than to the probed members.
	minAnsweredDivisor = 4
)

// connectivity is what a daemon knows of its own connection to the fleet and the store.
// Evidence of the store is the knowledge that a daemon has reached it at a certain time.
type connectivity struct {
	// lastMessageAt is the time of the last message from another daemon.
	lastMessageAt time.Time
	// storeAnsweredAt is the time of this daemon's last call that the store answered.
	storeAnsweredAt time.Time
	// evidenceAt is the latest time at which any daemon, evidenceFrom, is known to have
	// reached the store.
	evidenceAt   time.Time
	evidenceFrom member.ID
	// otherEvidenceAt is the latest time at which a daemon to which this one defers is
	// believed to have reached the store; see Roster.defersTo.
	otherEvidenceAt time.Time
	lastCheckAt     time.Time
	// outcomes is a ring buffer that tells for each of the last rounds whether the
	// member answered; nextOutcome is the index of the oldest.
	outcomes    [probeWindow]bool
	nextOutcome int
}

func newConnectivity(now time.Time) connectivity {
	c := connectivity{lastMessageAt: now, evidenceAt: now, otherEvidenceAt: now}
	for i := range c.outcomes {
		c.outcomes[i] = true
	}
	return c
}

func (c *connectivity) recordMessage(now time.Time) { c.lastMessageAt = now }

func (c *connectivity) recordStoreAnswer(since time.Time, self member.ID) {
	c.storeAnsweredAt = since
	c.recordEvidence(since, self)
}

func (c *connectivity) recordEvidence(at time.Time, from member.ID) {
	if at.After(c.evidenceAt) {
		c.evidenceAt, c.evidenceFrom = at, from
	}
}

func (c *connectivity) recordOtherEvidence(at time.Time) {
	if at.After(c.otherEvidenceAt) {
		c.otherEvidenceAt = at
	}
}

// watcherCount returns the number of daemons per data centre that are to watch the
// store. It doubles every takeoverInterval while no daemon to which this one defers
// is known to reach the store.
func (c *connectivity) watcherCount(now time.Time) int {
	overdue := now.Sub(c.otherEvidenceAt) - takeoverAfter
	if overdue < 0 {
		return watchersPerDatacentre
	}
	return watchersPerDatacentre << min(1+int(overdue/takeoverInterval), 16)
}

func (c *connectivity) evidenceFresh(now time.Time) bool {
	return now.Sub(c.evidenceAt) < evidenceFreshFor
}

func (c *connectivity) recordProbe(answered bool) {
	c.outcomes[c.nextOutcome] = answered
	c.nextOutcome = (c.nextOutcome + 1) % probeWindow
}

func (c *connectivity) storeFresh(now time.Time) bool {
	return now.Sub(c.storeAnsweredAt) < contactTimeout
}

func (c *connectivity) outOfContact(now time.Time) bool {
	return now.Sub(c.lastMessageAt) >= outOfContactAfter
}

// cutOff reports whether this daemon is probably cut off, so that its failed probes
// don't show that others are dead: it is out of contact or fewer than one in
// minAnsweredDivisor of its last probe rounds succeeded, and the store has not answered
// it recently.
func (c *connectivity) cutOff(now time.Time) bool {
	answered := 0
	for _, ok := range c.outcomes {
		if ok {
			answered++
		}
	}
	disconnected := c.outOfContact(now) || answered*minAnsweredDivisor < probeWindow
	return disconnected && !c.storeFresh(now)
}

// checkDue reports whether it is time to check the store, and if so records the check.
// While the store doesn't answer, the interval grows up to maxCheckInterval.
func (c *connectivity) checkDue(now time.Time, outOfContact bool) bool {
	interval := checkInterval
	if outOfContact {
		interval = outOfContactCheckInterval
	}
	interval = max(interval, min(maxCheckInterval, now.Sub(c.storeAnsweredAt)/4))
	if now.Sub(c.storeAnsweredAt) < interval || now.Sub(c.lastCheckAt) < interval {
		return false
	}
	c.lastCheckAt = now
	return true
}

// Isolated reports whether this daemon may miss changes that others have received, such
// as the withdrawal of a key. It does if this daemon knows other members, the store has
// not answered it for contactTimeout, and one of these holds: no message from another
// daemon has come for contactTimeout, or no evidence of the store is fresh and more than
// half of the known members are dead.
//
// If only the smaller partition of a fleet reaches the store, neither partition is
// isolated: the smaller one has the store, and the larger one sees a majority of the
// fleet. Nor are two halves of equal size. The daemons concerned can't distinguish
// either case from an outage of the store.
func (r *Roster) Isolated(now time.Time) bool {
	r.refresh()
	if r.known <= 1 || r.connectivity.storeFresh(now) {
		return false
	}
	if now.Sub(r.connectivity.lastMessageAt) >= contactTimeout {
		return true
	}
	return !r.connectivity.evidenceFresh(now) && 2*r.alive < r.known
}
