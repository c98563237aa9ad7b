package gate

import (
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/breaker"
	"berylpass/choice/evidence"
	"berylpass/choice/fairqueue"
	"berylpass/choice/limiter"
	"berylpass/choice/urgency"
	"berylpass/choice/verdict"
	"berylpass/choice/window"
	"berylpass/config/class"
	"berylpass/config/service"
	"berylpass/decision"
	"berylpass/fleet/backend"
)

const (
	// The queue holds the requests that the slots serve within burstQueueTime, or within standingQueueTime if
	// it has not been empty for standingQueueAfter: a burst may wait, while a standing queue only adds delay.
	burstQueueTime     = 2 * time.Second
	standingQueueTime  = 250 * time.Millisecond
	standingQueueAfter = time.Second
	// DefaultMaxQueued is the default maximum number of requests queued for one backend server.
	DefaultMaxQueued = 256
	// defaultServiceTime is the expected service time until one has been measured.
	defaultServiceTime = 50 * time.Millisecond
	// meanSpan is the time constant of the mean service time.
	meanSpan = 10 * time.Second
	// maxCharge is the maximum slot time charged to an organisation for one request.
	maxCharge = 5 * time.Second
)

// runningRequest is a request that runs on the backend server.
type runningRequest struct {
	item    fairqueue.Item
	started time.Time
}

// limitedBackend is a backend server with its concurrency limit and its queue.
type limitedBackend struct {
	backend   backend.Backend
	inService bool
	// reportedSlots is the number of slots in the last SlotsReported; zero if unknown.
	reportedSlots int
	// maxQueued is the maximum length of the queue.
	maxQueued int
	// precedence is that of the gate; used is the use of slots by level.
	precedence bool
	used       [urgency.Count]usage
	// refusals are those for a lack of room by level.
	refusals [urgency.Count]refusals
	limiter  *limiter.Limiter
	queue    *fairqueue.Queue
	evidence *evidence.Evidence
	// mean holds the service times in seconds, by class.
	mean [class.Count]window.Window
	// running is ordered by start time.
	running []runningRequest
	// queuedSince is when a request was last added to an empty queue.
	queuedSince   time.Time
	lastCompleted time.Time
	// abandoned is the number of requests that ran for much longer than usual and ended without an answer
	// since the last request that did complete.
	abandoned int
	// noticed is the condition of which the last change was reported, and changedAt is when that change was
	// found. noticedAt is when the last Notice was returned.
	noticed   condition
	noticedAt time.Time
	changedAt time.Time
	// coldUntil is when the backend server becomes warm; cold limits its request rate until then.
	coldUntil time.Time
	cold      coldStart
	// breaker is nil if the service doesn't use one.
	breaker *breaker.Breaker
}

func newLimitedBackend(now time.Time, b backend.Backend, s service.Service, maxQueued int, precedence bool) *limitedBackend {
	l := &limitedBackend{backend: b, queue: fairqueue.New(), maxQueued: maxQueued, precedence: precedence}
	if precedence {
		l.queue = fairqueue.New(fairqueue.WithPrecedence())
	}
	l.reset(now, s)
	return l
}

// reset starts a new incarnation: it drops the evidence and starts the ramp again.
func (b *limitedBackend) reset(now time.Time, s service.Service) {
	b.limiter = limiter.New(now, b.slots(s), s.Ramp)
	b.evidence = evidence.New()
	for c := range b.mean {
		b.mean[c] = window.New(meanSpan)
	}
	b.lastCompleted, b.abandoned = now, 0
	b.breaker = nil
	if s.Breaker {
		b.breaker = breaker.New()
	}
}

// resize applies the slots, the ramp, the cold rate and the breaker setting in force.
func (b *limitedBackend) resize(now time.Time, s service.Service) {
	b.limiter.Resize(now, b.slots(s), s.Ramp)
	b.cold.rate = s.ColdRate
	if s.Breaker && b.breaker == nil {
		b.breaker = breaker.New()
	}
}

