package revision

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"berylpass/rollout/order"
)

// orderRefreshAge is the age at which the list of roll-out orders is read again.
const orderRefreshAge = 1500 * time.Millisecond

// Orders returns the operators' roll-out orders.
type Orders interface {
	// Orders returns all orders, and the store's version, as in object.Object, as of which the
	// list holds.
	Orders(ctx context.Context) (orders []order.Order, asOf uint64, err error)
}

// WithOrders makes the follower read the roll-out orders along with the proof of WithProof, which
// must be given before it, and pass them on to other daemons. onList is called with each list that
// is read or received, with the uptime at which its read began, if it isn't older than the list
// before. It must not block and must not call the follower.
func WithOrders(source Orders, onList func(orders []order.Order, at time.Duration)) Option {
	return func(f *Follower) { f.proof.orders = &orderList{source: source, onList: onList} }
}

// orderList is the list of the roll-out orders.
type orderList struct {
	source Orders
	onList func(orders []order.Order, at time.Duration)
	// orders have their age as of at.
	orders []order.Order
	// asOf is the store's version as of which the list holds; 0 if it is unknown.
	asOf uint64
	// at is the uptime at the start of the read that last confirmed the list.
	at time.Duration
}

// RefreshOrders makes the next read of the store due soon, and that of the orders with it. It is
// called if the store probably holds another state of an order.
func (f *Follower) RefreshOrders() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.proof.orders; l != nil {
		l.at = min(l.at, f.proof.uptime()-orderRefreshAge)
		f.proof.freshness.ReadSoon()
	}
}

// readOrders reads the list of orders if it is unknown or older than orderRefreshAge.
func (f *Follower) readOrders(ctx context.Context) {
	l := f.proof.orders
	if l == nil {
		return
	}
	f.mu.Lock()
	start := f.proof.uptime()
	due := l.asOf == 0 || start-l.at >= orderRefreshAge
	f.mu.Unlock()
	if !due {
		return
	}
	if orders, asOf, err := l.source.Orders(ctx); err == nil {
		f.takeOrders(orders, asOf, start)
	}
}

// takeOrders puts a list of orders, whose read began at the uptime at, in force unless it is older
// than the current one. An order keeps the greatest age that this daemon or another knows.
func (f *Follower) takeOrders(orders []order.Order, asOf uint64, at time.Duration) {
	l := f.proof.orders
	if l == nil || asOf == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if asOf < l.asOf || asOf == l.asOf && at <= l.at {
		return
	}
	next, latest := slices.Clone(orders), max(at, l.at)
	for i := range next {
		next[i].Age += latest - at
		for _, known := range l.orders {
			if known.Key() == next[i].Key() {
				next[i].Age = max(next[i].Age, known.Age+latest-l.at)
			}
		}
	}
	l.orders, l.asOf, l.at = next, asOf, latest
	l.onList(slices.Clone(next), l.at)
}

// addTo adds the list to a proof for other daemons.
func (l *orderList) addTo(p *Proof, uptime time.Duration) {
	if l == nil || l.asOf == 0 {
		return
	}
	if len(l.orders) > 0 {
		text, err := json.Marshal(l.orders)
		if err != nil {
			return
		}
		p.Orders = text
	}
	p.OrdersAsOf, p.OrdersAge = l.asOf, uptime-l.at
}

// takeProofOrders takes the list of orders over from a proof that was asked for at the uptime start. A list that can't
// be decoded counts as none.
func (f *Follower) takeProofOrders(p Proof, start time.Duration) {
	var orders []order.Order
	if len(p.Orders) > 0 && json.Unmarshal(p.Orders, &orders) != nil {
		return
	}
	f.takeOrders(orders, p.OrdersAsOf, start-p.OrdersAge)
}
