package fairqueue

import (
	"berylpass/attempt/id"
	"berylpass/config/class"
)

// protected is the number of background requests that are never pushed out by other classes.
const protected = 2

// Ahead estimates how many of the waiting requests run before a new one of the organisation.
func (q *Queue) Ahead(c class.Class, organisation string) float64 {
	l := &q.classes[c]
	own := 0
	if f, ok := l.flows[organisation]; ok {
		own = len(f.items)
	}
	inside := own
	for _, f := range l.active {
		if f.organisation != organisation {
			inside += min(len(f.items), own+1)
		}
	}
	total := float64(inside)
	for k := range q.classes {
		if class.Class(k) != c {
			total += min(float64(q.classes[k].length), float64(inside+1)*weights[k]/weights[c])
		}
	}
	return total
}

// Victim returns the waiting request that should give its place to a new one of
// the organisation: the newest background request if the new one is of another
// class, else the newest of the longest flow. It reports false if that flow is
// not longer than the organisation's own would become.
func (q *Queue) Victim(c class.Class, organisation string) (id.ID, bool) {
	background := &q.classes[class.Background]
	if c != class.Background && background.length > protected {
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

// longest returns the flow with the most waiting requests, the first such; nil if none wait.
func (l *line) longest() *flow {
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
