package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"berylpass/choice/urgency"
	"berylpass/config/key"
	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/service"
	"berylpass/config/snapshot"
	"berylpass/fleet/member"
	"berylpass/hop"
	"berylpass/hop/forwarder"
)

// rankedConfiguration is a keyedConfiguration with an organisation that has a priority of its own and one that hasn't,
// a route of priority 2 and an open one of priority 3.
type rankedConfiguration struct{ keyedConfiguration }

const urgentSecret = "a-key-of-the-clinic-0123456789"

func (c rankedConfiguration) Current() snapshot.Snapshot {
	clinic := organisation.New("clinic").WithKey(key.New("k2", key.DigestOf(urgentSecret))).WithPriority(0)
	return c.keyedConfiguration.Current().WithService(service.New("rounds")).WithOrganisation(clinic).
		WithRoute(route.New("fields", "rounds").WithMatch("", "/fields").WithPriority(2).WithTargetLatency(time.Second)).
		WithRoute(route.New("parcels", "rounds").WithMatch("", "/parcels").WithOpen(true).WithPriority(3)).Index()
}

// recordingHop records the last envelope and answers as if the request ran.
type recordingHop struct{ last hop.Envelope }

func (h *recordingHop) Forward(_ context.Context, _ string, e hop.Envelope, _ forwarder.Request) (forwarder.Answer, error) {
	h.last = e
	return forwarder.Answer{Status: http.StatusOK, Header: http.Header{}, Report: hop.Report{Attempt: e.Attempt, Ending: hop.Ran}}, nil
}

// TestRankOfRequests checks which rank goes to the guard: an organisation's priority counts before its route's, and a
// call has the rank that the guard gives it.
func TestRankOfRequests(t *testing.T) {
	parent := urgency.Of(1, "library").OfCall()
	for _, test := range []struct {
		path, secret string
		ranked, call bool
		want         urgency.Rank
	}{
		{"/fields", knownSecret, true, false, urgency.Of(2, "library")},
		{"/fields", urgentSecret, true, true, urgency.Of(0, "clinic")},
		{"/parcels", "", true, false, urgency.Of(3, "")},
		{"/parcels", "", true, true, parent},
		{"/fields", urgentSecret, false, true, urgency.Rank{}},
	} {
		h := &recordingHop{}
		i := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
			Configuration: rankedConfiguration{}, Chooser: freshServers{}, Limit: fakeLimit{}, Hop: h, Guards: fakeGuards{}, Observer: noObserver{},
			Ranked:     test.ranked,
			RankOfCall: func(time.Time) (urgency.Rank, bool) { return parent, test.call },
		})
		r := httptest.NewRequest(http.MethodPost, test.path, nil)
		if test.secret != "" {
			r.Header.Set("Authorization", "Bearer "+test.secret)
		}
		i.ServeHTTP(httptest.NewRecorder(), r)
		if h.last.Rank != test.want || (h.last.Target != 0) != (test.path == "/fields") {
			t.Errorf("%+v: sent with rank %+v and target %d", test, h.last.Rank, h.last.Target)
		}
	}
}
