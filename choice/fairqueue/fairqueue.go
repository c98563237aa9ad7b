// Package fairqueue implements the fair queue of requests for one backend server.
//
// Classes share the slots by weight, so that background work yields without starving: while all classes have
// queued requests, reservations get 16 of 25 parts of the slot time, transfers 8 and background work 1. Within
// a class, organisations share equally. Both levels use start-time fair queueing (Goyal, Vin, Cheng, 1996): the
// flow with the least virtual time is served first. Settle replaces the expected slot time by the actual one,
// so that an organisation with long requests gets no more than one with short ones. Within an organisation,
// requests are served in order of arrival.
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

// weights are the shares of the slot time that the classes get while all of them have queued requests.
var weights = [class.Count]float64{class.Reservation: 16, class.Transfer: 8, class.Background: 1}

// maxIdleFlows is the number of flows without queued requests that a class may keep.
const maxIdleFlows = 64

// Item is a queued request.
type Item struct {
	ID           id.ID
	Organisation string
	Class        class.Class
	Arrived      time.Time
	// Expires is when the caller stops waiting for the answer.
	Expires time.Time
	// Cost is the expected slot time of the request.
	Cost time.Duration
}

// Queue is a fair queue of requests. It is not safe for concurrent use.
type Queue struct {
	classes [class.Count]classQueue
	// clock is the virtual clock of the classes, in seconds.
	clock float64
	// length is the number of queued requests.
	length int
}

// classQueue is the queue of a class.
type classQueue struct {
	flows map[string]*flow
	// active lists the flows with queued requests, in the order in which they got their first.
	active []*flow
	// virtualTime is the virtual time of the class among the classes; clock is the virtual clock of its flows.
	// Both are in seconds.
	virtualTime, clock float64
	length             int
}

// flow is the queue of one organisation in a class.
type flow struct {
	organisation string
	items        []Item
	// virtualTime is the virtual start time of the next request, in seconds.
	virtualTime float64
}

// New returns an empty Queue.
func New() *Queue {
	q := &Queue{}
	for c := range q.classes {
		q.classes[c].flows = make(map[string]*flow)
	}
	return q
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.length }

// Flows returns the number of flows in memory, with and without queued requests.
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
		l.virtualTime = max(l.virtualTime, q.clock)
	}
	if len(f.items) == 0 {
		f.virtualTime = max(f.virtualTime, l.clock)
		l.active = append(l.active, f)
	}
	f.items = append(f.items, item)
	l.length++
	q.length++
}

// Pop removes and returns the next request to run and charges its cost. It returns false if the queue is empty.
func (q *Queue) Pop() (Item, bool) {
	l := q.nextClass()
	if l == nil {
		return Item{}, false
	}
	f := l.active[0]
	for _, o := range l.active[1:] {
		if o.virtualTime < f.virtualTime {
			f = o
		}
	}
	item := f.items[0]
	q.remove(l, f, 0)
	q.charge(l, f, item.Class, item.Cost)
	return item, true
}

// Charge charges slot time for a request that runs without having been queued.
func (q *Queue) Charge(c class.Class, organisation string, cost time.Duration) {
	l := &q.classes[c]
	f := l.flow(organisation)
	if len(f.items) == 0 {
		f.virtualTime = max(f.virtualTime, l.clock)
	}
	if l.length == 0 {
		l.virtualTime = max(l.virtualTime, q.clock)
	}
	q.charge(l, f, c, cost)
	if len(l.flows) > len(l.active)+maxIdleFlows {
		l.dropIdle()
	}
}

// Settle corrects the slot time charged for a request by the difference between the actual and the charged
// time.
func (q *Queue) Settle(c class.Class, organisation string, difference time.Duration) {
	l := &q.classes[c]
	if f, ok := l.flows[organisation]; ok {
		f.virtualTime += difference.Seconds()
		l.virtualTime += difference.Seconds() / weights[c]
	}
}

// Remove removes and returns the request with the given ID. It returns false if the request is not queued.
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

// Filter removes and returns the requests for which drop returns true, in a deterministic order.
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

// nextClass returns the class with the least virtual time among those with queued requests; nil if there is
// none.
func (q *Queue) nextClass() *classQueue {
	var best *classQueue
	for c := range q.classes {
		l := &q.classes[c]
		if l.length > 0 && (best == nil || l.virtualTime < best.virtualTime) {
			best = l
		}
	}
	return best
}

// charge advances the virtual clocks to the virtual start of a request, and the virtual times of its flow and
// class to the expected end.
func (q *Queue) charge(l *classQueue, f *flow, c class.Class, cost time.Duration) {
	l.clock = max(l.clock, f.virtualTime)
	q.clock = max(q.clock, l.virtualTime)
	f.virtualTime += cost.Seconds()
	l.virtualTime += cost.Seconds() / weights[c]
}

// remove removes item i of a flow.
func (q *Queue) remove(l *classQueue, f *flow, i int) {
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
	if len(l.flows) > len(l.active)+maxIdleFlows {
		l.dropIdle()
	}
}

// flow returns the flow of an organisation and creates it if necessary.
func (l *classQueue) flow(organisation string) *flow {
	f, ok := l.flows[organisation]
	if !ok {
		f = &flow{organisation: organisation, virtualTime: l.clock}
		l.flows[organisation] = f
	}
	return f
}

// dropIdle drops the idle flows whose virtual time the clock has passed, and all other idle ones too if more
// than maxIdleFlows are left.
func (l *classQueue) dropIdle() {
	for name, f := range l.flows {
		if len(f.items) == 0 && f.virtualTime <= l.clock {
			delete(l.flows, name)
		}
	}
	if len(l.flows) <= len(l.active)+maxIdleFlows {
		return
	}
	for name, f := range l.flows {
		if len(f.items) == 0 {
			delete(l.flows, name)
		}
	}
}
