package fairqueue

import (
	"math"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/urgency"
)

// protectedLeast is the number of requests of a level that more urgent ones never displace.
const protectedLeast = 2

// EstimateAhead returns an estimate of how many queued requests run before a new one of the rank with the given cost.
func (q *Queue) EstimateAhead(r urgency.Rank, cost time.Duration) float64 {
	at := laneOf(r)
	l := &q.lanes[at]
	own, begin := 0, l.clock
	if f, ok := l.flows[r.Owner]; ok {
		own, begin = len(f.items), max(begin, f.virtualTime)
	}
	// The new request is served after those whose virtual start lies before its own.
	each := max(cost.Seconds(), time.Microsecond.Seconds())
	begin += float64(own) * each
	sameLane := float64(own)
	for _, f := range l.active {
		if f.organisation != r.Owner {
			sameLane += min(max(math.Floor((begin-f.virtualTime)/each)+1, 0), float64(len(f.items)))
		}
	}
	total := sameLane
	for k := range q.lanes {
		if lane(k) != at {
			total += min(float64(q.lanes[k].length), (sameLane+1)*q.weights[k]/q.weights[at])
		}
	}
	return total
}

// Victim returns the ID of the queued request that a new one of the rank with the given cost should displace. With
// precedence, that is the request which would run last of the least urgent level below its own that has more than
// protectedLeast, else the one of its own level, unless that would run before the new one. Without, it is the newest of
// a less urgent level that yields, else the newest of the longest flow; Victim then returns false if that flow is not
// longer than the organisation's own would become.
func (q *Queue) Victim(r urgency.Rank, cost time.Duration) (id.ID, bool) {
	if q.weights == precedence {
		return q.lastVictim(r, cost)
	}
	at, third := laneOf(r), laneOf(urgency.Rank{Level: urgency.Third})
	for k := lane(laneCount - 1); k > at && k >= third; k-- {
		if l := &q.lanes[k]; l.length > protectedLeast {
			return newest(l.longest()), true
		}
	}
	own := 0
	if f, ok := q.lanes[at].flows[r.Owner]; ok {
		own = len(f.items)
	}
	var longest *flow
	for k := range q.lanes {
		// The third level and the fourth yield to others and displace only their own requests.
		if lane(k) != at && (lane(k) >= third || at >= third) {
			continue
		}
		f := q.lanes[k].longest()
		if f != nil && (longest == nil || len(f.items) > len(longest.items)) {
			longest = f
		}
	}
	if longest == nil || len(longest.items) <= own+1 {
		return id.ID{}, false
	}
	return newest(longest), true
}

// lastVictim is Victim with precedence.
func (q *Queue) lastVictim(r urgency.Rank, cost time.Duration) (id.ID, bool) {
	at := laneOf(r)
	for k := lane(laneCount - 1); k > at; k-- {
		if l := &q.lanes[k]; l.length > protectedLeast {
			return newest(l.last()), true
		}
	}
	l := &q.lanes[at]
	own := l.clock
	if f, ok := l.flows[r.Owner]; ok {
		own = max(own, f.virtualTime) + float64(len(f.items))*cost.Seconds()
	}
	// The margin keeps requests of equal organisations from displacing each other.
	f := l.last()
	if f == nil || f.lastStart() <= own+cost.Seconds() {
		return id.ID{}, false
	}
	return newest(f), true
}

// last returns the flow whose newest request would run last, nil if the lane has no queued requests.
func (l *laneQueue) last() *flow {
	var last *flow
	for _, f := range l.active {
		if last == nil || f.lastStart() > last.lastStart() {
			last = f
		}
	}
	return last
}

// lastStart returns the virtual start of the newest request.
func (f *flow) lastStart() float64 {
	start := f.virtualTime
	for _, item := range f.items[:len(f.items)-1] {
		start += item.Cost.Seconds()
	}
	return start
}

// Last returns the request of a level that would run last. It returns false if the level has no queued requests.
func (q *Queue) Last(l urgency.Level) (Item, bool) {
	lanes := q.ofLevel(l)
	for k := len(lanes) - 1; k >= 0; k-- {
		if f := lanes[k].last(); f != nil {
			return f.items[len(f.items)-1], true
		}
	}
	return Item{}, false
}

// longest returns the flow with the most queued requests, the first in order if there are several; nil if the
// lane has no queued requests.
func (l *laneQueue) longest() *flow {
	var longest *flow
	for _, f := range l.active {
		if longest == nil || len(f.items) > len(longest.items) {
			longest = f
		}
	}
	return longest
}

// newest returns the ID of the last request of a flow.
func newest(f *flow) id.ID { return f.items[len(f.items)-1].ID }
