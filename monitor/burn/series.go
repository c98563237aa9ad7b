package burn

import "time"

// The rings have short and long slots. A ring holds the current slot and the twelve before it.
const (
	shortSlotWidth = 5 * time.Minute
	longSlotWidth  = 30 * time.Minute
	ringSlots      = 13
)

// Tally counts the requests that met the objective and those that didn't. The counts
// are fractional, since a window may cover only a part of its oldest slot.
type Tally struct {
	Good float64 `json:"good"`
	Bad  float64 `json:"bad"`
}

// slot counts the requests of one time slot.
type slot struct{ good, bad uint32 }

// ring is a ring buffer that counts requests in time slots of equal width.
type ring struct {
	slots [ringSlots]slot
	// last is the number of the latest slot, counted in slot widths from the Unix epoch.
	last int64
}

// slotOf returns the number of the slot that contains now, 0 for times before the Unix epoch.
func slotOf(now time.Time, width time.Duration) int64 {
	return max(0, now.UnixNano()/int64(width))
}

// add counts a request in the slot that contains now.
func (r *ring) add(now time.Time, width time.Duration, good bool) {
	// If the clock went back, the request is counted in the latest slot.
	number := max(slotOf(now, width), r.last)
	r.advance(number)
	s := &r.slots[number%ringSlots]
	if good {
		s.good++
	} else {
		s.bad++
	}
}

// advance makes the slot with the given number the latest and clears the slots that
// follow the previous latest. It does nothing if the number is not higher.
func (r *ring) advance(number int64) {
	if number-r.last >= ringSlots {
		r.slots = [ringSlots]slot{}
		r.last = number
	}
	for r.last < number {
		r.last++
		r.slots[r.last%ringSlots] = slot{}
	}
}

// window returns the counts of the last n slot widths before now: the current slot,
// the n-1 before it, and of the one before those the share by which the current
// slot is still incomplete.
func (r *ring) window(now time.Time, width time.Duration, n int64) Tally {
	number := slotOf(now, width)
	elapsed := float64(now.UnixNano()-number*int64(width)) / float64(width)
	var t Tally
	for i := range n + 1 {
		weight := 1.0
		if i == n {
			weight = 1 - elapsed
		}
		s := r.at(number - i)
		t.Good += weight * float64(s.good)
		t.Bad += weight * float64(s.bad)
	}
	return t
}

// at returns the slot with the given number, or an empty one if the ring does not hold it.
func (r *ring) at(number int64) slot {
	if number < 0 || number > r.last || r.last-number >= ringSlots {
		return slot{}
	}
	return r.slots[number%ringSlots]
}

// series counts the requests of one organisation on one route.
type series struct {
	// totals are the counts since the series began, by outcome.
	totals     [OutcomeCount]uint64
	shortSlots ring
	longSlots  ring
}

// add counts a request that ended at now.
func (s *series) add(now time.Time, o Outcome) {
	s.totals[o]++
	if !o.Counts() {
		// The ring advances nevertheless, so that dropIdle keeps a series that gets requests.
		s.longSlots.advance(slotOf(now, longSlotWidth))
		return
	}
	s.shortSlots.add(now, shortSlotWidth, o.Good())
	s.longSlots.add(now, longSlotWidth, o.Good())
}

// timelineSlots is the number of short slots in a route's timeline, which covers six hours.
const timelineSlots = 72

// point counts the requests of a route in one short slot.
type point struct{ good, bad, overRate uint32 }

// routeSeries holds the latencies and the timeline of one route.
type routeSeries struct {
	objective float64
	latency   histogram
	timeline  [timelineSlots]point
	// last is the number of the latest slot in the timeline, counted from the Unix epoch.
	last int64
}

// add counts a request that ended at now.
func (r *routeSeries) add(now time.Time, s Sample) {
	r.objective = s.Objective
	if s.Outcome == InTime || s.Outcome == Late {
		r.latency.add(s.Latency)
	}
	number := max(slotOf(now, shortSlotWidth), r.last)
	if number-r.last >= timelineSlots {
		r.timeline = [timelineSlots]point{}
		r.last = number
	}
	for r.last < number {
		r.last++
		r.timeline[r.last%timelineSlots] = point{}
	}
	p := &r.timeline[number%timelineSlots]
	switch {
	case !s.Outcome.Counts():
		p.overRate++
	case s.Outcome.Good():
		p.good++
	default:
		p.bad++
	}
}
