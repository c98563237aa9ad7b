package ingress

import (
	"sync"
	"time"

	"berylpass/attempt/budget"
	"berylpass/attempt/hedge"
)

// routeTable keeps, for each route, the budget for second attempts and the
// answer times that decide when to hedge.
type routeTable struct {
	mu   sync.Mutex
	rows map[string]*routeRow
}

type routeRow struct {
	budget *budget.Budget
	hedge  *hedge.Hedge
}

func newRouteTable() *routeTable { return &routeTable{rows: map[string]*routeRow{}} }

// row returns the row of a route. The caller holds t.mu.
func (t *routeTable) row(name string) *routeRow {
	r, ok := t.rows[name]
	if !ok {
		r = &routeRow{budget: budget.New(budget.DefaultShare, budget.DefaultBurst), hedge: hedge.New()}
		t.rows[name] = r
	}
	return r
}

// hedgeDelay notes a request and returns the time after which it is worth a
// second attempt, 0 for never.
func (i *Ingress) hedgeDelay(name string) time.Duration {
	i.routes.mu.Lock()
	defer i.routes.mu.Unlock()
	r := i.routes.row(name)
	r.budget.Deposit()
	delay, ok := r.hedge.Delay(i.Clock())
	if !ok {
		return 0
	}
	return delay
}

// withdraw takes a second attempt from the route's budget and reports whether there was one.
func (i *Ingress) withdraw(name string) bool {
	i.routes.mu.Lock()
	defer i.routes.mu.Unlock()
	return i.routes.row(name).budget.Withdraw()
}

func (i *Ingress) observeTime(name string, took time.Duration) {
	i.routes.mu.Lock()
	defer i.routes.mu.Unlock()
	i.routes.row(name).hedge.Observe(i.Clock(), took)
}
