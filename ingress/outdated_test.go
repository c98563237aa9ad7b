package ingress

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"berylpass/config/key"
	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/service"
	"berylpass/config/snapshot"
	"berylpass/fleet/member"
	"berylpass/guard"
	"berylpass/hop"
	"berylpass/hop/forwarder"
	"berylpass/limit/enforcer"
)

const knownSecret = "a-key-of-the-library-0123456789"

// keyedConfiguration is a Configuration of revision 2 with the route "/fields", which needs
// knownSecret. It may be outdated.
type keyedConfiguration struct{ behind, unproven bool }

func (keyedConfiguration) Ready(time.Time) error         { return nil }
func (c keyedConfiguration) Behind(time.Time) bool       { return c.behind }
func (c keyedConfiguration) ProvenNewest(time.Time) bool { return !c.behind && !c.unproven }
func (keyedConfiguration) Current() snapshot.Snapshot {
	library := organisation.New("library").WithKey(key.New("k1", key.DigestOf(knownSecret)))
	return snapshot.New(2).WithService(service.New("rounds")).WithOrganisation(library).
		WithRoute(route.New("fields", "rounds").WithMatch("", "/fields").WithDeadline(5 * time.Second)).Index()
}

// refusingHop is a Hop whose first guard refuses the request by its own configuration, and
// whose other guards run it.
type refusingHop struct {
	reason string
	// revision is that of the first guard.
	revision uint64
	attempts int
}

func (h *refusingHop) Forward(_ context.Context, _ string, e hop.Envelope, _ forwarder.Request) (forwarder.Answer, error) {
	h.attempts++
	report := hop.Report{Attempt: e.Attempt, Ending: hop.Ran, Revision: e.Revision}
	if h.attempts == 1 {
		report.Ending, report.Reason, report.Revision = hop.NotRun, h.reason, h.revision
	}
	return forwarder.Answer{Status: http.StatusOK, Header: http.Header{}, Report: report}, nil
}

// request sends one request to an ingress with the configuration and the hop.
func request(c Configuration, h Hop, limit Limit, path, secret string) *httptest.ResponseRecorder {
	i := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: c, Chooser: freshServers{}, Limit: limit, Hop: h, Guards: fakeGuards{}, Observer: noObserver{},
	})
	r := httptest.NewRequest(http.MethodPost, path, nil)
	r.Header.Set("Authorization", "Bearer "+secret)
	w := httptest.NewRecorder()
	i.ServeHTTP(w, r)
	return w
}

// TestRefusalOfAnOutdatedGuardIsNotFinal guards against a 401 for a new key, or a 429, because
// one guard that was cut off or paused hasn't received the newest configuration: the request
// must go to another guard.
func TestRefusalOfAnOutdatedGuardIsNotFinal(t *testing.T) {
	for _, reason := range []string{
		guard.ReasonKeyWithdrawn, guard.ReasonNoRoute, guard.ReasonOverLimit, guard.ReasonNoHolder, guard.ReasonOutdated,
	} {
		h := &refusingHop{reason: reason, revision: 1}
		if w := request(keyedConfiguration{}, h, fakeLimit{}, "/fields", knownSecret); w.Code != http.StatusOK || h.attempts != 2 {
			t.Errorf("%s: status %d after %d attempts, want 200 after 2", reason, w.Code, h.attempts)
		}
	}
}

// TestRefusalOfAnUpToDateGuardIsFinal checks that a request whose key has been withdrawn is
// refused without further attempts.
func TestRefusalOfAnUpToDateGuardIsFinal(t *testing.T) {
	for _, revision := range []uint64{2, 3} {
		h := &refusingHop{reason: guard.ReasonKeyWithdrawn, revision: revision}
		if w := request(keyedConfiguration{}, h, fakeLimit{}, "/fields", knownSecret); w.Code != http.StatusUnauthorized || h.attempts != 1 {
			t.Errorf("guard at revision %d: status %d after %d attempts, want 401 after 1", revision, w.Code, h.attempts)
		}
	}
}

