// Package budget implements a retry budget: it limits extra attempts, which are
// retries and hedged requests together, to a share of a service's requests, so that
// repeated requests do not overload backend servers that are already failing.
//
// Over any period, a daemon's extra attempts are at most the burst plus the share
// of its requests. The bursts of all daemons add up, so each daemon must get its
// part of the burst that is allowed for the fleet.
//
// # Usage
//
//	b := budget.New(budget.DefaultShare, budget.DefaultBurst)
//	b.Deposit()          // at each request
//	if b.Withdraw() { }  // before each retry or hedge
//	b.Charge(0.5)        // for a request that an extra attempt elsewhere may have caused
package budget

const (
	// DefaultShare is the number of extra attempts allowed per request.
	DefaultShare = 0.1
	// DefaultBurst is the largest number of extra attempts that may be saved up.
	DefaultBurst = 10
	// maxDebt is how far, in attempts, Charge may bring the balance below zero: as many calls
	// as the repeated runs on a VM's slots may make at once.
	maxDebt = 16
)

// Budget is a balance of extra attempts. It is not safe for concurrent use.
type Budget struct {
	share, burst, balance float64
}

// New returns a full budget that grows by share with each request, up to burst.
func New(share, burst float64) *Budget { return &Budget{share: share, burst: burst, balance: burst} }

// WithEmptyBalance sets the balance to zero and returns the budget. A daemon that restarts begins
// with it, because its earlier process may have spent the burst.
func (b *Budget) WithEmptyBalance() *Budget {
	b.balance = 0
	return b
}

// Deposit adds the share of one request to the balance.
func (b *Budget) Deposit() { b.balance = min(b.burst, b.balance+b.share) }

// WithBurst changes the burst, lowers the balance to it if necessary, and returns the budget.
func (b *Budget) WithBurst(burst float64) *Budget {
	b.burst = burst
	b.balance = min(b.balance, burst)
	return b
}

// Charge takes amount extra attempts that happen without a Withdraw, such as the calls
// that a repeated run makes. It may bring the balance down to -maxDebt.
func (b *Budget) Charge(amount float64) { b.balance = max(b.balance-amount, -maxDebt) }

// Refund returns an extra attempt that was withdrawn and not made.
func (b *Budget) Refund() { b.balance = min(b.burst, b.balance+1) }

// Available reports whether an extra attempt can be withdrawn.
func (b *Budget) Available() bool { return b.balance >= 1 }

// Withdraw takes one extra attempt from the balance and reports whether it was available.
func (b *Budget) Withdraw() bool {
	if !b.Available() {
		return false
	}
	b.balance--
	return true
}
