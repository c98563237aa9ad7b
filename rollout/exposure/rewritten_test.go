package exposure

import (
	"testing"

	"berylpass/rollout/order"
	"berylpass/store/object"
)

// TestRollBackOutlastsARewrittenOrder is the same for an order that the operators had to write again, so that the store
// gave it another revision at its creation.
func TestRollBackOutlastsARewrittenOrder(t *testing.T) {
	f := newFixture(t)
	f.server("b1", "v2", true)
	stored := toV2(order.RolledBack)
	stored.Created, stored.Revision = 8, object.VersionIn(1, 9)
	f.list(stored)
	f.wants("v2", Withheld)
	rewritten := toV2(order.Pending)
	rewritten.Created, rewritten.Revision = 7, object.VersionIn(2, 7)
	f.list(rewritten)
	f.wants("v2", Withheld)
}
