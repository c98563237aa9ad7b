package guard

import (
	"time"

	"berylpass/config/home"
	"berylpass/config/route"
	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/hop"
)

// The reasons for which a guard refuses a request and reports it as not run. The ledger
// and the gate have further ones.
const (
	// ReasonExpired means that the attempt's deadline has passed. ledger.Expired has the same
	// value and means that it passed so long ago that the ledger's entry has been removed.
	ReasonExpired      = "expired"
	ReasonNoRoute      = "no-route"
	ReasonKeyWithdrawn = "key-withdrawn"
	ReasonNoBackend    = "no-backend"
	ReasonDraining     = "backend-draining"
	ReasonOutOfService = "datacentre-out-of-service"
	ReasonOtherService = "other-service"
	// ReasonNotHome means that the request's route or organisation has home regions, and that this VM is in another one.
	ReasonNotHome = "not-a-home-region"
	// ReasonOtherInstance means that another instance answered at the backend server's address.
	ReasonOtherInstance = "other-instance"
	ReasonLeaving       = "leaving"
	ReasonOverLimit     = "over-limit"
	// ReasonNoHolder means that no holder of the organisation's limit could be reached, or that
	// the organisation has no limit. The value is older than the name.
	ReasonNoHolder = "no-lease"
	// ReasonOutdated means that the guard's configuration doesn't allow the request, and that the
	// ingress has a newer one, which the guard hasn't received yet; or that a holder of the limit
	// hasn't.
	ReasonOutdated = "configuration-outdated"
	// ReasonUnproven means that the guard's configuration, which isn't older than the ingress's,
	// doesn't allow the request, and that a newer one may have been accepted by now.
	ReasonUnproven = "configuration-unproven"
	ReasonShed     = "backend-shed"
	// ReasonRetryBudget means that the retry budget of a service that the attempt would
	// call again is used up.
	ReasonRetryBudget = "retry-budget-empty"
	// ReasonMakesCalls means that a hedged request would make calls to other services.
	ReasonMakesCalls = "makes-calls"
	ReasonNotSent    = "backend-unreachable"
	// ReasonNoRoomForCalls means that a service that the request's run would call can't answer in time.
	ReasonNoRoomForCalls = "no-room-for-calls"
	reasonNone           = ""
)

// The reasons for which a guard can't tell whether a request ran to completion.
const (
	// ReasonBackendLost means that the backend server's answer did not arrive completely.
	ReasonBackendLost = "backend-lost"
	// ReasonDeadlinePassed means that the backend server had not answered by the deadline.
	ReasonDeadlinePassed = "deadline-passed"
)

// check returns why the request must not run now, or reasonNone. The caller holds g.mu.
func (g *Guard) check(now time.Time, s snapshot.Snapshot, e hop.Envelope) string {
	if now.Sub(g.started).Milliseconds() >= e.Expires {
		return ReasonExpired
	}
	route, reason := permitted(s, e)
	switch {
	case reason == reasonNone:
	case s.Revision < e.Revision:
		return ReasonOutdated
	case !g.Configuration.ProvenNewest(now):
		return ReasonUnproven
	default:
		return reason
	}
	if !s.InService(g.self.Datacentre) {
		return ReasonOutOfService
	}
	if !home.New(route, s.Organisations[e.Organisation]).Allows(s.Datacentres[g.self.Datacentre].Region) {
		return ReasonNotHome
	}
	target, known := g.backends[e.Backend]
	switch {
	case !known:
		return ReasonNoBackend
	case !route.Serves(target.Service):
		return ReasonOtherService
	case target.State != backend.Serving:
		return ReasonDraining
	case !g.Versions.Allows(target.Backend):
		return ReasonVersion
	}
	return reasonNone
}

// permitted returns the route of a request, and why the configuration doesn't permit the
// request on any VM, or reasonNone.
func permitted(s snapshot.Snapshot, e hop.Envelope) (route.Route, string) {
	r, ok := s.Routes[e.Route]
	switch {
	case !ok:
		return r, ReasonNoRoute
	case !allowed(s, e, r.Open):
		return r, ReasonKeyWithdrawn
	}
	return r, reasonNone
}

// allowed reports whether the key that came with the request is in force for
// its organisation, or no key is needed.
func allowed(s snapshot.Snapshot, e hop.Envelope, open bool) bool {
	if e.Organisation == "" {
		return open
	}
	return s.HasKey(e.Organisation, e.KeyID)
}

// inService reports whether backend servers of this VM take new work.
func (g *Guard) inService(s snapshot.Snapshot) bool {
	return !g.leaving && s.InService(g.self.Datacentre)
}
