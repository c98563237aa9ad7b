package ingress

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"berylpass/choice/chooser"
	"berylpass/choice/picker"
	"berylpass/config/key"
	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/service"
	"berylpass/config/snapshot"
	"berylpass/fleet/member"
)

// homeConfiguration is a Configuration with a route that is at home in a and b, and organisations at home in b, or in c.
type homeConfiguration struct{ fixedConfiguration }

func (homeConfiguration) Current() snapshot.Snapshot {
	return snapshot.New(1).WithService(service.New("rounds")).
		WithOrganisation(organisation.New("in-b").WithHomeRegions("b").WithKey(key.New("k", key.DigestOf("key-of-the-first-one")))).
		WithOrganisation(organisation.New("in-c").WithHomeRegions("c").WithKey(key.New("k", key.DigestOf("key-of-the-other-one")))).
		WithRoute(route.New("status", "rounds").WithMatch("", "/").WithHomeRegions("a", "b").WithDeadline(5 * time.Second)).Index()
}

// homeChooser is a Chooser that knows backend servers in the regions a, b and c. It records the homes of the requests.
type homeChooser struct {
	freshServers
	homes *[][]string
}

func (c homeChooser) Pick(r picker.Request) (chooser.Target, error) {
	*c.homes = append(*c.homes, r.HomeRegions)
	if r.HomeRegions != nil && len(r.HomeRegions) == 0 {
		return chooser.Target{}, picker.ErrNoBackend
	}
	return c.freshServers.Pick(r)
}

// TestHomesOfRouteAndOrganisationBind checks that a backend server is asked for in the regions that both the route and the
// organisation name, and that a request for which none is left is sent nowhere and answered 503 with Retry-After.
func TestHomesOfRouteAndOrganisationBind(t *testing.T) {
	for _, test := range []struct {
		key  string
		want []string
		sent bool
	}{
		{"key-of-the-first-one", []string{"b"}, true},
		{"key-of-the-other-one", []string{}, false},
	} {
		var homes [][]string
		h := &unreachableHop{}
		i := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
			Configuration: homeConfiguration{}, Chooser: homeChooser{homes: &homes}, Limit: fakeLimit{}, Hop: h, Guards: fakeGuards{}, Observer: noObserver{},
		})
		w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/fields", nil)
		r.Header.Set("Authorization", "Bearer "+test.key)
		i.ServeHTTP(w, r)
		if len(homes) == 0 || homes[0] == nil || !slices.Equal(homes[0], test.want) {
			t.Errorf("%s: homes %v, want %v", test.key, homes, test.want)
		}
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || len(h.prompt) > 0 != test.sent {
			t.Errorf("%s: status %d, Retry-After %q, %d attempts", test.key, w.Code, w.Header().Get("Retry-After"), len(h.prompt))
		}
	}
}
