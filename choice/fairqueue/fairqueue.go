// Package fairqueue implements the fair queue of requests for one backend server.
//
// Levels of urgency share the slots by weight, so that less urgent work yields without starving: by default, while
// the first three levels of newcomers have queued requests, they get 16, 8 and 1 of 25 parts of the slot time.
// WithPrecedence makes the weights so steep that a level goes before all less urgent ones but for a least share.
// Within a level, organisations share equally. Both use start-time fair queueing (Goyal, Vin, Cheng, 1996): the
// flow with the least virtual time is served first. Settle replaces the expected slot time by the actual one,
// so that an organisation with long requests gets no more than one with short ones. Within an organisation,
// requests are served in order of arrival.
//
// A request that can still be answered within its target goes before those of its level that can't, but for one in
// LateTurn. Calls go before newcomers, and have levels of their own, by the urgency of the requests that make them.
//
// # Usage
//
//	q := fairqueue.New()
//	q.Push(item)
//	item, ok := q.Pop(now, urgency.Fourth)
//	q.Settle(item.Rank, took-item.Cost)
package fairqueue

import (
	"slices"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/urgency"
	"berylpass/config/class"
)

// weights are the shares of the slot time that the lanes get while all of them have queued requests.
type weights [laneCount]float64

var (
	defaultWeights = weights{64, 64, 64, 64, 16, 8, 1, 1}
	// precedence leaves the second level a least share of 6% beside the first, the third 2% and the fourth 1%:
	// enough for work to go on, little enough that none is served more often than a more urgent level. It is the same
	// among calls, the least urgent of which has ten times the weight of the most urgent newcomer.
	precedence = weights{400_000, 24_000, 8_000, 4_000, 400, 24, 8, 4}
)

const (
	// maxIdleFlows is the number of flows without queued requests that a level may keep.
	maxIdleFlows = 64
	// LateTurn is the number of requests of a level of which one is taken in order of the flows, although others
	// can still be answered within their target.
	LateTurn = 4
)

// Item is a queued request.
type Item struct {
	ID id.ID
	// Rank decides the place in the queue. Its level must not be urgency.Unranked.
	Rank    urgency.Rank
	Class   class.Class
	Arrived time.Time
	// Target is until when the answer should arrive; zero for no such time.
	Target time.Time
	// Expires is when the caller stops waiting for the answer.
	Expires time.Time
	// Cost is the expected slot time of the request.
	Cost time.Duration
}

// InTime reports whether the request can be answered within its target if it starts at the time now.
func (i Item) InTime(now time.Time) bool {
	return i.Target.IsZero() || !now.Add(i.Cost).After(i.Target)
}

// Queue is a fair queue of requests. It is not safe for concurrent use.
type Queue struct {
	weights weights
	lanes   [laneCount]laneQueue
	// clock is the virtual clock of the lanes, in seconds.
	clock float64
	// length is the number of queued requests.
	length int
}

// laneQueue is the queue of a lane.
type laneQueue struct {
	flows map[string]*flow
	// active lists the flows with queued requests, in the order in which they got their first.
	active []*flow
	// virtualTime is the virtual time of the lane among the lanes; clock is the virtual clock of its flows.
	// Both are in seconds.
	virtualTime, clock float64
	length             int
	// turn counts the requests taken, for LateTurn.
	turn int
}

// flow is the queue of one organisation in a lane.
type flow struct {
	organisation string
	items        []Item
	// virtualTime is the virtual start time of the next request, in seconds.
	virtualTime float64
}

// Option configures a Queue.
type Option func(*Queue)

// WithPrecedence returns an Option that lets each level go before all less urgent ones but for a least share of these.
func WithPrecedence() Option { return func(q *Queue) { q.weights = precedence } }

