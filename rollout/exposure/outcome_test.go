package exposure

import (
	"testing"
	"time"

	"berylpass/rollout/order"
	"berylpass/store/object"
)

// TestOutcomeOutlastsAnOlderCopy lets a daemon read an order's outcome, and then lists of a store that goes on from a
// copy without it. A version that was rolled back must not go on trial again, and one that was completed must serve:
// the old version's backend servers are gone.
func TestOutcomeOutlastsAnOlderCopy(t *testing.T) {
	for state, want := range map[order.State]Standing{order.RolledBack: Withheld, order.Completed: Usual} {
		t.Run(state.String(), func(t *testing.T) {
			f := newFixture(t)
			f.server("b1", "v2", true)
			stored := toV2(state)
			stored.Revision = object.VersionIn(1, 9)
			f.list(stored)
			f.wants("v2", want)
			lost := toV2(order.Running)
			lost.Revision = object.VersionIn(2, 7)
			f.list(lost)
			f.Update(f.now, Granted{Order: lost.Key(), Share: 0.05, Until: f.now.Add(time.Second)})
			f.wants("v2", want)
		})
	}
}
