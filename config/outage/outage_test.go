package outage

import (
	"slices"
	"testing"
	"time"

	"berylpass/store/object"
)

// list returns a list with the given names as of a revision in an era.
func list(era, revision uint64, at time.Duration, names ...string) List {
	return List{Names: names, AsOf: object.VersionIn(era, revision), At: at}
}

// TestNamesAfterLists checks which data centres are out of service after some lists, which arrive a second after each other.
func TestNamesAfterLists(t *testing.T) {
	const s = time.Second
	for name, test := range map[string]struct {
		lists []List
		want  []string
	}{
		"none known":                      {nil, nil},
		"latest list":                     {[]List{list(0, 7, 1, "konin"), list(0, 8, 2, "kalisz")}, []string{"kalisz"}},
		"late list of a lower revision":   {[]List{list(0, 8, 1, "konin"), list(0, 7, 2, "kalisz")}, []string{"konin"}},
		"late list of an earlier era":     {[]List{list(2, 3, 1, "konin"), list(1, 9, 2, "kalisz")}, []string{"konin"}},
		"lost with a new era":             {[]List{list(1, 9, 1, "konin"), list(2, 3, 2)}, []string{"konin"}},
		"lost with the first era":         {[]List{list(0, 9, 1, "konin"), list(1, 3, 2)}, []string{"konin"}},
		"lost, again not named":           {[]List{list(1, 9, 1, "konin"), list(2, 3, 2), list(2, 4, 3)}, []string{"konin"}},
		"lost, not written again":         {[]List{list(1, 9, 1, "konin"), list(2, 3, 2), list(2, 3, time.Hour)}, nil},
		"lost, written again and removed": {[]List{list(1, 9, 1, "konin"), list(2, 3, 2), list(2, 4, 3, "konin"), list(2, 5, 4)}, nil},
		"lost, and no list since":         {[]List{list(1, 9, 1, "konin"), list(2, 3, 2)}, []string{"konin"}},
		"lost in two eras":                {[]List{list(1, 9, 1, "konin"), list(2, 3, 2), list(3, 3, 3)}, []string{"konin"}},
		"removed, and back in the copy":   {[]List{list(1, 9, 1), list(2, 3, 2, "konin")}, []string{"konin"}},
		"kept and lost":                   {[]List{list(1, 9, 1, "konin", "kalisz"), list(2, 3, 2, "kalisz")}, []string{"kalisz", "konin"}},
	} {
		o, now := Outages{}, time.Minute
		for _, l := range test.lists {
			now += s
			o = o.With(now, l)
		}
		if got := o.Names(); !slices.Equal(got, test.want) || o.Known() != (len(test.lists) > 0) {
			t.Errorf("%s: %v out of service, want %v", name, got, test.want)
		}
	}
}

// TestHeldOutagesArePassedOn checks that a daemon also holds what another daemon in the same era holds, and no longer than that.
func TestHeldOutagesArePassedOn(t *testing.T) {
	const now, s = time.Minute, time.Second
	o := Outages{}.With(now, list(2, 3, 1, "kalisz"))
	if got := o.WithHeld(now, list(1, 3, 1).AsOf, []string{"konin"}, now+s).Names(); !slices.Equal(got, []string{"kalisz"}) {
		t.Errorf("%v out of service, want none of another era", got)
	}
	o = o.WithHeld(now, list(2, 4, 1).AsOf, []string{"konin", "kalisz"}, now+s)
	if got := o.Names(); !slices.Equal(got, []string{"kalisz", "konin"}) {
		t.Errorf("%v out of service", got)
	}
	for range 3 {
		held, until := o.Held()
		o = o.WithHeld(now, list(2, 4, 1).AsOf, held, until)
	}
	if got := o.With(now+s, list(2, 5, now+s, "kalisz")).Names(); !slices.Equal(got, []string{"kalisz"}) {
		t.Errorf("%v out of service after the hold", got)
	}
}
