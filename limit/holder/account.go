package holder

import (
	"math"
	"slices"
	"time"

	"berylpass/fleet/member"
	"berylpass/limit/bucket"
	"berylpass/limit/term"
)

// account is an organisation's limit at a holder: what is there, and what is lent.
type account struct {
	bucket bucket.Bucket
	// rate and capacity are those of the usable shares together.
	rate, capacity float64
	// grants are the outstanding grants; their sums are kept beside them.
	grants            []grant
	outRate, outToken float64

	// lastAsker, lastAsked and contendedUntil tell whether one daemon alone asks.
	lastAsker      member.ID
	lastAsked      time.Time
	contendedUntil time.Time
	// scarceUntil is set while the limit is too short to be lent in parts.
	scarceUntil time.Time
}

// grant is a grant that has not surely ended.
type grant struct {
	id       uint64
	to       member.ID
	capacity float64
	rate     float64
	// part is set if it is a refilling part of the limit, lent while others ask as well.
	part bool
	// ends is when it has surely ended.
	ends time.Time
	// recalledAt is when it was last called back.
	recalledAt time.Time
}

// settle advances the account to now: refill and ends of grants in the order of time.
func (a *account) settle(now time.Time) {
	for {
		next := -1
		for i, g := range a.grants {
			if !now.Before(g.ends) && (next < 0 || g.ends.Before(a.grants[next].ends)) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		a.bucket.Refill(a.grants[next].ends, a.outToken)
		a.drop(next)
	}
	a.bucket.Refill(now, a.outToken)
}

// resize sets the limit of the usable shares. Call settle first.
func (a *account) resize(rate, capacity float64) {
	if rate == a.rate && capacity == a.capacity {
		return
	}
	a.rate, a.capacity = rate, capacity
	a.balance()
}

// balance gives the bucket what is not lent.
func (a *account) balance() {
	a.bucket.Set(max(0, a.rate-a.outRate), a.capacity, a.outToken)
}

func (a *account) lend(g grant, level float64) {
	a.bucket.Take(level)
	a.grants = append(a.grants, g)
	a.outRate += g.rate
	a.outToken += g.capacity
	a.balance()
}

func (a *account) drop(i int) {
	a.grants = slices.Delete(a.grants, i, i+1)
	a.outRate, a.outToken = 0, 0
	for _, g := range a.grants {
		a.outRate += g.rate
		a.outToken += g.capacity
	}
	a.balance()
}

func (a *account) find(id uint64, to member.ID) int {
	return slices.IndexFunc(a.grants, func(g grant) bool { return g.id == id && g.to == to })
}

// takeBack ends a grant early: level tokens are unspent, drawn ones may run within term.MaxLapse.
func (a *account) takeBack(now time.Time, id uint64, from member.ID, level float64, drawn int) {
	i := a.find(id, from)
	if i < 0 {
		return
	}
	a.settle(now)
	if i = a.find(id, from); i < 0 {
		return
	}
	left := a.grants[i]
	left.id, left.to, left.part = 0, "", false
	left.rate, left.capacity = 0, float64(drawn)
	left.ends = earlier(left.ends, now.Add(term.Wait(term.MaxLapse)))
	a.drop(i)
	if drawn > 0 {
		a.lend(left, 0)
	}
	room := max(0, a.capacity-a.outToken-a.bucket.Level)
	a.bucket.Level += min(level, room)
}

// noteAsker updates who asks, and returns whether another daemon asked a moment ago.
func (a *account) noteAsker(now time.Time, from member.ID) bool {
	if a.lastAsker != "" && a.lastAsker != from && now.Sub(a.lastAsked) < contention {
		a.contendedUntil = now.Add(contention)
	}
	a.lastAsker, a.lastAsked = from, now
	return now.Before(a.contendedUntil)
}

// whole reports whether a grant is the whole limit, and nothing else is lent.
func (a *account) whole(g grant) bool {
	const precision = 1e-9
	return math.Abs(g.rate-a.rate) < precision && math.Abs(g.capacity-a.capacity) < precision && len(a.grants) == 1
}

// lentToOthers returns the index of another daemon's grant of all there was, or -1.
func (a *account) lentToOthers(from member.ID) int {
	return slices.IndexFunc(a.grants, func(g grant) bool { return g.rate > 0 && !g.part && g.to != from })
}

// largestPart returns the index of another daemon's largest part, or -1.
func (a *account) largestPart(from member.ID) int {
	largest := -1
	for i, g := range a.grants {
		if g.part && g.to != from && (largest < 0 || g.capacity > a.grants[largest].capacity) {
			largest = i
		}
	}
	return largest
}

// parted reports whether another daemon has a part.
func (a *account) parted(from member.ID) bool {
	return slices.ContainsFunc(a.grants, func(g grant) bool { return g.part && g.to != from })
}

// hasPart reports whether the daemon has a part.
func (a *account) hasPart(from member.ID) bool {
	return slices.ContainsFunc(a.grants, func(g grant) bool { return g.part && g.to == from })
}

// part works out the refilling part that a daemon of the given demand may have: its demand's
// share of rate and burst, while a pool stays for all.
func (a *account) part(now time.Time, demand float64) (rate, capacity float64, ok bool) {
	if demand < partDemand || a.rate <= 0 || now.Before(a.scarceUntil) {
		return 0, 0, false
	}
	rate = min(demand, a.bucket.Rate-a.rate*poolShare)
	capacity = math.Floor(a.capacity * (1 - poolShare) * min(1, demand/a.rate))
	room := a.capacity*(1-poolShare) - a.outToken
	return rate, capacity, rate >= demand/2 && capacity >= partCapacity && capacity <= room
}

// keeps reports whether a grant may be extended: it is the whole limit and nobody else asks, or
// it is a part that is still in use while others have parts or ask.
func (a *account) keeps(now time.Time, g grant, demand float64, contended bool) bool {
	if !g.part {
		return !contended && a.whole(g)
	}
	return contended && !now.Before(a.scarceUntil) && demand >= g.rate/4 && a.outRate <= a.rate && a.outToken <= a.capacity
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
