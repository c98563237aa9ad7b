package gate

import (
	"math"
	"time"

	"berylpass/choice/fairqueue"
	"berylpass/choice/room"
	"berylpass/choice/urgency"
	"berylpass/decision"
	"berylpass/fleet/backend"
)

// maxUrgentShare is the largest share of the slots that more urgent levels are taken to need while a request waits.
// Where they have needed more, that may have been chance, with few requests a second at one backend server.
const maxUrgentShare = 0.8

// Room returns the room at a backend server. It returns false if the backend server is unknown or levels have no
// precedence.
func (g *Gate) Room(now time.Time, of backend.ID) (room.Room, bool) {
	b := g.backends[of]
	if b == nil || !b.precedence {
		return room.Room{}, false
	}
	var r room.Room
	work := b.meanServiceTime(now)
	for l := urgency.Call; l < urgency.Count; l++ {
		if !b.startsAtOnce(now, l) {
			r.Waits[l] = b.expectedWait(now, l, b.queue.EstimateAhead(urgency.Rank{Level: l, Inherited: l}, work))
		}
		if l != urgency.Call {
			r.Refused[l] = b.refusals[l].share(now)
		}
	}
	return r, true
}

// refusalSpan is the time constant with which refusals are counted: a second, so that ingresses see what their last
// decisions led to.
const refusalSpan = time.Second

// refusals counts the newcomers of a level and those refused for a lack of room, weighted by age. Requests that were
// only to be taken at once don't count, as they are sent elsewhere.
type refusals struct {
	asked, refused float64
	at             time.Time
}

func (r *refusals) add(now time.Time, asked, refused float64) {
	factor := math.Exp(-now.Sub(r.at).Seconds() / refusalSpan.Seconds())
	r.asked, r.refused, r.at = r.asked*factor+asked, r.refused*factor+refused, now
}

// share returns the share of newcomers that were refused. One is added to those that were not, so that the share is small
// where there were few.
func (r *refusals) share(now time.Time) float64 {
	factor := math.Exp(-now.Sub(r.at).Seconds() / refusalSpan.Seconds())
	return min(r.refused*factor/(r.asked*factor+1), 1)
}

// expectedWait returns the expected wait of a request of a level behind n queued ones. Requests of more urgent levels
// that arrive meanwhile go before it; their use of slots in the last seconds tells how many.
func (b *limitedBackend) expectedWait(now time.Time, l urgency.Level, n float64) time.Duration {
	wait := b.estimatedWait(now, n)
	if !b.precedence {
		return wait
	}
	urgent := 0.0
	for k := urgency.Call; k < l; k++ {
		urgent += b.used[k].slots(now)
	}
	share := min(urgent/float64(b.limiter.Allowed(now)), maxUrgentShare)
	return time.Duration(float64(wait) / (1 - share))
}

// shedDoomed sheds queued requests that will not be answered before they expire, those of a level that would run last first, because
// more urgent ones have arrived since they were queued. They are refused while their callers still have time.
func (b *limitedBackend) shedDoomed(now time.Time) []decision.Action {
	var actions []decision.Action
	for l := urgency.Fourth; b.precedence && l > urgency.Call; l-- {
		for {
			item, ok := b.queue.Last(l)
			if !ok {
				break
			}
			ahead := -1
			for k := urgency.Call; k <= l; k++ {
				ahead += b.queue.Queued(k)
			}
			if !now.Add(b.expectedWait(now, l, float64(ahead)) + item.Cost).After(item.Expires) {
				break
			}
			b.queue.Remove(item.ID)
			actions = append(actions, b.shed(now, item, Late))
		}
		actions = append(actions, b.shedPassed(now, l)...)
	}
	return actions
}

// shedPassed sheds requests of a level that let others pass, because their answers would be late, and that will not be
// answered at all: of the requests that run, only one in fairqueue.LateTurn is of their kind.
func (b *limitedBackend) shedPassed(now time.Time, l urgency.Level) []decision.Action {
	late := 0
	for _, item := range b.queue.Items(l) {
		if !item.InTime(now) {
			late++
		}
	}
	if late == 0 {
		return nil
	}
	passed := b.queue.Filter(func(item fairqueue.Item) bool {
		if item.Rank.Level != l || item.InTime(now) {
			return false
		}
		wait := b.expectedWait(now, l, float64(min(late*fairqueue.LateTurn, b.queue.Len())))
		if !now.Add(wait + item.Cost).After(item.Expires) {
			return false
		}
		late--
		return true
	})
	return b.shedItems(now, passed, Late)
}
