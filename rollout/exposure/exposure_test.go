package exposure

import (
	"testing"
	"time"

	"berylpass/fleet/backend"
	"berylpass/rollout/order"
)

// fixture is an Exposure whose daemon started at began and knows v1 from then on.
type fixture struct {
	*Exposure
	t   *testing.T
	now time.Time
}

func newFixture(t *testing.T) *fixture {
	began := time.Unix(1000, 0)
	f := &fixture{Exposure: New(began), t: t, now: began}
	f.server("a1", "v1", true)
	f.server("a2", "v1", true)
	return f
}

func (f *fixture) server(id backend.ID, version string, serving bool) {
	f.Update(f.now, ServerChanged{ID: id, Service: "rounds", Version: version, Serving: serving})
}

// list lets a second pass and reads a list then.
func (f *fixture) list(orders ...order.Order) {
	f.now = f.now.Add(time.Second)
	f.Update(f.now, ListRead{Orders: orders, At: f.now})
}

func (f *fixture) wants(version string, want Standing) {
	f.t.Helper()
	if got := f.Standing("rounds", version); got != want {
		f.t.Errorf("standing of %s: %d, want %d", version, got, want)
	}
}

func toV2(state order.State) order.Order {
	return order.Order{Name: "rounds", Service: "rounds", Target: "v2", Duration: 12 * time.Second, Created: 5, State: state}
}

// TestNewVersionWaitsForALaterList checks that services without orders are served whatever versions they have, and
// that a version which comes up isn't used before a list was read that would have its order.
func TestNewVersionWaitsForALaterList(t *testing.T) {
	f := newFixture(t)
	f.wants("v1", Withheld)
	f.list()
	f.wants("v1", Usual)
	f.now = f.now.Add(time.Minute)
	f.server("b1", "v2", true)
	f.Update(f.now, ListRead{At: f.now.Add(-time.Second)})
	f.wants("v2", Withheld)
	f.list()
	f.wants("v2", Usual)
	f.server("b1", "v2", false)
	f.server("b2", "v2", true)
	f.wants("v2", Usual)
}

// TestRestartWhileTheStoreIsAway checks that a daemon that starts then uses what it finds.
func TestRestartWhileTheStoreIsAway(t *testing.T) {
	f := newFixture(t)
	f.server("b1", "v2", true)
	f.now = f.now.Add(time.Second)
	f.Update(f.now, ListRead{At: f.now.Add(-2 * time.Second)})
	f.wants("v1", Usual)
	f.wants("v2", Withheld)
	f.now = f.now.Add(2 * time.Second)
	f.Update(f.now, Tick{})
	f.wants("v2", Usual)
	f.now = f.now.Add(time.Minute)
	f.server("c1", "v3", true)
	f.Update(f.now, Tick{})
	f.wants("v3", Withheld)
}

// TestGrantRunsOut checks that a daemon that hears nothing more sends nothing more.
func TestGrantRunsOut(t *testing.T) {
	f := newFixture(t)
	o := toV2(order.Running)
	f.list(o)
	f.wants("v2", OnTrial)
	if s := f.Share(f.now, "rounds"); s != 0 {
		t.Errorf("share %v without a grant", s)
	}
	f.Update(f.now, Granted{Order: o.Key(), Share: 0.05, Until: f.now.Add(time.Second)})
	if s := f.Share(f.now.Add(999*time.Millisecond), "rounds"); s != 0.05 {
		t.Errorf("share %v", s)
	}
	if s := f.Share(f.now.Add(time.Second), "rounds"); s != 0 {
		t.Errorf("share %v after the grant", s)
	}
	f.Update(f.now, Granted{Order: o.Key(), State: order.RolledBack})
	f.wants("v2", Withheld)
	f.list(o)
	f.wants("v2", Withheld)
}

func TestOutcomes(t *testing.T) {
	f := newFixture(t)
	f.server("b1", "v2", true)
	f.list(toV2(order.Running))
	f.wants("v1", Usual)
	f.list(toV2(order.Completed))
	f.wants("v2", Usual)
	f.wants("v1", Withheld)
	f.server("c1", "v3", true)
	f.list(toV2(order.Completed))
	f.wants("v3", Usual)

	f = newFixture(t)
	f.server("b1", "v2", true)
	f.list(toV2(order.RolledBack))
	f.server("a1", "v1", false)
	f.server("a2", "v1", false)
	f.wants("v2", Withheld)
}

// TestWithdrawnOrder checks that a version whose order was withdrawn serves only if there is no other.
func TestWithdrawnOrder(t *testing.T) {
	f := newFixture(t)
	f.server("b1", "v2", true)
	f.list(toV2(order.Running))
	f.list()
	f.wants("v2", Withheld)
	f.server("a1", "v1", false)
	f.server("a2", "v1", false)
	f.wants("v2", Usual)
	f.server("a1", "v1", true)
	changed := toV2(order.Pending)
	changed.Duration = time.Minute
	f.list(changed)
	f.wants("v2", OnTrial)
}

// TestOnlyVersionIsUsedWhileTheStoreIsAway checks that a service without an order doesn't stop if all its backend servers
// are replaced meanwhile.
func TestOnlyVersionIsUsedWhileTheStoreIsAway(t *testing.T) {
	f := newFixture(t)
	f.list()
	f.now = f.now.Add(time.Minute)
	f.server("c1", "v3", true)
	f.Update(f.now, Tick{})
	f.wants("v3", Withheld)
	f.server("a1", "v1", false)
	f.server("a2", "v1", false)
	f.Update(f.now, Tick{})
	f.wants("v3", Usual)
}

// TestOutcomeOutlastsTheStore checks that a stored outcome stands if the store shows an earlier state later.
func TestOutcomeOutlastsTheStore(t *testing.T) {
	f := newFixture(t)
	f.server("b1", "v2", true)
	f.list(toV2(order.RolledBack))
	f.list(toV2(order.Running))
	f.wants("v2", Withheld)
	if told := f.Told(toV2(order.Running).Key()); told != order.RolledBack {
		t.Errorf("told %s", told)
	}
}
