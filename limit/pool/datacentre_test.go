package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"berylpass/fleet/member"
)

var datacentres = []string{"mandeville", "may-pen", "old-harbour", "spanish-town"}

// TestHoldersAreSpreadOverDatacentres checks that each data centre has one or two of an
// organisation's six holders, so that the loss of a data centre takes only its proportion of them.
func TestHoldersAreSpreadOverDatacentres(t *testing.T) {
	const perDatacentre, organisations = 25, 79
	p := New("vm-0-0", 1)
	p.SetMembers(time.Unix(1000, 0), spreadFleet(perDatacentre), true, false)
	for n := range organisations {
		holders := p.topRanked(digest(fmt.Sprintf("o-%d", n)), 6)
		holdersIn := map[string]int{}
		for _, id := range holders {
			holdersIn[p.datacentres[id]]++
		}
		for _, name := range datacentres {
			if holdersIn[name] < 1 || holdersIn[name] > 2 {
				t.Errorf("o-%d: %d of %d holders in %s", n, holdersIn[name], len(holders), name)
			}
		}
	}
}

// spreadFleet returns a fleet with perDatacentre members in each of the data centres.
func spreadFleet(perDatacentre int) []member.Member {
	var out []member.Member
	for d, name := range datacentres {
		for n := range perDatacentre {
			out = append(out, member.New(member.ID(fmt.Sprintf("vm-%d-%d", d, n)), name))
		}
	}
	return out
}

// TestMostDrawsStayInTheirDatacentre simulates a large fleet in which every daemon receives a few
// requests of each organisation, at seven tenths of the organisations' rates. Most draws must find a
// token in their own data centre, and few may be refused although they are within the rate.
func TestMostDrawsStayInTheirDatacentre(t *testing.T) {
	const (
		perDatacentre, organisations = 25, 20
		rate, demand                 = 8.0, 0.7
		duration                     = 60 * time.Second
		// maxRemoteShare and maxRefusedShare are shares of the draws. The latter is the target for
		// refusals within the rate.
		maxRemoteShare, maxRefusedShare = 0.25, 0.01
	)
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(7, 7))
	members := spreadFleet(perDatacentre)
	limits := map[string]Limit{}
	for n := range organisations {
		limits[fmt.Sprintf("o-%d", n)] = Limit{Rate: rate, Burst: 2 * rate}
	}
	pools := map[member.ID]*Pool{}
	for i, m := range members {
		p := New(m.ID, uint64(i))
		p.SetLimits(now, limits)
		p.SetMembers(now, members, true, false)
		pools[m.ID] = p
	}
	warmUpEnd := now.Add(5 * time.Second)
	draws, remote, refused := 0, 0, 0
	for end := now.Add(duration); now.Before(end); {
		now = now.Add(time.Duration(random.ExpFloat64() / (organisations * rate * demand) * float64(time.Second)))
		from := members[random.IntN(len(members))]
		elsewhere, granted := draw(now, pools, from, fmt.Sprintf("o-%d", random.IntN(organisations)))
		if now.Before(warmUpEnd) {
			continue
		}
		draws++
		if elsewhere {
			remote++
		}
		if !granted {
			refused++
		}
	}
	t.Logf("%d draws, %.3f asked another data centre, %.4f refused", draws, float64(remote)/float64(draws), float64(refused)/float64(draws))
	if share := float64(remote) / float64(draws); share > maxRemoteShare {
		t.Errorf("%.3f of the draws asked another data centre, want at most %.2f", share, maxRemoteShare)
	}
	if share := float64(refused) / float64(draws); share > maxRefusedShare {
		t.Errorf("%.4f of the draws were refused, want at most %.2f", share, maxRefusedShare)
	}
}

// draw takes a token for a daemon. It reports whether a holder in another data centre was asked,
// and whether a token was granted.
func draw(now time.Time, pools map[member.ID]*Pool, from member.Member, name string) (elsewhere, granted bool) {
	asked, granted := drawFrom(now, pools, from, name)
	for _, id := range asked {
		elsewhere = elsewhere || pools[from.ID].datacentres[id] != from.Datacentre
	}
	return elsewhere, granted
}

// drawFrom takes a token for a daemon and returns the holders that were asked.
func drawFrom(now time.Time, pools map[member.ID]*Pool, from member.Member, name string) (asked []member.ID, granted bool) {
	p := pools[from.ID]
	if p.Take(now, name) {
		return nil, true
	}
	holders, _ := p.HoldersToAsk(now, name)
	for _, id := range holders[:min(len(holders), 3)] {
		asked = append(asked, id)
		n, level, _ := pools[id].Lend(now, name, 1)
		p.RecordLevel(now, name, id, level)
		if n == 1 {
			return asked, true
		}
	}
	return asked, false
}

// TestMostDrawsStayInTheirRegion is like TestMostDrawsStayInTheirDatacentre for two regions: few draws may ask another
// region, fewer than if the daemons didn't know the regions, and few may be refused although they are within the rate.
func TestMostDrawsStayInTheirRegion(t *testing.T) {
	const (
		perDatacentre, organisations = 25, 20
		rate, demand                 = 8.0, 0.7
		duration                     = 60 * time.Second
		// maxAbroadShare and maxRefusedShare are shares of the draws.
		maxAbroadShare, maxRefusedShare = 0.05, 0.01
	)
	regions := map[string]string{"mandeville": "east", "may-pen": "west", "old-harbour": "east", "spanish-town": "west"}
	shares := map[bool]float64{}
	for _, aware := range []bool{false, true} {
		now := time.Unix(1000, 0)
		random := rand.New(rand.NewPCG(7, 7))
		members := spreadFleet(perDatacentre)
		limits := map[string]Limit{}
		for n := range organisations {
			limits[fmt.Sprintf("o-%d", n)] = Limit{Rate: rate, Burst: 2 * rate}
		}
		pools := map[member.ID]*Pool{}
		for i, m := range members {
			p := New(m.ID, uint64(i))
			if aware {
				p = New(m.ID, uint64(i), WithRegions(regions))
			}
			p.SetLimits(now, limits)
			p.SetMembers(now, members, true, false)
			pools[m.ID] = p
		}
		warmUpEnd, draws, abroad, refused := now.Add(5*time.Second), 0, 0, 0
		for end := now.Add(duration); now.Before(end); {
			now = now.Add(time.Duration(random.ExpFloat64() / (organisations * rate * demand) * float64(time.Second)))
			from := members[random.IntN(len(members))]
			name := fmt.Sprintf("o-%d", random.IntN(organisations))
			asked, granted := drawFrom(now, pools, from, name)
			if now.Before(warmUpEnd) {
				continue
			}
			draws++
			if slices.ContainsFunc(asked, func(id member.ID) bool {
				return regions[pools[from.ID].datacentres[id]] != regions[from.Datacentre]
			}) {
				abroad++
			}
			if !granted {
				refused++
			}
		}
		shares[aware] = float64(abroad) / float64(draws)
		if share := float64(refused) / float64(draws); share > maxRefusedShare {
			t.Errorf("%.4f of the draws were refused, want at most %.2f", share, maxRefusedShare)
		}
	}
	t.Logf("%.3f of the draws asked another region, %.3f without regions", shares[true], shares[false])
	if shares[true] > maxAbroadShare || shares[true] >= shares[false] {
		t.Errorf("%.3f of the draws asked another region, %.3f without regions; want at most %.2f", shares[true], shares[false], maxAbroadShare)
	}
}
