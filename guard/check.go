package guard

import (
	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/hop"
)

// The reasons for which a guard refuses a request as not run.
const (
	ReasonOtherIncarnation  = "other-incarnation"
	ReasonExpired           = "expired"
	ReasonNoRoute           = "no-route"
	ReasonKeyWithdrawn      = "key-withdrawn"
	ReasonNoBackend         = "no-backend"
	ReasonDraining          = "backend-draining"
	ReasonOutOfService      = "datacentre-out-of-service"
	ReasonOtherService      = "other-service"
	ReasonLeaving           = "leaving"
	reasonNone              = ""
	organisationOfOpenRoute = ""
)

// check returns why the request must not run on the target now, or reasonNone.
// The clock is the guard's, in milliseconds since its start.
func check(s snapshot.Snapshot, self member.Member, e hop.Envelope, clock int64, target backend.Backend, known bool) string {
	if e.Incarnation != self.Incarnation {
		return ReasonOtherIncarnation
	}
	if clock >= e.Expires {
		return ReasonExpired
	}
	route, ok := s.Routes[e.Route]
	if !ok {
		return ReasonNoRoute
	}
	if e.Organisation == organisationOfOpenRoute && !route.Open {
		return ReasonKeyWithdrawn
	}
	if e.Organisation != organisationOfOpenRoute && !s.HasKey(e.Organisation, e.KeyID) {
		return ReasonKeyWithdrawn
	}
	if !s.InService(self.Datacentre) {
		return ReasonOutOfService
	}
	if !known {
		return ReasonNoBackend
	}
	if target.Service != route.Service {
		return ReasonOtherService
	}
	if target.State != backend.Serving {
		return ReasonDraining
	}
	return reasonNone
}
