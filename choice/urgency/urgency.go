// Package urgency ranks the requests that compete for the backend servers of one service.
//
// The load that it answers: for some seconds there is too little room for all requests of a service, and which of
// them wait or are refused is for the operators to say, who give priorities to routes and organisations. A call that
// the backend server makes while it runs a request has a rank of its own: the request holds a slot until the call
// ends, so that a call that waits costs room twice.
//
// # Usage
//
//	r := urgency.Of(o.PriorityOf(route.Priority), o.Name)
//	c := r.OfCall() // for a call made by a run of that request
package urgency

import (
	"strconv"

	"berylpass/config/class"
)

// Level is a level of urgency. Lower levels are the more urgent ones, apart from Unranked.
type Level uint8

// The levels, from the most urgent to the least.
const (
	// Unranked is the level of requests without a priority. FromClass gives them one.
	Unranked Level = iota
	// Call is the level of the calls of running requests.
	Call
	// First to Fourth are the levels of other requests: of priority 0, 1, 2, and 3 or more.
	First
	Second
	Third
	Fourth
	// Count is the number of levels, Unranked included.
	Count
)

var names = [Count]string{"unranked", "call", "first", "second", "third", "fourth"}

// String returns the kebab-case name of the level.
func (l Level) String() string {
	if l >= Count {
		return "level-" + strconv.Itoa(int(l))
	}
	return names[l]
}

// FromPriority returns the level of a priority, of which 0 is the most urgent.
func FromPriority(priority int) Level {
	return First + Level(min(max(priority, 0), int(Fourth-First)))
}

// FromClass returns the level of a request without a priority.
func FromClass(c class.Class) Level { return First + Level(min(c, class.Background)) }

// Rank is what decides the place of a request among others.
type Rank struct {
	Level Level
	// Inherited is, for a call, the level of the request whose run makes it, and Level otherwise.
	Inherited Level
	// Owner is the organisation to whose share the request counts, for a call that of the request whose run makes
	// it; empty if unknown.
	Owner string
}

// Of returns the rank of an organisation's request with a priority.
func Of(priority int, organisation string) Rank {
	l := FromPriority(priority)
	return Rank{Level: l, Inherited: l, Owner: organisation}
}

// OfCall returns the rank of a call made by a run of a request with the rank r.
func (r Rank) OfCall() Rank { return Rank{Level: Call, Inherited: r.Inherited, Owner: r.Owner} }

// Ranked returns r, or the rank by class and organisation if r has no level.
func (r Rank) Ranked(c class.Class, organisation string) Rank {
	if r.Level != Unranked && r.Level < Count {
		return r
	}
	l := FromClass(c)
	return Rank{Level: l, Inherited: l, Owner: organisation}
}
