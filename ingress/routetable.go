package ingress

import (
	"sync"
	"time"

	"berylpass/attempt/budget"
	"berylpass/attempt/hedge"
)

// Retries bounds the retry budget of each service: the number of retries and hedges
// together that a daemon may make.
type Retries struct {
	// Share is the number of attempts that each request adds to the budget, Burst the
	// largest number of attempts that the budget holds.
	Share, Burst float64
	// Empty makes a new budget start empty instead of full.
	Empty bool
}

// retryState keeps the retry budget of each service, and for each route the latencies that
// decide when to hedge.
type retryState struct {
	mu      sync.Mutex
	budgets map[string]*budget.Budget
	hedges  map[string]*hedge.Hedge
	// retries returns the present bounds of the budgets.
	retries func() Retries
}

func newRetryState(retries func() Retries) *retryState {
	return &retryState{budgets: map[string]*budget.Budget{}, hedges: map[string]*hedge.Hedge{}, retries: retries}
}

func defaultRetries() Retries {
	return Retries{Share: budget.DefaultShare, Burst: budget.DefaultBurst}
}

// budget returns the retry budget of a service. The caller must hold t.mu.
func (t *retryState) budget(service string) *budget.Budget {
	r := t.retries()
	b, ok := t.budgets[service]
	if !ok {
		b = budget.New(r.Share, r.Burst)
		if r.Empty {
			b = b.Emptied()
		}
		t.budgets[service] = b
	}
	return b.WithBurst(r.Burst)
}

// hedge returns the hedge of a route. The caller must hold t.mu.
func (t *retryState) hedge(route string) *hedge.Hedge {
	h, ok := t.hedges[route]
	if !ok {
		h = hedge.New()
		t.hedges[route] = h
	}
	return h
}

// deposit adds a request's share to the service's retry budget and charges it repeated, the
// probability from 0 to 1 that the request comes from a repeated run on this VM.
func (i *Ingress) deposit(service string, repeated float64) {
	i.retryState.mu.Lock()
	defer i.retryState.mu.Unlock()
	b := i.retryState.budget(service)
	b.Deposit()
	b.Charge(repeated)
}

// hedgeDelay returns the time after which a request on the route is hedged, 0 for never.
func (i *Ingress) hedgeDelay(route string) time.Duration {
	i.retryState.mu.Lock()
	defer i.retryState.mu.Unlock()
	delay, ok := i.retryState.hedge(route).Delay(i.Clock())
	if !ok {
		return 0
	}
	return delay
}

// withdraw takes one attempt from the service's retry budget and reports whether there was
// one.
func (i *Ingress) withdraw(service string) bool {
	i.retryState.mu.Lock()
	defer i.retryState.mu.Unlock()
	return i.retryState.budget(service).Withdraw()
}

// refund returns n attempts that were withdrawn and not made to the service's retry budget.
func (i *Ingress) refund(service string, n int) {
	i.retryState.mu.Lock()
	defer i.retryState.mu.Unlock()
	for range n {
		i.retryState.budget(service).Refund()
	}
}

// MayRepeat reports whether the service's retry budget has an attempt left.
func (i *Ingress) MayRepeat(service string) bool {
	i.retryState.mu.Lock()
	defer i.retryState.mu.Unlock()
	return i.retryState.budget(service).Available()
}

// observeLatency records the latency of a successful attempt for the route's hedge.
func (i *Ingress) observeLatency(route string, took time.Duration) {
	i.retryState.mu.Lock()
	defer i.retryState.mu.Unlock()
	i.retryState.hedge(route).Observe(i.Clock(), took)
}
