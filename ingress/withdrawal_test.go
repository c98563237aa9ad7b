package ingress

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"berylpass/config/snapshot"
	"berylpass/fleet/member"
	"berylpass/guard"
	"berylpass/hop"
)

// agingConfiguration is a keyedConfiguration of a revision that can be changed.
type agingConfiguration struct {
	keyedConfiguration
	revision uint64
}

func (c *agingConfiguration) Current() snapshot.Snapshot {
	return c.keyedConfiguration.Current().WithRevision(c.revision).Index()
}

// TestWithdrawnKeyIsNotUsedAgain guards against a request that runs after its key has been refused
// as withdrawn, because the ingress and the next guard haven't received the newer configuration yet.
func TestWithdrawnKeyIsNotUsedAgain(t *testing.T) {
	c := &agingConfiguration{revision: 2}
	h := &refusingHop{reason: guard.ReasonKeyWithdrawn, revision: 4}
	i := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: c, Chooser: freshServers{}, Limit: fakeLimit{}, Hop: h, Guards: fakeGuards{}, Observer: noObserver{},
	})
	for _, step := range []struct {
		name     string
		revision uint64
		want     int
	}{
		{"refused by a guard", 2, http.StatusUnauthorized},
		{"repeated", 2, http.StatusServiceUnavailable},
		{"repeated at a revision in between", 3, http.StatusServiceUnavailable},
		{"at the guard's revision, which has the key again", 4, http.StatusOK},
	} {
		c.revision = step.revision
		r := httptest.NewRequest(http.MethodPost, "/fields", nil)
		r.Header.Set("Authorization", "Bearer "+knownSecret)
		w := httptest.NewRecorder()
		i.ServeHTTP(w, r)
		if w.Code != step.want {
			t.Errorf("%s: status %d, want %d", step.name, w.Code, step.want)
		}
	}
	if h.attempts != 2 {
		t.Errorf("%d attempts, want none while the ingress is behind the guard that has refused", h.attempts)
	}
}

// TestRefusalForTheRouteWithdrawsNoKey checks that refusals which concern no key keep no request out.
func TestRefusalForTheRouteWithdrawsNoKey(t *testing.T) {
	known := caller{organisation: "library", keyID: "k1"}
	for _, test := range []struct {
		of     caller
		report hop.Report
		want   bool
	}{
		{known, hop.Report{Reason: guard.ReasonKeyWithdrawn, Revision: 3}, true},
		{known, hop.Report{Reason: guard.ReasonKeyWithdrawn, Revision: 2}, false},
		{known, hop.Report{Reason: guard.ReasonUnproven, Revision: 3}, false},
		{caller{}, hop.Report{Reason: guard.ReasonKeyWithdrawn, Revision: 3}, false},
	} {
		w := newWithdrawals()
		w.record(test.of, 2, test.report)
		if got := w.contains(test.of, 2); got != test.want {
			t.Errorf("%+v refused with %s by %d: withdrawn is %t, want %t", test.of, test.report.Reason, test.report.Revision, got, test.want)
		}
	}
}
