package guard

import (
	"context"
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/config/class"
	"berylpass/config/datacentre"
	"berylpass/config/key"
	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/service"
	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/hop"
	"berylpass/leg"
)

// withHomes is a configuration with a route and an organisation that are at home in other regions than srem.
type withHomes struct{}

func (withHomes) ProvenNewest(time.Time) bool { return true }

func (withHomes) Current() snapshot.Snapshot {
	return snapshot.New(1).WithDatacentre(datacentre.New("srem", "wielkopolska")).WithService(service.New("rounds")).
		WithOrganisation(organisation.New("near").WithHomeRegions("wielkopolska").WithKey(key.New("k1", key.Digest{1}))).
		WithOrganisation(organisation.New("far").WithHomeRegions("mazowsze").WithKey(key.New("k2", key.Digest{2}))).
		WithRoute(route.New("all", "rounds").WithMatch("", "/all")).
		WithRoute(route.New("near-only", "rounds").WithMatch("", "/near").WithHomeRegions("wielkopolska")).
		WithRoute(route.New("far-only", "rounds").WithMatch("", "/far").WithHomeRegions("mazowsze")).Index()
}

// TestGuardRunsNothingOutsideItsHomes checks that the guard itself refuses, as not run, a request that an ingress sent to a
// region that is no home of its route or of its organisation.
func TestGuardRunsNothingOutsideItsHomes(t *testing.T) {
	g := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: withHomes{}, Observer: &revisionRecorder{stateRecorder: stateRecorder{states: map[backend.ID]backend.State{}}},
		Leg: &hookLeg{duringConnect: func() {}}, Limit: unlimited{},
	})
	defer g.Close()
	g.Heartbeat(backend.New("i-1", "rounds", "vm-1").WithAddress("10.0.0.1:80").WithSlots(4).WithIncarnation(1), 1, 0)
	for n, test := range []struct {
		route, organisation, key string
		runs                     bool
	}{
		{"all", "near", "k1", true},
		{"near-only", "near", "k1", true},
		{"all", "far", "k2", false},
		{"far-only", "near", "k1", false},
		{"near-only", "far", "k2", false},
	} {
		e := hop.Envelope{
			Attempt: id.New("vm-2", 1, uint64(n)), Backend: "i-1", Incarnation: 1, Route: test.route,
			Organisation: test.organisation, KeyID: test.key, Revision: 1, Expires: 5000, TokenExpires: 5000, Class: class.Reservation,
		}
		_, got := g.Run(context.Background(), e, leg.Request{Method: "POST", Target: "/"})
		if runs := got.Reason != ReasonNotHome; runs != test.runs || !runs && got.Ending != hop.NotRun {
			t.Errorf("route %s, organisation %s: ending %v, reason %q; want it to run: %v", test.route, test.organisation, got.Ending, got.Reason, test.runs)
		}
	}
}
