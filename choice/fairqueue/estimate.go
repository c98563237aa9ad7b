package fairqueue

import (
	"berylpass/attempt/id"
	"berylpass/choice/urgency"
)

// protectedLeast is the number of requests of a level that more urgent ones never displace.
const protectedLeast = 2

// EstimateAhead returns an estimate of how many queued requests run before a new one of the rank.
func (q *Queue) EstimateAhead(r urgency.Rank) float64 {
	l := &q.levels[r.Level]
	own := 0
	if f, ok := l.flows[r.Owner]; ok {
		own = len(f.items)
	}
	sameLevel := own
	for _, f := range l.active {
		if f.organisation != r.Owner {
			sameLevel += min(len(f.items), own+1)
		}
	}
	total := float64(sameLevel)
	for k := range q.levels {
		if urgency.Level(k) != r.Level {
			total += min(float64(q.levels[k].length), float64(sameLevel+1)*q.weights[k]/q.weights[r.Level])
		}
	}
	return total
}

// Victim returns the ID of the queued request that a new one of the rank should displace: the newest of the least
// urgent level below its own, if that has more than protectedLeast, else the newest of the longest flow of its own
// level. It returns false if that flow is not longer than the organisation's own would become.
func (q *Queue) Victim(r urgency.Rank) (id.ID, bool) {
	for k := urgency.Fourth; k > r.Level && k >= q.yielding(); k-- {
		if l := &q.levels[k]; l.length > protectedLeast {
			return newest(l.longest()), true
		}
	}
	own := 0
	if f, ok := q.levels[r.Level].flows[r.Owner]; ok {
		own = len(f.items)
	}
	var longest *flow
	for k := urgency.Call; k < urgency.Count; k++ {
		if k != r.Level && (k >= q.yielding() || r.Level >= q.yielding()) {
			continue
		}
		f := q.levels[k].longest()
		if f != nil && (longest == nil || len(f.items) > len(longest.items)) {
			longest = f
		}
	}
	if longest == nil || len(longest.items) <= own+1 {
		return id.ID{}, false
	}
	return newest(longest), true
}

// yielding returns the most urgent level whose requests are displaced by any more urgent one. Without precedence
// only the third and fourth are: those of the levels before displace each other by the length of their flows.
func (q *Queue) yielding() urgency.Level {
	if q.weights == precedence {
		return urgency.Call
	}
	return urgency.Third
}

// longest returns the flow with the most queued requests, the first in order if there are several; nil if the
// level has no queued requests.
func (l *levelQueue) longest() *flow {
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