// TestUnprovenRefusalIsNoDenial guards against a 401 by a guard whose configuration is newer than
// that of the ingress, but perhaps not the newest. The key may also have been withdrawn, so no
// other guard is tried.
func TestUnprovenRefusalIsNoDenial(t *testing.T) {
	h := &refusingHop{reason: guard.ReasonUnproven, revision: 3}
	w := request(keyedConfiguration{}, h, fakeLimit{}, "/fields", knownSecret)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || h.attempts != 1 {
		t.Errorf("status %d, Retry-After %q after %d attempts; want 503 with it after 1", w.Code, w.Header().Get("Retry-After"), h.attempts)
	}
}

// TestOutdatedIngressDeniesNothing guards against a 401 or 404 for a new key or route from a
// daemon that was cut off, paused or restarted and has an older configuration than the fleet.
func TestOutdatedIngressDeniesNothing(t *testing.T) {
	for _, test := range []struct {
		name          string
		configuration keyedConfiguration
		path, secret  string
		want          int
	}{
		{"unknown key", keyedConfiguration{}, "/fields", "another-key-0123456789", http.StatusUnauthorized},
		{"unknown key, newer revision known", keyedConfiguration{behind: true}, "/fields", "another-key-0123456789", http.StatusServiceUnavailable},
		{"unknown key, no recent proof", keyedConfiguration{unproven: true}, "/fields", "another-key-0123456789", http.StatusServiceUnavailable},
		{"unknown route", keyedConfiguration{}, "/parcels", knownSecret, http.StatusNotFound},
		{"unknown route, newer revision known", keyedConfiguration{behind: true}, "/parcels", knownSecret, http.StatusServiceUnavailable},
		{"unknown route, no recent proof", keyedConfiguration{unproven: true}, "/parcels", knownSecret, http.StatusServiceUnavailable},
		{"known key, newer revision known", keyedConfiguration{behind: true}, "/fields", knownSecret, http.StatusOK},
		{"known key, no recent proof", keyedConfiguration{unproven: true}, "/fields", knownSecret, http.StatusOK},
	} {
		w := request(test.configuration, &refusingHop{attempts: 1}, fakeLimit{}, test.path, test.secret)
		if w.Code != test.want {
			t.Errorf("%s: status %d, want %d", test.name, w.Code, test.want)
		}
		if w.Code == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
			t.Errorf("%s: no Retry-After", test.name)
		}
	}
}

// refusingLimit is a Limit that refuses every token for a reason.
type refusingLimit struct {
	fakeLimit
	reason error
}

func (l refusingLimit) Draw(_ context.Context, name string) (enforcer.Token, error) {
	return enforcer.Token{}, &enforcer.Refusal{Organisation: name, Reason: l.reason, RetryAfter: time.Second}
}

// TestOutdatedHolderIsNoOverLimit guards against a 429 by the limit of a holder that hasn't
// received a newer configuration yet.
func TestOutdatedHolderIsNoOverLimit(t *testing.T) {
	for reason, want := range map[error]int{
		enforcer.ErrOverLimit: http.StatusTooManyRequests,
		enforcer.ErrOutdated:  http.StatusServiceUnavailable,
	} {
		w := request(keyedConfiguration{}, &refusingHop{attempts: 1}, refusingLimit{reason: reason}, "/fields", knownSecret)
		if w.Code != want || w.Header().Get("Retry-After") == "" {
			t.Errorf("%v: status %d, Retry-After %q; want %d", reason, w.Code, w.Header().Get("Retry-After"), want)
		}
		if outdated := strings.Contains(w.Body.String(), guard.ReasonOutdated); outdated != errors.Is(reason, enforcer.ErrOutdated) {
			t.Errorf("%v: body %s", reason, w.Body)
		}
	}
}
