package home

import (
	"testing"

	"berylpass/config/organisation"
	"berylpass/config/route"
)

// TestBothHomesBind checks which regions are left of those that a route and an organisation name.
func TestBothHomesBind(t *testing.T) {
	for _, c := range []struct {
		name                string
		route, organisation []string
		a, b                bool
	}{
		{"none", nil, nil, true, true},
		{"route", []string{"a"}, nil, true, false},
		{"organisation", nil, []string{"b"}, false, true},
		{"both, one in common", []string{"a", "b"}, []string{"b", "c"}, false, true},
		{"both, none in common", []string{"a"}, []string{"b"}, false, false},
	} {
		h := New(route.New("r", "s").WithHomeRegions(c.route...), organisation.New("o").WithHomeRegions(c.organisation...))
		if h.Allows("a") != c.a || h.Allows("b") != c.b {
			t.Errorf("%s: a allowed %v, b allowed %v; want %v and %v", c.name, h.Allows("a"), h.Allows("b"), c.a, c.b)
		}
		if all := h.Regions() == nil; all != (len(c.route)+len(c.organisation) == 0) {
			t.Errorf("%s: all regions allowed: %v", c.name, all)
		}
	}
}