// New returns an empty Queue.
func New(options ...Option) *Queue {
	q := &Queue{weights: defaultWeights}
	for l := range q.lanes {
		q.lanes[l].flows = make(map[string]*flow)
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.length }

// Flows returns the number of flows in memory, with and without queued requests.
func (q *Queue) Flows() int {
	n := 0
	for l := range q.lanes {
		n += len(q.lanes[l].flows)
	}
	return n
}

// Push adds a request at the end of its organisation's flow.
func (q *Queue) Push(item Item) {
	l := &q.lanes[laneOf(item.Rank)]
	f := l.flow(item.Rank.Owner)
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

// Queued returns the number of queued requests of a level.
func (q *Queue) Queued(l urgency.Level) int {
	n := 0
	for _, lane := range q.ofLevel(l) {
		n += lane.length
	}
	return n
}

// Items returns the queued requests of a level, flow by flow.
func (q *Queue) Items(l urgency.Level) []Item {
	var all []Item
	for _, lane := range q.ofLevel(l) {
		for _, f := range lane.active {
			all = append(all, f.items...)
		}
	}
	return all
}

// Pop removes and returns the next request to run at the time now and charges its cost. It takes none that is less
// urgent than the level least, and returns false if there is no other.
func (q *Queue) Pop(now time.Time, least urgency.Level) (Item, bool) {
	l := q.nextLane(least)
	if l == nil {
		return Item{}, false
	}
	f, i := l.next(now)
	item := f.items[i]
	q.remove(l, f, i)
	q.charge(l, f, laneOf(item.Rank), item.Cost)
	return item, true
}

// next returns the flow and the index of the request that is served next. There must be one.
func (l *laneQueue) next(now time.Time) (*flow, int) {
	l.turn++
	if l.turn%LateTurn != 0 {
		if f, i := l.first(func(item Item) bool { return item.InTime(now) }); f != nil {
			return f, i
		}
	}
	return l.first(func(Item) bool { return true })
}

// first returns the flow with the least virtual time among those with a suitable request, and the index of the
// first such request. It returns nil if there is none.
func (l *laneQueue) first(suitable func(Item) bool) (best *flow, at int) {
	for _, f := range l.active {
		if i := slices.IndexFunc(f.items, suitable); i >= 0 && (best == nil || f.virtualTime < best.virtualTime) {
			best, at = f, i
		}
	}
	return best, at
}

// Charge charges slot time for a request that runs without having been queued.
func (q *Queue) Charge(r urgency.Rank, cost time.Duration) {
	l := &q.lanes[laneOf(r)]
	f := l.flow(r.Owner)
	if len(f.items) == 0 {
		f.virtualTime = max(f.virtualTime, l.clock)
	}
	if l.length == 0 {
		l.virtualTime = max(l.virtualTime, q.clock)
	}
	q.charge(l, f, laneOf(r), cost)
	if len(l.flows) > len(l.active)+maxIdleFlows {
		l.dropIdle()
	}
}

// Settle corrects the slot time charged for a request by the difference between the actual and the charged
// time.
func (q *Queue) Settle(r urgency.Rank, difference time.Duration) {
	l := &q.lanes[laneOf(r)]
	if f, ok := l.flows[r.Owner]; ok {
		f.virtualTime += difference.Seconds()
		l.virtualTime += difference.Seconds() / q.weights[laneOf(r)]
	}
}

// Remove removes and returns the request with the given ID. It returns false if the request is not queued.
func (q *Queue) Remove(attempt id.ID) (Item, bool) {
	for n := range q.lanes {
		l := &q.lanes[n]
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
	for n := range q.lanes {
		l := &q.lanes[n]
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

// nextLane returns the lane with the least virtual time among those with queued requests that are not less urgent
// than least; nil if there is none.
func (q *Queue) nextLane(least urgency.Level) *laneQueue {
	var best *laneQueue
	_, end := lanesOf(least)
	for n := range q.lanes[:end] {
		l := &q.lanes[n]
		if l.length > 0 && (best == nil || l.virtualTime < best.virtualTime) {
			best = l
		}
	}
	return best
}

// charge advances the virtual clocks to the virtual start of a request, and the virtual times of its flow and
// lane to the expected end.
func (q *Queue) charge(l *laneQueue, f *flow, of lane, cost time.Duration) {
	l.clock = max(l.clock, f.virtualTime)
	q.clock = max(q.clock, l.virtualTime)
	f.virtualTime += cost.Seconds()
	l.virtualTime += cost.Seconds() / q.weights[of]
}

// remove removes item i of a flow.
func (q *Queue) remove(l *laneQueue, f *flow, i int) {
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
func (l *laneQueue) flow(organisation string) *flow {
	f, ok := l.flows[organisation]
	if !ok {
		f = &flow{organisation: organisation, virtualTime: l.clock}
		l.flows[organisation] = f
	}
	return f
}

// dropIdle drops the idle flows whose virtual time the clock has passed, and all other idle ones too if more
// than maxIdleFlows are left.
func (l *laneQueue) dropIdle() {
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