// slots returns the announced number of slots, or else the service's default, reduced to the number that the
// backend server last reported.
func (b *limitedBackend) slots(s service.Service) int {
	n := b.backend.Slots
	if n <= 0 {
		n = s.Slots
	}
	if b.reportedSlots > 0 {
		n = min(n, b.reportedSlots)
	}
	return max(n, 1)
}

// serving reports whether the backend server accepts new requests.
func (b *limitedBackend) serving() bool {
	return b.inService && b.backend.State == backend.Serving
}

// mayStart reports whether one more request may start: a slot is free, and the cold rate allows it.
func (b *limitedBackend) mayStart(now time.Time) bool {
	if now.Before(b.coldUntil) && !b.cold.allows(now) {
		return false
	}
	return len(b.running) < b.limiter.Allowed(now)
}

// isRunning reports whether the request runs on the backend server.
func (b *limitedBackend) isRunning(attempt id.ID) bool {
	for _, r := range b.running {
		if r.item.ID == attempt {
			return true
		}
	}
	return false
}

// arrive admits, queues or sheds a request.
func (b *limitedBackend) arrive(now time.Time, e Arrive) []decision.Action {
	if !b.serving() {
		return []decision.Action{Shed{ID: e.ID, Reason: NotServing}}
	}
	if b.breaker != nil && !e.Forced && !b.breaker.Admits(now, e.Repeatable) {
		return []decision.Action{Shed{ID: e.ID, Reason: Failing}}
	}
	item := fairqueue.Item{
		ID:      e.ID,
		Rank:    e.Rank.Ranked(e.Class, e.Organisation),
		Class:   min(e.Class, class.Background),
		Arrived: now,
		Target:  e.Target,
		Expires: e.Expires,
	}
	item.Cost = b.expectedTime(now, item.Class)
	if b.startsAtOnce(now, item.Rank.Level) {
		if tooLate(now, item) {
			return []decision.Action{b.shed(now, item, Late)}
		}
		b.queue.Charge(item.Rank, item.Cost)
		b.refusals[item.Rank.Level].add(now, 1, 0)
		return []decision.Action{b.start(now, item)}
	}
	if e.Prompt {
		return []decision.Action{b.shed(now, item, Busy)}
	}
	b.refusals[item.Rank.Level].add(now, 1, 0)
	return b.enqueue(now, item)
}

// startsAtOnce reports whether a request of the level may start before all that wait.
func (b *limitedBackend) startsAtOnce(now time.Time, l urgency.Level) bool {
	least := b.least(now)
	return l <= least && (b.queue.Len() == 0 || least == urgency.Call && b.queue.Queued(urgency.Call) == 0)
}

// enqueue queues a request, or sheds it or the queued request that it displaces.
func (b *limitedBackend) enqueue(now time.Time, item fairqueue.Item) []decision.Action {
	if b.stalled(now) > 0 && !b.mayStart(now) {
		return []decision.Action{b.shed(now, item, Stalled)}
	}
	if b.queue.Len() == 0 {
		b.queuedSince = now
	}
	wait := b.expectedWait(now, item.Rank.Level, b.queue.EstimateAhead(item.Rank, item.Cost))
	if item.Rank.Level != urgency.Call && now.Add(wait+item.Cost).After(item.Expires) {
		return []decision.Action{b.shed(now, item, Late)}
	}
	var actions []decision.Action
	if b.queue.Len() >= b.queueLimit(now) {
		victim, ok := b.queue.Victim(item.Rank, item.Cost)
		if !ok {
			return []decision.Action{b.shed(now, item, QueueFull)}
		}
		evicted, _ := b.queue.Remove(victim)
		actions = append(actions, b.shed(now, evicted, Displaced))
	}
	b.queue.Push(item)
	return append(actions, b.startQueued(now)...)
}

