package header

import (
	"maps"
	"net/http"
	"slices"
	"testing"
)

// Guards against headers that must not be forwarded: the names are in various cases, and
// Connection names further ones.
func TestHopByHopInternalAndKeyHeadersAreRemoved(t *testing.T) {
	h := http.Header{
		"Connection":        {"close, x-local", " BP-Attempt"},
		"X-Local":           {"1"},
		"Keep-Alive":        {"5"},
		"Te":                {"trailers"},
		"Transfer-Encoding": {"chunked"},
		"Upgrade":           {"h2c"},
		"Expect":            {"100-continue"},
		"bp-ending":         {"ran"},
		"Bp-Attempt":        {"a/1/1/0"},
		"Authorization":     {"Bearer secret"},
		"x-api-key":         {"secret"},
		"Accept":            {"*/*"},
		"Idempotency-Key":   {"k"},
		"Set-Cookie":        {"a=1", "b=2"},
	}
	for name, test := range map[string]struct {
		got  http.Header
		want []string
	}{
		"from caller":  {FromCaller(h), []string{"Accept", "Idempotency-Key", "Set-Cookie"}},
		"to backend":   {ToBackend(h), []string{"Accept", "Idempotency-Key", "Set-Cookie"}},
		"from backend": {FromBackend(h), []string{"Accept", "Authorization", "Idempotency-Key", "Set-Cookie", "X-Api-Key"}},
	} {
		if got := slices.Sorted(maps.Keys(test.got)); !slices.Equal(got, test.want) {
			t.Errorf("%s: kept %v, want %v", name, got, test.want)
		}
	}
	if got := FromCaller(h)["Set-Cookie"]; !slices.Equal(got, h["Set-Cookie"]) {
		t.Errorf("values of Set-Cookie changed: %v", got)
	}
}

// Guards against a copy that shares the slices of values with the original.
func TestOriginalHeadersAreUnchanged(t *testing.T) {
	h := http.Header{"Authorization": {"x"}, "Accept": {"a"}}
	copied := FromCaller(h)
	copied["Accept"][0] = "changed"
	if h.Get("Authorization") != "x" || h.Get("Accept") != "a" {
		t.Errorf("original changed: %v", h)
	}
}
