package fairqueue

import "berylpass/choice/urgency"

// lane is a level of newcomers, or the calls made by runs of requests of a level.
type lane int

// newcomers is the number of levels of newcomers. The lanes of calls come first, then those of newcomers, both from the
// most urgent to the least.
const (
	newcomers = int(urgency.Fourth-urgency.First) + 1
	laneCount = 2 * newcomers
)

// laneOf returns the lane of a rank.
func laneOf(r urgency.Rank) lane {
	if r.Level == urgency.Call {
		return lane(ordinal(r.Inherited))
	}
	return lane(newcomers + ordinal(r.Level))
}

// ordinal returns the number of a level among those of newcomers, the nearest one for another level.
func ordinal(l urgency.Level) int {
	return int(min(max(l, urgency.First), urgency.Fourth) - urgency.First)
}

// lanesOf returns the first lane of a level and the one after its last.
func lanesOf(l urgency.Level) (begin, end lane) {
	if l <= urgency.Call {
		return 0, lane(newcomers)
	}
	begin = lane(newcomers + ordinal(l))
	return begin, begin + 1
}

// ofLevel returns the lanes of a level.
func (q *Queue) ofLevel(l urgency.Level) []laneQueue {
	begin, end := lanesOf(l)
	return q.lanes[begin:end]
}
