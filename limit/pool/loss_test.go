package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"berylpass/fleet/member"
)

// TestLossOfAQuarterLeavesAHolder kills a quarter of a large fleet at once. Each organisation must
// have a holder left that can be asked before the shares of the dead daemons move.
func TestLossOfAQuarterLeavesAHolder(t *testing.T) {
	const daemons, lost, organisations = 90, 22, 79
	now := time.Unix(1000, 0)
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, seed))
		var members []member.Member
		for n := range daemons {
			members = append(members, member.New(member.ID(fmt.Sprintf("vm-%02d", n)), "srem").WithState(member.Serving))
		}
		limits := map[string]Limit{}
		for n := range organisations {
			limits[fmt.Sprintf("o-%d-%d", seed, n)] = Limit{Rate: 5.4, Burst: 12}
		}
		for _, n := range random.Perm(daemons - 1)[:lost] {
			members[n+1] = members[n+1].WithState(member.Dead)
		}
		p := New("vm-00", seed)
		p.SetMembers(now, members, true, false)
		p.SetLimits(now, limits)
		without := 0
		for name := range limits {
			if _, reachable := p.HoldersToAsk(now, name); !reachable {
				without++
			}
		}
		if without > 0 {
			t.Errorf("seed %d: %d of %d organisations have no live holder", seed, without, organisations)
		}
	}
}
