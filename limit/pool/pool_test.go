package pool

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"berylpass/fleet/member"
)

// TestMain sets rapid's seed and number of checks. Flags on the command line override them.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const organisation = "hope-bay-library"

// fleet is a set of pools, any of which can be cut off from the others.
type fleet struct {
	now   time.Time
	pools []*Pool
	cut   map[int]bool
	// runs are the times at which requests ran.
	runs []time.Time
	// waiting are the requests that hold a token and have not run.
	waiting []waitingRequest
}

// waitingRequest is a request at a daemon that holds a token of a holder.
type waitingRequest struct {
	at, holder int
	token      uint64
}

// hold draws a token at a daemon for a request that waits.
func (f *fleet) hold(at int) {
	if token, ok := f.pools[at].TakeFrom(f.now, organisation); ok {
		f.waiting = append(f.waiting, waitingRequest{at, at, token})
		return
	}
	holders, _ := f.pools[at].HoldersToAsk(f.now, organisation)
	for _, holder := range holders {
		var n int
		_, _ = fmt.Sscanf(string(holder), "vm-%d", &n)
		if f.cut[at] || f.cut[n] {
			continue
		}
		if granted, _, _ := f.pools[n].Lend(f.now, organisation, 1); granted == 1 {
			f.waiting = append(f.waiting, waitingRequest{at, n, f.pools[n].LastIssued(organisation)})
			return
		}
	}
}

// renew runs the request that has waited longest, if its token can be renewed.
func (f *fleet) renew() {
	if len(f.waiting) == 0 {
		return
	}
	r := f.waiting[0]
	f.waiting = f.waiting[1:]
	if r.at != r.holder && (f.cut[r.at] || f.cut[r.holder]) {
		return
	}
	if _, ok := f.pools[r.holder].Renew(f.now, organisation, r.token); ok {
		f.runs = append(f.runs, f.now)
	}
}

func id(n int) member.ID { return member.ID(fmt.Sprintf("vm-%d", n)) }

func newFleet(n int, limit Limit) *fleet {
	f := &fleet{now: time.Unix(0, 0), cut: map[int]bool{}}
	for i := range n {
		p := New(id(i), uint64(i))
		p.SetLimits(time.Unix(0, 0), map[string]Limit{organisation: limit})
		f.pools = append(f.pools, p)
	}
	f.gossip()
	return f
}

// gossip gives every daemon the member list: for a daemon that is cut off, all others are dead.
func (f *fleet) gossip() {
	for i, p := range f.pools {
		var members []member.Member
		for j := range f.pools {
			m := member.New(id(j), datacentres[j%len(datacentres)])
			if i != j && (f.cut[i] || f.cut[j]) {
				m = m.WithState(member.Dead)
			}
			members = append(members, m)
		}
		p.SetMembers(f.now, members, true, f.cut[i])
	}
}

// request draws a token at a daemon, records a run if there was one, and reports whether there was.
func (f *fleet) request(at int) bool {
	p := f.pools[at]
	if p.Take(f.now, organisation) {
		f.runs = append(f.runs, f.now)
		return true
	}
	holders, _ := p.HoldersToAsk(f.now, organisation)
	for _, holder := range holders[:min(len(holders), 3)] {
		var n int
		_, _ = fmt.Sscanf(string(holder), "vm-%d", &n)
		if f.cut[at] || f.cut[n] {
			continue
		}
		granted, level, _ := f.pools[n].Lend(f.now, organisation, 1)
		p.RecordLevel(f.now, organisation, holder, level)
		if granted == 1 {
			f.runs = append(f.runs, f.now)
			return true
		}
	}
	return false
}

// excess returns the largest number of runs beyond a single token bucket of the whole limit.
func (f *fleet) excess(limit Limit) float64 {
	worst, level := 0.0, limit.Burst
	for i, at := range f.runs {
		if i > 0 {
			level = min(limit.Burst, level+limit.Rate*at.Sub(f.runs[i-1]).Seconds())
		}
		level--
		worst = max(worst, -level)
	}
	return worst
}

