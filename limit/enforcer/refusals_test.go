package enforcer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"berylpass/fleet/member"
	"berylpass/limit/pool"
)

// TestFewRefusalsWithinTheRate simulates a large fleet whose daemons each receive a few requests of
// an organisation, at seven tenths of its rate. The burst is reduced for the life of a token; hardly
// any request may be refused because of that.
func TestFewRefusalsWithinTheRate(t *testing.T) {
	const (
		daemons, rate, demand = 100, 77.0, 0.7
		duration              = 60 * time.Second
		// maxRefusedShare is the target for refusals within the rate.
		maxRefusedShare = 0.01
	)
	limit := Slack{Share: 0.1, Requests: 20}.limit(rate, rate, QueuedTokenLifetime)
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(3, 3))
	var members []member.Member
	for n := range daemons {
		members = append(members, member.New(member.ID(fmt.Sprintf("vm-%d", n)), fmt.Sprintf("dc-%d", n%4)))
	}
	pools := map[member.ID]*pool.Pool{}
	for n, m := range members {
		p := pool.New(m.ID, uint64(n))
		p.SetLimits(now, map[string]pool.Limit{"o": limit})
		p.SetMembers(now, members, true, false)
		pools[m.ID] = p
	}
	now = now.Add(10 * time.Second)
	draws, refused := 0, 0
	for end := now.Add(duration); now.Before(end); draws++ {
		now = now.Add(time.Duration(random.ExpFloat64() / (rate * demand) * float64(time.Second)))
		p := pools[members[random.IntN(daemons)].ID]
		if p.Take(now, "o") {
			continue
		}
		granted := 0
		holders, _ := p.HoldersToAsk(now, "o")
		for _, id := range holders[:min(len(holders), maxHoldersAsked)] {
			n, level, _ := pools[id].Lend(now, "o", 1)
			p.RecordLevel(now, "o", id, level)
			if granted += n; n > 0 {
				break
			}
		}
		if granted == 0 {
			refused++
		}
	}
	t.Logf("burst %.1f: %d of %d draws were refused", limit.Burst, refused, draws)
	if share := float64(refused) / float64(draws); share > maxRefusedShare {
		t.Errorf("%.4f of the draws were refused, want at most %.2f", share, maxRefusedShare)
	}
}
