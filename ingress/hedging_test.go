package ingress

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"berylpass/choice/chooser"
	"berylpass/choice/picker"
	"berylpass/config/class"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/guard"
	"berylpass/hop"
	"berylpass/hop/forwarder"
)

// hedgeHop is a Hop on which attempts on the backend server "slow" end only when they are cancelled. Hedges on "works"
// are refused for the reason, or answered if it is empty.
type hedgeHop struct {
	reason string
	hedges chan hop.Envelope
}

func (h hedgeHop) Forward(ctx context.Context, _ string, e hop.Envelope, _ forwarder.Request) (forwarder.Answer, error) {
	report := hop.Report{Attempt: e.Attempt, Ending: hop.Ran}
	if e.Backend == "slow" {
		<-ctx.Done()
		return forwarder.Answer{}, fmt.Errorf("%w: %w", forwarder.ErrAnswerLost, ctx.Err())
	}
	if e.Hedge {
		h.hedges <- e
		if h.reason != "" {
			report.Ending, report.Reason = hop.NotRun, h.reason
		}
	}
	return forwarder.Answer{Status: http.StatusOK, Header: http.Header{}, Report: report}, nil
}

// hedgeChooser sends first attempts to the backend server named first and hedges to "works".
type hedgeChooser struct {
	trialChooser
	first backend.ID
}

func targetOf(name backend.ID) chooser.Target {
	return chooser.Target{Backend: backend.New(name, "rounds", "vm-1"), Guard: member.New("vm-1", "srem").WithIncarnation(1)}
}

func (c *hedgeChooser) Pick(picker.Request) (chooser.Target, error) { return targetOf(c.first), nil }

func (c *hedgeChooser) PickHedge(picker.Request) (chooser.Target, error) {
	return targetOf("works"), nil
}

func (c *hedgeChooser) HedgeDelay(string, class.Class) (time.Duration, bool) {
	return time.Microsecond, true
}

// newHedgingIngress returns an ingress with the limit of extra work, its chooser and the records of its hedges.
func newHedgingIngress(share float64, h hedgeHop) (*Ingress, *hedgeChooser, chan HedgeRecord) {
	c, records := &hedgeChooser{first: "works"}, make(chan HedgeRecord, 100)
	i := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: fixedConfiguration{}, Chooser: c, Limit: fakeLimit{}, Hop: h, Guards: fakeGuards{}, Observer: noObserver{},
		Hedges: Hedges{Chooser: c, Share: func() float64 { return share }, Observer: func(r HedgeRecord) { records <- r }},
	})
	return i, c, records
}

// get sends a request that its caller gives up after limit.
func get(i *Ingress, limit time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	w := httptest.NewRecorder()
	i.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/fields", nil).WithContext(ctx))
	return w.Code
}

// earn lets the ingress do enough work that its allowance covers some hedges.
func earn(t *testing.T, i *Ingress) {
	t.Helper()
	i.hedging.mu.Lock()
	defer i.hedging.mu.Unlock()
	i.hedging.allowances["rounds"] = i.hedging.allowance("rounds").WithWork(time.Second)
}

func TestSlowRequestIsAnsweredByItsHedge(t *testing.T) {
	i, c, records := newHedgingIngress(0.1, hedgeHop{hedges: make(chan hop.Envelope, 100)})
	earn(t, i)
	c.first = "slow"
	if status := get(i, time.Minute); status != http.StatusOK {
		t.Errorf("status %d, want the answer of the hedge", status)
	}
	if r := <-records; !r.Ran || !r.Won || r.Service != "rounds" {
		t.Errorf("record of the hedge: %+v, want ran and won", r)
	}
}

func TestNoHedgeBeyondTheAllowance(t *testing.T) {
	for name, share := range map[string]float64{"no limit set": 0, "nothing earned": 0.1} {
		h := hedgeHop{hedges: make(chan hop.Envelope, 100)}
		i, c, _ := newHedgingIngress(share, h)
		c.first = "slow"
		get(i, 50*time.Millisecond)
		if len(h.hedges) > 0 {
			t.Errorf("%s: a hedge was sent", name)
		}
	}
}

