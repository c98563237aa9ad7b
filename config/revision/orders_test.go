package revision

import (
	"context"
	"testing"
	"time"

	"berylpass/rollout/order"
)

// fakeOrders is an Orders with one order.
type fakeOrders struct {
	order order.Order
	asOf  uint64
}

func (o fakeOrders) Orders(context.Context) ([]order.Order, uint64, error) {
	return []order.Order{o.order}, o.asOf, nil
}

// TestOrdersKeepTheirAge checks that an order keeps the greatest age that any daemon knows, that an older list is
// ignored, and that the list is passed on.
func TestOrdersKeepTheirAge(t *testing.T) {
	store, clock := &fakeStore{}, &fakeClock{now: time.Hour}
	var lists [][]order.Order
	source := fakeOrders{order: order.Order{Name: "rounds", Service: "rounds", Target: "v2", Duration: time.Minute, Revision: 7}, asOf: 9}
	f := New(store, soloFleet{}, soloFleet{}, store, WithProof(store, time.Second, clock.read),
		WithOrders(source, func(orders []order.Order, _ time.Duration) { lists = append(lists, orders) }))
	// Closed before the test calls its methods, so that none of its goroutines does.
	f.Close()
	f.readOrders(context.Background())
	clock.advance(2 * time.Second)
	f.readOrders(context.Background())
	if got := lists[len(lists)-1][0].Age; got != 2*time.Second {
		t.Errorf("age %s after 2 s", got)
	}
	known := source.order
	known.Age, known.State = 10*time.Second, order.Running
	f.takeOrders([]order.Order{known}, 11, clock.read()-time.Second)
	clock.advance(3 * time.Second)
	f.takeOrders([]order.Order{source.order}, 12, clock.read())
	if got := lists[len(lists)-1][0]; got.Age != 14*time.Second || got.State != order.Pending {
		t.Errorf("%+v, want an age of 14 s", got)
	}
	before := len(lists)
	f.takeOrders(nil, 10, clock.read()+time.Second)
	f.takeOrders(nil, 0, clock.read()+time.Second)
	if len(lists) != before {
		t.Error("an older or unknown list was taken")
	}
	p := f.ownProof()
	if p.OrdersAsOf != 12 || p.OrdersAge != 0 {
		t.Errorf("passed on: %+v", p)
	}
	var taken [][]order.Order
	other := New(store, soloFleet{}, soloFleet{}, store, WithProof(store, time.Second, clock.read),
		WithOrders(source, func(orders []order.Order, _ time.Duration) { taken = append(taken, orders) }))
	other.Close()
	other.takeProofOrders(Proof{Orders: []byte("["), OrdersAsOf: 13}, clock.read())
	other.takeProofOrders(p, clock.read())
	if len(taken) != 1 || len(taken[0]) != 1 || taken[0][0] != lists[len(lists)-1][0] {
		t.Errorf("taken over: %+v", taken)
	}
}
