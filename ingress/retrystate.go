package ingress

import (
	"sync"

	"berylpass/attempt/budget"
)

// RetryBudget bounds the retry budget of each service: the number of retries and hedges
// together that a daemon may make.
type RetryBudget struct {
	// Share is the number of extra attempts that each request adds to the budget, Burst the
	// largest number of extra attempts that the budget holds.
	Share, Burst float64
	// StartEmpty makes a new budget start empty instead of full.
	StartEmpty bool
}

// retryState keeps the retry budget of each service.
type retryState struct {
	mu      sync.Mutex
	budgets map[string]*budget.Budget
	// retries returns the present bounds of the budgets.
	retries func() RetryBudget
}

func newRetryState(retries func() RetryBudget) *retryState {
	return &retryState{budgets: map[string]*budget.Budget{}, retries: retries}
}

func defaultRetries() RetryBudget {
	return RetryBudget{Share: budget.DefaultShare, Burst: budget.DefaultBurst}
}

// budget returns the retry budget of a service. The caller must hold s.mu.
func (s *retryState) budget(service string) *budget.Budget {
	r := s.retries()
	b, ok := s.budgets[service]
	if !ok {
		b = budget.New(r.Share, r.Burst)
		if r.StartEmpty {
			b = b.WithEmptyBalance()
		}
		s.budgets[service] = b
	}
	return b.WithBurst(r.Burst)
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

// withdraw takes one extra attempt from the service's retry budget and reports whether there
// was one.
func (i *Ingress) withdraw(service string) bool {
	i.retryState.mu.Lock()
	defer i.retryState.mu.Unlock()
	return i.retryState.budget(service).Withdraw()
}

// refund returns n extra attempts that were withdrawn and not made to the service's retry budget.
func (i *Ingress) refund(service string, n int) {
	i.retryState.mu.Lock()
	defer i.retryState.mu.Unlock()
	for range n {
		i.retryState.budget(service).Refund()
	}
}

// HasRetryBudget reports whether the service's retry budget has an extra attempt left.
func (i *Ingress) HasRetryBudget(service string) bool {
	i.retryState.mu.Lock()
	defer i.retryState.mu.Unlock()
	return i.retryState.budget(service).Available()
}