// TestRefusedHedgeCostsNothing checks that a hedge which has not run is given back to the allowance, and that the route is
// not hedged again once a guard has said that its requests make calls.
func TestRefusedHedgeCostsNothing(t *testing.T) {
	h := hedgeHop{reason: guard.ReasonMakesCalls, hedges: make(chan hop.Envelope, 100)}
	i, c, records := newHedgingIngress(0.1, h)
	earn(t, i)
	before := i.hedging.allowances["rounds"]
	c.first = "slow"
	get(i, 100*time.Millisecond)
	if r := <-records; r.Ran {
		t.Errorf("record of the hedge: %+v, want not run", r)
	}
	if after := i.hedging.allowances["rounds"]; after != before {
		t.Errorf("allowance %+v after a hedge that has not run, want %+v", after, before)
	}
	sent := len(h.hedges)
	get(i, 50*time.Millisecond)
	if len(h.hedges) > sent {
		t.Error("the route is hedged again at once")
	}
}

// shedHop is a Hop on which the first attempt ends only when it is cancelled, the first hedge is refused by its backend
// server, and all others run. It counts the hedges.
type shedHop struct{ hedges chan hop.Envelope }

func (h shedHop) Forward(ctx context.Context, _ string, e hop.Envelope, _ forwarder.Request) (forwarder.Answer, error) {
	if !e.Hedge {
		<-ctx.Done()
		return forwarder.Answer{}, fmt.Errorf("%w: %w", forwarder.ErrAnswerLost, ctx.Err())
	}
	report := hop.Report{Attempt: e.Attempt, Ending: hop.Ran}
	if len(h.hedges) == 0 {
		report.Ending, report.Reason = hop.NotRun, guard.ReasonShed
	}
	h.hedges <- e
	return forwarder.Answer{Status: http.StatusOK, Header: http.Header{}, Report: report}, nil
}

// laterHedges is a hedgeChooser whose hedges are sent late enough that the first one's refusal is known before the next one is
// due.
type laterHedges struct{ *hedgeChooser }

func (laterHedges) HedgeDelay(string, class.Class) (time.Duration, bool) {
	return 20 * time.Millisecond, true
}

// TestEachHedgeIsChargedToTheRetryBudget checks that a hedge which uses the token of one that a backend server has refused is
// charged as well: both arrive at a backend server.
func TestEachHedgeIsChargedToTheRetryBudget(t *testing.T) {
	h := shedHop{hedges: make(chan hop.Envelope, 100)}
	i, c, _ := newHedgingIngress(0.1, hedgeHop{})
	i.Hop, i.hedging.Chooser = h, laterHedges{c}
	i.retryState = newRetryState(func() RetryBudget { return RetryBudget{Burst: 1} })
	earn(t, i)
	c.first = "slow"
	get(i, 200*time.Millisecond)
	if n := len(h.hedges); n > 1 {
		t.Errorf("%d hedges were sent with a retry budget of one extra attempt", n)
	}
}

// noSecondHedge is a laterHedges that finds a backend server for the first hedge only.
type noSecondHedge struct {
	laterHedges
	picked chan struct{}
}

func (c noSecondHedge) PickHedge(r picker.Request) (chooser.Target, error) {
	if len(c.picked) > 0 {
		return chooser.Target{}, picker.ErrNoBackend
	}
	c.picked <- struct{}{}
	return c.laterHedges.PickHedge(r)
}

// TestRefusedHedgeStaysCharged checks that the charge of a hedge which a backend server has refused is not given back when
// no backend server is found for a further one.
func TestRefusedHedgeStaysCharged(t *testing.T) {
	h := shedHop{hedges: make(chan hop.Envelope, 100)}
	i, c, _ := newHedgingIngress(0.1, hedgeHop{})
	i.Hop, i.hedging.Chooser = h, noSecondHedge{laterHedges: laterHedges{c}, picked: make(chan struct{}, 10)}
	i.retryState = newRetryState(func() RetryBudget { return RetryBudget{Burst: 1} })
	earn(t, i)
	c.first = "slow"
	get(i, 200*time.Millisecond)
	if len(h.hedges) != 1 || i.HasRetryBudget("rounds") {
		t.Errorf("%d hedges reached a backend server, extra attempts left: %v; want one, and none left", len(h.hedges), i.HasRetryBudget("rounds"))
	}
}
