package ingress

import (
	"sync"
	"time"

	"berylpass/attempt/allowance"
	"berylpass/attempt/hedge"
	"berylpass/attempt/lifecycle"
	"berylpass/choice/chooser"
	"berylpass/choice/picker"
	"berylpass/choice/verdict"
	"berylpass/config/class"
	"berylpass/config/route"
	"berylpass/decision"
	"berylpass/guard"
)

// callsRememberedFor is the time for which a route isn't hedged after a guard has refused a
// hedge because the route's requests make calls.
const callsRememberedFor = 10 * time.Second

// HedgeChooser chooses when and to which backend server a request is hedged.
type HedgeChooser interface {
	// HedgeDelay returns the time after which a request of the class is hedged, and whether that is known.
	HedgeDelay(service string, of class.Class) (time.Duration, bool)
	// PickHedge returns the backend server for a hedge. Its error wraps picker.ErrNoBackend.
	PickHedge(r picker.Request) (chooser.Target, error)
}

// Hedges are the parts that hedged requests need. Without a Chooser no request is hedged.
type Hedges struct {
	Chooser HedgeChooser
	// Share returns the present limit of the extra work, as a share of a service's work; 0 for none.
	Share func() float64
	// Observer is told of each hedge that is over.
	Observer func(HedgeRecord)
}

// HedgeRecord describes a hedge that is over.
type HedgeRecord struct {
	Service string
	// Ran reports whether the hedge reached a backend server, Won whether it answered the request.
	Ran, Won bool
	// Took is the time from sending the hedge to its end.
	Took time.Duration
}

// hedging keeps what decides on hedges: for each route the latencies that this ingress has seen, for
// each service the extra work that may still be spent. It is safe for concurrent use.
type hedging struct {
	Hedges
	mu         sync.Mutex
	latencies  map[string]*hedge.Hedge
	allowances map[string]allowance.Allowance
	// makesCalls holds for each route when a guard last said that its requests make calls.
	makesCalls map[string]time.Time
}

func newHedging(parts Hedges) *hedging {
	return &hedging{
		Hedges:     parts,
		latencies:  map[string]*hedge.Hedge{},
		allowances: map[string]allowance.Allowance{},
		makesCalls: map[string]time.Time{},
	}
}

// delay returns the time after which a request on the route is hedged, 0 for never. The ingress's own
// latencies of the route include the path; with too few of them, the service times that guards report count.
func (h *hedging) delay(now time.Time, r route.Route, service string, of class.Class, bodyBytes int) time.Duration {
	if h.Chooser == nil || h.Share() <= 0 || !r.Repeatable || r.LargeAnswer || bodyBytes > promptBody {
		return 0
	}
	h.mu.Lock()
	recent := now.Sub(h.makesCalls[r.Name]) < callsRememberedFor
	delay, ok := h.latency(r.Name).Delay(now)
	h.mu.Unlock()
	if recent {
		return 0
	}
	if !ok {
		if delay, ok = h.Chooser.HedgeDelay(service, of); !ok {
			return 0
		}
	}
	return delay
}

// latency returns the latencies of a route. The caller must hold h.mu.
func (h *hedging) latency(routeName string) *hedge.Hedge {
	l, ok := h.latencies[routeName]
	if !ok {
		l = hedge.New()
		h.latencies[routeName] = l
	}
	return l
}

// allowance returns the allowance of a service. The caller must hold h.mu.
func (h *hedging) allowance(service string) allowance.Allowance {
	return h.allowances[service].WithShare(h.Share())
}

// allows reports whether a hedge may be sent that is expected to take expected.
func (h *hedging) allows(service string, expected time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.allowance(service).Allows(expected)
}

// spend spends extra slot time on a service, or gives it back if it is negative.
func (h *hedging) spend(service string, extra time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.allowances[service] = h.allowance(service).WithExtra(extra)
}

// observe records how an attempt ended that was no hedge.
func (h *hedging) observe(now time.Time, r route.Route, service string, took time.Duration, v verdict.Verdict) {
	if h.Chooser == nil || v != verdict.OK {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latency(r.Name).Observe(now, took)
	h.allowances[service] = h.allowance(service).WithWork(took)
}

// mayHedge reports whether the request may be sent to a second backend server now. A hedge is expected to take
// at most the delay after which it is sent.
func (x *exchange) mayHedge() bool {
	return x.hedgeAfter > 0 && x.ingress.hedging.allows(x.service, x.hedgeAfter)
}

// pickHedge asks for a backend server for a hedge, charges the retry budget and reserves its slot time. A hedge may
// use the token of one that has not run, so the limits are asked here and not when the token is drawn.
func (x *exchange) pickHedge(r picker.Request) decision.Event {
	x.unpaid = false
	if !x.mayHedge() || !x.charge() {
		return lifecycle.NoneAvailable{Reason: reasonBudget}
	}
	target, err := x.ingress.hedging.Chooser.PickHedge(r)
	if err != nil {
		x.charged--
		x.ingress.refund(x.service, 1)
		return lifecycle.NoneAvailable{Reason: reasonNoBackend}
	}
	x.ingress.hedging.spend(x.service, x.hedgeAfter)
	x.target = target
	return lifecycle.Picked{Backend: target.Backend.ID, Guard: target.Guard.ID}
}

// settleHedge replaces the reserved slot time of a hedge by what it took, and tells the observer.
func (s *sentAttempt) settleHedge(took time.Duration, ran, won bool) {
	x := s.exchange
	h := x.ingress.hedging
	used := time.Duration(0)
	if ran {
		used = took
	}
	h.spend(x.service, used-x.hedgeAfter)
	if s.answer.Report.Reason == guard.ReasonMakesCalls {
		h.mu.Lock()
		h.makesCalls[x.route.Name] = x.ingress.Clock()
		h.mu.Unlock()
	}
	h.Observer(HedgeRecord{Service: x.service, Ran: ran, Won: won, Took: took})
}
