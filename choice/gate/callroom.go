package gate

import (
	"math"
	"time"

	"berylpass/choice/urgency"
)

// usageSpan is the time constant with which the use of slots by level is averaged: several requests per slot, and about
// as long as a short burst of load.
const usageSpan = 5 * time.Second

// usage is the mean number of slots that the requests of one level use.
type usage struct {
	// slotTime is the sum of the slot times, in seconds, weighted by age.
	slotTime float64
	at       time.Time
}

// add adds the slot time of one request.
func (u *usage) add(now time.Time, took time.Duration) {
	u.slotTime = u.slots(now)*usageSpan.Seconds() + took.Seconds()
	u.at = now
}

// slots returns the mean number of slots in use.
func (u *usage) slots(now time.Time) float64 {
	return u.slotTime * math.Exp(-now.Sub(u.at).Seconds()/usageSpan.Seconds()) / usageSpan.Seconds()
}

// least returns the least urgent level of which a request may start now; urgency.Unranked if none may. As many slots
// as calls of running requests use on average are kept free for them: a caller of this service holds a slot of its
// own until its call ends.
func (b *limitedBackend) least(now time.Time) urgency.Level {
	if !b.mayStart(now) {
		return urgency.Unranked
	}
	if !b.precedence {
		return urgency.Fourth
	}
	calls := 0
	for _, r := range b.running {
		if r.item.Rank.Level == urgency.Call {
			calls++
		}
	}
	allowed := b.limiter.Allowed(now)
	kept := min(int(b.used[urgency.Call].slots(now)), allowed/2)
	if len(b.running)+max(0, kept-calls) >= allowed {
		return urgency.Call
	}
	return urgency.Fourth
}
