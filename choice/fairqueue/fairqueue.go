// Package fairqueue holds the requests that wait for one backend server.
//
// Classes share the slots by weight, so that background work gives way without
// being starved: while all classes wait, reservations get 16 of 25 parts of the
// slot time, transfers 8 and background work 1. Inside a class, organisations
// share equally. Both use start-time fair queueing (Goyal, Vin, Cheng, 1996): the
// flow with the least virtual time goes first, and Settle replaces the expected
// slot time by the real one, so an organisation with long requests gets no more
// than one with short ones. Inside an organisation, requests keep their order.
//
// # Usage
//
//	q := fairqueue.New()
//	q.Push(item)
//	item, ok := q.Pop()
//	q.Settle(item.Class, item.Organisation, took-item.Cost)
package fairqueue

import (
	"time"

	"berylpass/attempt/id"
	"berylpass/config/class"
)

// weights are the parts of the slot time that the classes get while all of them wait.
var weights = [class.Count]float64{class.Reservation: 16, class.Transfer: 8, class.Background: 1}

// idleFlows is the number of flows without waiting requests that a class keeps.
const idleFlows = 64

// Item is a waiting request.
type Item struct {
	ID           id.ID
	Organisation string
	Class        class.Class
	Arrived      time.Time
	// Expires is when the caller no longer waits.
	Expires time.Time
	// Cost is the expected slot time.
	Cost time.Duration
}

// Queue is a set of waiting requests.
type Queue struct {
	classes [class.Count]line
	clock   float64
	length  int
}

// line is the queue of a class.
type line struct {
	flows map[string]*flow
	// active lists the flows that wait, in the order in which they began to.
	active []*flow
	// pass is the virtual time of the class among classes, clock the one inside it.
	pass, clock float64
	length      int
}

// flow is the queue of one organisation in a class.
type flow struct {
	organisation string
	items        []Item
	pass         float64
}

// New returns an empty queue.
func New() *Queue {
	q := &Queue{}
	for c := range q.classes {
		q.classes[c].flows = make(map[string]*flow)
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Flows returns the number of flows that are kept, waiting or not.
func (q *Queue) Flows() int {
	n := 0
	for c := range q.classes {
		n += len(q.classes[c].flows)
	}
	return n
}

// Push adds a request at the end of its organisation's flow.
func (q *Queue) Push(item Item) {
	l := &q.classes[item.Class]
	f := l.flow(item.Organisation)
	if l.length == 0 {
		l.pass = max(l.pass, q.clock)
	}
	if len(f.items) == 0 {
		f.pass = max(f.pass, l.clock)
		l.active = append(l.active, f)
	}
	f.items = append(f.items, item)
	l.length++
	q.length++
}

// Pop removes the request that is to run next and charges its cost.
func (q *Queue) Pop() (Item, bool) {
	l := q.next()
	if l == nil {
		return Item{}, false
	}
	f := l.active[0]
	for _, o := range l.active[1:] {
		if o.pass < f.pass {
			f = o
		}
	}
	item := f.items[0]
	q.remove(l, f, 0)
	q.charge(l, f, item.Class, item.Cost)
	return item, true
}

// Charge counts slot time for a request that ran without waiting.
func (q *Queue) Charge(c class.Class, organisation string, cost time.Duration) {
	l := &q.classes[c]
	f := l.flow(organisation)
	if len(f.items) == 0 {
		f.pass = max(f.pass, l.clock)
	}
	if l.length == 0 {
		l.pass = max(l.pass, q.clock)
	}
	q.charge(l, f, c, cost)
	if len(l.flows) > len(l.active)+idleFlows {
		l.forget()
	}
}

// Settle corrects what was charged by the difference to the real slot time.
func (q *Queue) Settle(c class.Class, organisation string, difference time.Duration) {
	l := &q.classes[c]
	if f, ok := l.flows[organisation]; ok {
		f.pass += difference.Seconds()
		l.pass += difference.Seconds() / weights[c]
	}
}

// Remove takes the request with the given ID out. It reports whether it waited.
func (q *Queue) Remove(attempt id.ID) (Item, bool) {
	for c := range q.classes {
		l := &q.classes[c]
		for _, f := range l.active {
			for i, item := range f.items {
				if item.ID == attempt {
					q.remove(l, f, i)
					return item, true
				}
			}
		}
	}
	return Item{}, false
}

// Filter removes and returns, in a fixed order, the requests that drop reports true for.
func (q *Queue) Filter(drop func(Item) bool) []Item {
	var dropped []Item
	for c := range q.classes {
		l := &q.classes[c]
		for a := len(l.active) - 1; a >= 0; a-- {
			f := l.active[a]
			for i := len(f.items) - 1; i >= 0; i-- {
				if drop(f.items[i]) {
					dropped = append(dropped, f.items[i])
					q.remove(l, f, i)
				}
			}
		}
	}
	return dropped
}

// next returns the waiting class with the least virtual time.
func (q *Queue) next() *line {
	var best *line
	for c := range q.classes {
		l := &q.classes[c]
		if l.length > 0 && (best == nil || l.pass < best.pass) {
			best = l
		}
	}
	return best
}

// charge starts a request: the clocks reach its start, the virtual times its expected end.
func (q *Queue) charge(l *line, f *flow, c class.Class, cost time.Duration) {
	l.clock = max(l.clock, f.pass)
	q.clock = max(q.clock, l.pass)
	f.pass += cost.Seconds()
	l.pass += cost.Seconds() / weights[c]
}

// remove takes item i out of a flow.
func (q *Queue) remove(l *line, f *flow, i int) {
	f.items = append(f.items[:i], f.items[i+1:]...)
	l.length--
	q.length--
	if len(f.items) > 0 {
		return
	}
	f.items = nil
	for a, o := range l.active {
		if o == f {
			l.active = append(l.active[:a], l.active[a+1:]...)
			break
		}
	}
	if len(l.flows) > len(l.active)+idleFlows {
		l.forget()
	}
}

// flow returns the flow of an organisation.
func (l *line) flow(organisation string) *flow {
	f, ok := l.flows[organisation]
	if !ok {
		f = &flow{organisation: organisation, pass: l.clock}
		l.flows[organisation] = f
	}
	return f
}

// forget drops the idle flows whose virtual time has been passed, and all idle ones if too many are left.
func (l *line) forget() {
	for name, f := range l.flows {
		if len(f.items) == 0 && f.pass <= l.clock {
			delete(l.flows, name)
		}
	}
	if len(l.flows) <= len(l.active)+idleFlows {
		return
	}
	for name, f := range l.flows {
		if len(f.items) == 0 {
			delete(l.flows, name)
		}
	}
}
