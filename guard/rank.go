package guard

import (
	"time"

	"berylpass/choice/urgency"
	"berylpass/hop"
)

// RankOfCall returns the rank of a request that came without a key to the daemon on this VM, if the backend server on
// this VM has made it while it ran another request: a call expires at the deadline of the request that makes it. It
// inherits the rank of the running request whose deadline is the closest to its own. RankOfCall returns false if none is
// close: then the request is a newcomer like others.
func (g *Guard) RankOfCall(deadline time.Time) (urgency.Rank, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var closest *attempt
	for _, a := range g.attempts {
		if a.running && a.deadline.Sub(deadline).Abs() <= deadlineTolerance && (closest == nil || a.closer(closest, deadline)) {
			closest = a
		}
	}
	if closest == nil {
		return urgency.Rank{}, false
	}
	e := closest.envelope
	return e.Rank.Ranked(e.Class, e.Organisation).OfCall(), true
}

// closer reports whether the deadline of a is closer to the given one than that of b, or as close and a is the more
// urgent.
func (a *attempt) closer(b *attempt, deadline time.Time) bool {
	da, db := a.deadline.Sub(deadline).Abs(), b.deadline.Sub(deadline).Abs()
	if da != db {
		return da < db
	}
	return a.envelope.Rank.Inherited < b.envelope.Rank.Inherited
}

// hasRoomForCalls reports whether the services that attempts of the route call can answer before the attempt expires. A
// request that would run only to fail for want of a call is refused instead, before it runs. The caller holds g.mu.
func (g *Guard) hasRoomForCalls(now time.Time, e hop.Envelope) bool {
	if g.CallWait == nil {
		return true
	}
	left := g.started.Add(milliseconds(e.Expires)).Sub(now)
	for _, service := range g.calls.Services(e.Route) {
		if g.CallWait(service) > left {
			return false
		}
	}
	return true
}