// startQueued starts queued requests while slots are free, and sheds those that can no longer finish in time.
func (b *limitedBackend) startQueued(now time.Time) []decision.Action {
	var actions []decision.Action
	for b.serving() {
		least := b.least(now)
		if least == urgency.Unranked {
			return actions
		}
		item, ok := b.queue.Pop(now, least)
		if !ok {
			return actions
		}
		if tooLate(now, item) {
			actions = append(actions, b.shed(now, item, Late))
			continue
		}
		actions = append(actions, b.start(now, item))
	}
	return actions
}

// shedUnservable sheds the queued requests that can no longer finish in time, or all of them if the backend
// server is stalled.
func (b *limitedBackend) shedUnservable(now time.Time) []decision.Action {
	if b.queue.Len() == 0 {
		return nil
	}
	if b.stalled(now) > 0 && !b.mayStart(now) {
		return b.shedAll(now, Stalled)
	}
	late := b.queue.Filter(func(item fairqueue.Item) bool { return tooLate(now, item) })
	return append(b.shedItems(now, late, Late), b.shedDoomed(now)...)
}

// shedAll sheds all queued requests.
func (b *limitedBackend) shedAll(now time.Time, reason Reason) []decision.Action {
	return b.shedItems(now, b.queue.Filter(func(fairqueue.Item) bool { return true }), reason)
}

// shedItems sheds requests that have been removed from the queue.
func (b *limitedBackend) shedItems(now time.Time, items []fairqueue.Item, reason Reason) []decision.Action {
	actions := make([]decision.Action, 0, len(items))
	for _, item := range items {
		actions = append(actions, b.shed(now, item, reason))
	}
	return actions
}

// shed returns the action that refuses a request.
func (b *limitedBackend) shed(now time.Time, item fairqueue.Item, reason Reason) Shed {
	if reason == Late || reason == QueueFull || reason == Displaced {
		b.refusals[item.Rank.Level].add(now, 0, 1)
	}
	return Shed{ID: item.ID, Reason: reason, RetryAfter: b.estimatedWait(now, float64(b.queue.Len()))}
}

func (b *limitedBackend) start(now time.Time, item fairqueue.Item) Run {
	b.cold.take(now)
	if b.breaker != nil {
		b.breaker.Started(now)
	}
	b.running = append(b.running, runningRequest{item: item, started: now})
	return Run{ID: item.ID, Backend: b.backend.ID, Waited: now.Sub(item.Arrived)}
}

// finish records the end of a request.
func (b *limitedBackend) finish(now time.Time, e Finished) {
	for i, r := range b.running {
		if r.item.ID != e.ID {
			continue
		}
		b.running = append(b.running[:i], b.running[i+1:]...)
		took := now.Sub(r.started)
		c := r.item.Class
		b.queue.Settle(r.item.Rank, min(took, maxCharge)-r.item.Cost)
		b.used[r.item.Rank.Level].add(now, took)
		b.recordProgress(now, e.Verdict, c, took)
		if e.Verdict == verdict.OK || e.Verdict == verdict.Timeout {
			b.mean[c].Add(now, took.Seconds())
		}
		b.evidence.Completed(now, c, took, e.Verdict)
		if b.breaker != nil {
			b.breaker.Completed(now, r.started, e.Verdict)
		}
		b.limiter.Completed(now, c, r.started, e.Verdict, len(b.running))
		return
	}
}

// recordProgress records whether a request completed or was abandoned.
func (b *limitedBackend) recordProgress(now time.Time, v verdict.Verdict, c class.Class, took time.Duration) {
	if v != verdict.Timeout && v != verdict.Cancelled {
		b.lastCompleted, b.abandoned = now, 0
		return
	}
	if v == verdict.Timeout || b.evidence.LongRunning(now, c, took) {
		b.abandoned++
	}
}

// tooLate reports whether a request can no longer finish before it expires. A call gets what time is left: the run that
// waits for it holds a slot, and would fail without its answer.
func tooLate(now time.Time, item fairqueue.Item) bool {
	if item.Rank.Level == urgency.Call {
		return now.After(item.Expires)
	}
	return now.Add(item.Cost).After(item.Expires)
}
