package exposure

import (
	"testing"
	"time"
)

// TestOnlyVersionServesWhileTheStoreIsAway replaces the backend servers of a service without an order by those of
// another version while no list can be read, as in an ordinary release. The service has no other version.
func TestOnlyVersionServesWhileTheStoreIsAway(t *testing.T) {
	f := newFixture(t)
	f.list()
	f.wants("v1", Usual)
	f.now = f.now.Add(time.Minute)
	f.server("b1", "v2", true)
	f.server("a1", "v1", false)
	f.server("a2", "v1", false)
	f.now = f.now.Add(time.Minute)
	f.Update(f.now, Tick{})
	f.wants("v2", Usual)
}
