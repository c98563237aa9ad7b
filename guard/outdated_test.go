package guard

import (
	"cmp"
	"context"
	"fmt"
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/config/class"
	"berylpass/config/datacentre"
	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/service"
	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/hop"
	"berylpass/leg"
	"berylpass/limit/enforcer"
)

// withoutNewKey is a configuration of revision 1 in which the organisation "library" has no
// key. Its route "reserve" needs one.
type withoutNewKey struct{ unproven bool }

func (c withoutNewKey) ProvenNewest(time.Time) bool { return !c.unproven }

func (withoutNewKey) Current() snapshot.Snapshot {
	return snapshot.New(1).WithDatacentre(datacentre.New("srem", "wielkopolska")).WithService(service.New("rounds")).
		WithOrganisation(organisation.New("library")).
		WithRoute(route.New("reserve", "rounds").WithMatch("", "/reserve")).Index()
}

// exhausted is a Limit that has no token, for a reason; enforcer.ErrOverLimit if nil.
type exhausted struct {
	unlimited
	reason error
}

func (l exhausted) Draw(_ context.Context, name string) (enforcer.Token, error) {
	return enforcer.Token{}, &enforcer.Refusal{Organisation: name, Reason: cmp.Or(l.reason, enforcer.ErrOverLimit)}
}

// revisionRecorder records the revisions that were heard.
type revisionRecorder struct {
	stateRecorder
	heard []string
}

func (r *revisionRecorder) HeardRevision(revision uint64, from member.ID) {
	r.heard = append(r.heard, fmt.Sprintf("%d from %s", revision, from))
}

// TestOutdatedGuardSaysSo guards against a guard that refuses a request for the whole fleet
// by a configuration older than the ingress's, as after a cut or a pause.
func TestOutdatedGuardSaysSo(t *testing.T) {
	observer := &revisionRecorder{stateRecorder: stateRecorder{states: map[backend.ID]backend.State{}}}
	g := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: withoutNewKey{}, Observer: observer, Leg: &hookLeg{duringConnect: func() {}}, Limit: exhausted{},
	})
	defer g.Close()
	g.Heartbeat(backend.New("i-1", "rounds", "vm-1").WithAddress("10.0.0.1:80").WithSlots(4).WithIncarnation(1), 1, 0)
	for n, test := range []struct {
		route, organisation string
		revision            uint64
		want                string
	}{
		{"reserve", "library", 1, ReasonKeyWithdrawn},
		{"reserve", "library", 2, ReasonOutdated},
		{"new-route", "", 1, ReasonNoRoute},
		{"new-route", "", 2, ReasonOutdated},
	} {
		e := hop.Envelope{
			Attempt: id.New("vm-2", 1, uint64(n)), Backend: "i-1", Incarnation: 1, Route: test.route,
			Organisation: test.organisation, KeyID: "k1", Revision: test.revision, Expires: 5000, Class: class.Reservation,
		}
		_, got := g.Run(context.Background(), e, leg.Request{Method: "POST", Target: "/"})
		if got.Ending != hop.NotRun || got.Reason != test.want {
			t.Errorf("%s at revision %d: ending %s, reason %s; want %s, %s", test.route, test.revision, got.Ending, got.Reason, hop.NotRun, test.want)
		}
	}
	if want := "2 from vm-2"; len(observer.heard) != 4 || observer.heard[1] != want {
		t.Errorf("heard revisions %q, want the second to be %q", observer.heard, want)
	}
}

// TestGuardDeniesOnlyWithAProof guards against a 401 for the whole fleet by a guard whose
// configuration is newer than the ingress's, and yet not the newest, as after a cut of both: a key
// or route that it doesn't have may have been added again.
func TestGuardDeniesOnlyWithAProof(t *testing.T) {
	for unproven, wanted := range map[bool][2]string{false: {ReasonKeyWithdrawn, ReasonNoRoute}, true: {ReasonUnproven, ReasonUnproven}} {
		g := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
			Configuration: withoutNewKey{unproven: unproven}, Observer: &stateRecorder{states: map[backend.ID]backend.State{}}, Limit: exhausted{},
		})
		defer g.Close()
		for n, route := range []string{"reserve", "old-route"} {
			e := hop.Envelope{
				Attempt: id.New("vm-2", 1, uint64(n)), Backend: "i-1", Incarnation: 1, Route: route,
				Organisation: "library", KeyID: "k1", Revision: 0, Expires: 5000, Class: class.Reservation,
			}
			if _, got := g.Run(context.Background(), e, leg.Request{Method: "POST", Target: "/"}); got.Reason != wanted[n] {
				t.Errorf("unproven %t, %s: reason %s, want %s", unproven, route, got.Reason, wanted[n])
			}
		}
	}
}

// TestOutdatedGuardDoesNotRefuseByItsLimits guards against a 429 by a guard that hasn't
// received a raised limit yet.
func TestOutdatedGuardDoesNotRefuseByItsLimits(t *testing.T) {
	g := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: twoRoutes{}, Observer: &stateRecorder{states: map[backend.ID]backend.State{}}, Limit: exhausted{},
	})
	defer g.Close()
	_, err := g.token(context.Background(), hop.Envelope{Organisation: "library"})
	for revision, want := range map[uint64]string{1: ReasonOverLimit, 2: ReasonOutdated} {
		if got := g.refusalOf(err, hop.Envelope{Revision: revision}); got.reason != want || got.ending != hop.NotRun {
			t.Errorf("at revision %d: reason %s, want %s", revision, got.reason, want)
		}
	}
}

// TestOutdatedHolderIsNoRefusalForAll guards against a refusal for the whole fleet because the
// holder that a guard has asked for a token hasn't received a newer configuration yet.
func TestOutdatedHolderIsNoRefusalForAll(t *testing.T) {
	g := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: twoRoutes{}, Observer: &stateRecorder{states: map[backend.ID]backend.State{}},
		Limit: exhausted{reason: enforcer.ErrOutdated},
	})
	defer g.Close()
	_, err := g.token(context.Background(), hop.Envelope{Organisation: "library"})
	if got := g.refusalOf(err, hop.Envelope{Revision: 1}); got.reason != ReasonOutdated || got.ending != hop.NotRun {
		t.Errorf("reason %s, want %s", got.reason, ReasonOutdated)
	}
}