// TestRunsStayWithinTheLimit cuts off and restarts random daemons: all runs of the fleet together
// must stay within the organisation's rate and burst.
func TestRunsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(5, 80).Draw(t, "rate"), Burst: rapid.Float64Range(1, 80).Draw(t, "burst")}
		f := newFleet(rapid.IntRange(1, 12).Draw(t, "daemons"), limit)
		restarts := 0
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			at := rapid.IntRange(0, len(f.pools)-1).Draw(t, "at")
			switch rapid.IntRange(0, 16).Draw(t, "step") {
			case 3, 4:
				f.hold(at)
			case 5, 6:
				f.renew()
			case 0:
				f.cut[at] = !f.cut[at]
				f.gossip()
			case 1:
				// A restarted daemon keeps only its ID; its seed, the incarnation, is another one.
				restarts++
				f.pools[at] = New(id(at), uint64(at+100*restarts))
				f.pools[at].SetLimits(f.now, map[string]Limit{organisation: limit})
				f.gossip()
			case 2:
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				f.gossip()
			default:
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
				f.request(at)
			}
		}
		if over := f.excess(limit); over > 1e-6 {
			t.Fatalf("the runs exceed the limit by %.2f requests", over)
		}
	})
}

// TestMostOfTheLimitIsServed sends requests to random daemons. An organisation that sends at six
// tenths of its rate must hardly be refused, and one that sends at eight times its rate must
// get nearly its rate.
func TestMostOfTheLimitIsServed(t *testing.T) {
	limit := Limit{Rate: 30, Burst: 30}
	for name, test := range map[string]struct{ load, minServed float64 }{
		"usual":    {0.6, 0.995},
		"overload": {8, 0.98 / 8},
	} {
		f := newFleet(31, limit)
		f.now = f.now.Add(5 * time.Second)
		const seconds = 60
		asked, served, state := 0, 0, uint64(7)
		for ; asked < int(test.load*limit.Rate*seconds); asked++ {
			// Two thirds of the time between requests is a fixed pause, the rest varies.
			state = state*6364136223846793005 + 1442695040888963407
			pause := time.Duration(float64(time.Second) / (test.load * limit.Rate) * (0.66 + 0.68*float64(state>>40)/float64(1<<24)))
			f.now = f.now.Add(pause)
			if f.request(int(state>>33) % len(f.pools)) {
				served++
			}
		}
		if share := float64(served) / float64(asked); share < test.minServed {
			t.Errorf("%s: %.4f of the requests were served, want at least %.4f", name, share, test.minServed)
		} else {
			t.Logf("%s: %.4f of the requests were served", name, share)
		}
	}
}

func TestIsolatedHolderStopsBeforeItsShareMoves(t *testing.T) {
	limit := Limit{Rate: 30, Burst: 30}
	f := newFleet(4, limit)
	f.now = f.now.Add(5 * time.Second)
	f.cut[0] = true
	f.gossip()
	f.now = f.now.Add(MaxIsolation + time.Second)
	f.gossip()
	if f.pools[0].Take(f.now, organisation) {
		t.Error("a daemon that was isolated for longer than MaxIsolation still issues tokens")
	}
	if MaxIsolation >= DeadHolderRetention {
		t.Error("MaxIsolation is not below DeadHolderRetention: a share moves before its isolated holder stops issuing")
	}
}

