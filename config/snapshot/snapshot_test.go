package snapshot

import (
	"errors"
	"testing"

	"berylpass/config/route"
)

// TestOnlyPathsThatBeginWithThePrefixMatch guards against a route that takes requests of another one, since the
// slash at the end of its prefix was ignored or a slash in the path was escaped.
func TestOnlyPathsThatBeginWithThePrefixMatch(t *testing.T) {
	s := New(1).
		WithRoute(route.New("rounds", "rounds").WithMatch("app.example", "/rounds/")).
		WithRoute(route.New("archive", "fieldwork").WithMatch("app.example", "/rounds/archive/")).
		WithRoute(route.New("titles", "titles").WithMatch("", "/titles")).
		WithRoute(route.New("new-title", "titles").WithMatch("", "/titles/new", "POST")).
		Index()
	for path, want := range map[string]string{
		"/rounds/":                  "rounds",
		"/rounds/archive":           "rounds",
		"/rounds/archive%2F2025":    "rounds",
		"/rounds/archive%2f2025":    "rounds",
		"/rounds/%61rchive/2025":    "rounds",
		"/rounds/archives/":         "rounds",
		"/rounds//archive/":         "rounds",
		"/rounds/archive/":          "archive",
		"/rounds/archive//":         "archive",
		"/rounds/archive/2025/a%2F": "archive",
		"/rounds":                   "",
		"/rounds%2Farchive/":        "",
		"//rounds/":                 "",
		"/":                         "",
		"":                          "",
		"*":                         "",
		"/titles":                   "titles",
		"/titles/":                  "titles",
		"/titles/7":                 "titles",
		"/titles/new":               "new-title",
		"/titles/new/":              "new-title",
		"/titles/newer":             "titles",
		"/titles%2Fnew":             "",
		"/titlesnew":                "",
	} {
		got, err := s.Route("POST", "APP.example", path)
		if got.Name != want || (err == nil) != (want != "") {
			t.Errorf("%q: got %q, %v; want %q", path, got.Name, err, want)
		}
	}
}

// TestRouteOfHostPrecedesOneOfAnyHost checks the order of routes with the same prefix, and that a longer prefix without
// the method leaves the request to a shorter one.
func TestRouteOfHostPrecedesOneOfAnyHost(t *testing.T) {
	s := New(1).
		WithRoute(route.New("all", "rounds").WithMatch("", "/")).
		WithRoute(route.New("any", "rounds").WithMatch("", "/rounds/", "GET")).
		WithRoute(route.New("host", "rounds").WithMatch("app.example", "/rounds/", "GET")).
		Index()
	for _, test := range []struct{ method, host, path, want string }{
		{"GET", "app.example", "/rounds/7", "host"},
		{"GET", "other.example", "/rounds/7", "any"},
		{"PUT", "app.example", "/rounds/7", "all"},
		{"GET", "app.example", "/", "all"},
	} {
		if got, err := s.Route(test.method, test.host, test.path); got.Name != test.want || err != nil {
			t.Errorf("%v: got %q, %v", test, got.Name, err)
		}
	}
	if _, err := s.WithoutRoute("all").Index().Route("PUT", "app.example", "/rounds/7"); !errors.Is(err, ErrMethod) {
		t.Errorf("no route allows the method: got %v, want %v", err, ErrMethod)
	}
}
