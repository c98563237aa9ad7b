// Package budget bounds second attempts, retries and hedges together, to a share
// of a route's requests, so that trouble at the backend servers is not made
// worse by repeating.
//
// # Usage
//
//	b := budget.New(budget.DefaultShare, budget.DefaultBurst)
//	b.Deposit()          // at each request
//	if b.Withdraw() { }  // before each retry or hedge
package budget

const (
	// DefaultShare is the share of requests that may have a second attempt.
	DefaultShare = 0.1
	// DefaultBurst is the number of second attempts that may be saved up.
	DefaultBurst = 10
)

// Budget is a count of second attempts. It is not safe for concurrent use.
type Budget struct {
	share, burst, saved float64
}

// New returns a full budget that grows by share with each request, up to burst.
func New(share, burst float64) *Budget { return &Budget{share: share, burst: burst, saved: burst} }

// Deposit notes a request.
func (b *Budget) Deposit() { b.saved = min(b.burst, b.saved+b.share) }

// Withdraw takes one second attempt and reports whether there was one.
func (b *Budget) Withdraw() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