// TestRenewedTokenNeedsNoOther checks that a request which has waited longer than its token lives can run although the
// bucket is empty, that no token is renewed twice, nor after the daemon has lost its share.
func TestRenewedTokenNeedsNoOther(t *testing.T) {
	now := time.Unix(0, 0)
	p := New("vm-0", 1)
	p.SetMembers(now, []member.Member{member.New("vm-0", "srem")}, true, false)
	p.SetLimits(now, map[string]Limit{organisation: {Rate: 1, Burst: 2}})
	now = now.Add(10 * time.Second)
	token, ok := p.TakeFrom(now, organisation)
	if !ok || !p.Take(now, organisation) || p.Take(now, organisation) {
		t.Fatal("want two tokens")
	}
	now = now.Add(500 * time.Millisecond)
	renewed, ok := p.Renew(now, organisation, token)
	if !ok {
		t.Error("the token is not renewed although it was not used")
	}
	if _, ok := p.Renew(now, organisation, token); ok {
		t.Error("the token is renewed twice")
	}
	if now = now.Add(499 * time.Millisecond); p.Take(now, organisation) {
		t.Error("the renewal gave the bucket a token")
	}
	if _, ok := p.Renew(now, "other", renewed); ok {
		t.Error("the token of another organisation is renewed")
	}
	later := now.Add(2 * time.Second)
	for range 2 {
		p.Take(later, organisation)
	}
	if _, ok := p.Renew(later, organisation, renewed); ok {
		t.Error("the bucket would have been full without the token, so that the limit doesn't allow a third run now")
	}
	lost := New("vm-0", 2)
	lost.SetMembers(now, []member.Member{member.New("vm-0", "srem")}, true, false)
	lost.SetLimits(now, map[string]Limit{organisation: {Rate: 1, Burst: 2}})
	if _, ok := lost.Renew(now, organisation, renewed); ok {
		t.Error("a token of a share that was lost in between is renewed")
	}
}

func TestLeavingDaemonIssuesNoTokens(t *testing.T) {
	f := newFleet(3, Limit{Rate: 30, Burst: 30})
	f.now = f.now.Add(5 * time.Second)
	f.pools[0].Leave()
	if f.pools[0].Take(f.now, organisation) {
		t.Error("a daemon that leaves still issues tokens")
	}
}

// TestMovedShareIsNotIssuedTwice cuts a daemon off until its share has moved to a second daemon,
// then reconnects it and cuts the second one off: the first must not issue tokens of the share
// while the second may.
func TestMovedShareIsNotIssuedTwice(t *testing.T) {
	limit := Limit{Rate: 5, Burst: 1}
	f := newFleet(4, limit)
	holder := f.pools[0].organisations[organisation].holders[0]
	var first int
	_, _ = fmt.Sscanf(string(holder), "vm-%d", &first)
	f.cut[first] = true
	f.gossip()
	f.now = f.now.Add(DeadHolderRetention + time.Second)
	f.gossip()
	second := -1
	for n, p := range f.pools {
		if n != first && p.SharesHeld(f.now) == 1 {
			second = n
		}
	}
	if second < 0 {
		t.Fatal("no daemon took over the share")
	}
	f.now = f.now.Add(time.Second)
	f.cut[first], f.cut[second] = false, true
	f.gossip()
	f.now = f.now.Add(time.Second)
	if f.request(second) && f.request(first) {
		t.Error("two daemons issued tokens of one share")
	}
}

// TestLimitHoldsWhileRegionsAreCutOff cuts the link between two regions for a minute. Neither is isolated by itself, but both
// together must stay within the limit.
func TestLimitHoldsWhileRegionsAreCutOff(t *testing.T) {
	limit := Limit{Rate: 30, Burst: 30}
	f := newFleet(12, limit)
	f.now = f.now.Add(10 * time.Second)
	f.gossip()
	east := func(n int) bool { return n%2 == 0 }
	for end := f.now.Add(time.Minute); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		for i, p := range f.pools {
			var members []member.Member
			for j := range f.pools {
				m := member.New(id(j), datacentres[j%len(datacentres)])
				if east(i) != east(j) {
					m = m.WithState(member.Dead)
				}
				members = append(members, m)
			}
			p.SetMembers(f.now, members, true, false)
		}
		for _, p := range f.pools {
			if p.Take(f.now, organisation) {
				f.runs = append(f.runs, f.now)
			}
		}
	}
	if over := f.excess(limit); over > 1 {
		t.Errorf("the runs exceed the limit by %.0f requests of %d", over, len(f.runs))
	}
}
