package fairqueue

import (
	"berylpass/attempt/id"
	"berylpass/config/class"
)

// protectedBackground is the number of background requests that other classes never displace.
const protectedBackground = 2

// EstimateAhead returns an estimate of how many queued requests run before a new one of the organisation.
func (q *Queue) EstimateAhead(c class.Class, organisation string) float64 {
	l := &q.classes[c]
	own := 0
	if f, ok := l.flows[organisation]; ok {
		own = len(f.items)
	}
	sameClass := own
	for _, f := range l.active {
		if f.organisation != organisation {
			sameClass += min(len(f.items), own+1)
		}
	}
	total := float64(sameClass)
	for k := range q.classes {
		if class.Class(k) != c {
			total += min(float64(q.classes[k].length), float64(sameClass+1)*weights[k]/weights[c])
		}
	}
	return total
}

// Victim returns the ID of the queued request that a new one of the organisation should displace: the newest
// background request if the new one is of another class, else the newest of the longest flow. It returns false
// if that flow is not longer than the organisation's own would become.
func (q *Queue) Victim(c class.Class, organisation string) (id.ID, bool) {
	background := &q.classes[class.Background]
	if c != class.Background && background.length > protectedBackground {
		return newest(background.longest()), true
	}
	own := 0
	if f, ok := q.classes[c].flows[organisation]; ok {
		own = len(f.items)
	}
	first, last := class.Reservation, class.Transfer
	if c == class.Background {
		first, last = c, c
	}
	var longest *flow
	for k := first; k <= last; k++ {
		f := q.classes[k].longest()
		if f != nil && (longest == nil || len(f.items) > len(longest.items)) {
			longest = f
		}
	}
	if longest == nil || len(longest.items) <= own+1 {
		return id.ID{}, false
	}
	return newest(longest), true
}

// longest returns the flow with the most queued requests, the first in order if there are several; nil if the
// class has no queued requests.
func (l *classQueue) longest() *flow {
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
