package gate

import (
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/breaker"
	"berylpass/choice/evidence"
	"berylpass/choice/fairqueue"
	"berylpass/choice/limiter"
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
	// reportedSlots is the number of slots in the last load report; zero if unknown.
	reportedSlots int
	// maxQueued is the maximum length of the queue.
	maxQueued int
	limiter   *limiter.Limiter
	queue     *fairqueue.Queue
	evidence  *evidence.Evidence
	// mean holds the service times in seconds, by class.
	mean [class.Count]window.Window
	// running is ordered by start time.
	running []runningRequest
	// lastEmpty is when a request was last added to an empty queue.
	lastEmpty     time.Time
	lastCompleted time.Time
	// abandoned is the number of requests that ran for much longer than usual and ended without a response
	// since the last request that did complete.
	abandoned int
	noticed   condition
	noticedAt time.Time
	// changedAt is when the noticed condition began.
	changedAt time.Time
	// coldUntil is when the backend server becomes warm; cold limits its request rate until then.
	coldUntil time.Time
	cold      coldStart
	// breaker is nil if the service doesn't use one.
	breaker *breaker.Breaker
}

func newLimitedBackend(now time.Time, b backend.Backend, s service.Service, maxQueued int) *limitedBackend {
	l := &limitedBackend{backend: b, queue: fairqueue.New(), maxQueued: maxQueued}
	l.reset(now, s)
	return l
}

// reset starts a new incarnation: it drops the evidence and starts the ramp again.
func (l *limitedBackend) reset(now time.Time, s service.Service) {
	l.limiter = limiter.New(now, l.slots(s), s.Ramp)
	l.evidence = evidence.New()
	for c := range l.mean {
		l.mean[c] = window.New(meanSpan)
	}
	l.lastCompleted, l.abandoned = now, 0
	l.breaker = nil
	if s.Breaker {
		l.breaker = breaker.New()
	}
}

// resize applies the slots, the ramp, the cold rate and the breaker setting in force.
func (l *limitedBackend) resize(now time.Time, s service.Service) {
	l.limiter.Resize(now, l.slots(s), s.Ramp)
	l.cold.rate = s.ColdRate
	if s.Breaker && l.breaker == nil {
		l.breaker = breaker.New()
	}
}

// slots returns the announced number of slots, or else the service's default, reduced to the number that the
// backend server last reported.
func (l *limitedBackend) slots(s service.Service) int {
	n := l.backend.Slots
	if n <= 0 {
		n = s.Slots
	}
	if l.reportedSlots > 0 {
		n = min(n, l.reportedSlots)
	}
	return max(n, 1)
}

// serving reports whether the backend server accepts new requests.
func (l *limitedBackend) serving() bool {
	return l.inService && l.backend.State == backend.Serving
}

// hasFreeSlot reports whether one more request may start.
func (l *limitedBackend) hasFreeSlot(now time.Time) bool {
	if now.Before(l.coldUntil) && !l.cold.allows(now) {
		return false
	}
	return len(l.running) < l.limiter.Allowed(now)
}

// isRunning reports whether the request runs on the backend server.
func (l *limitedBackend) isRunning(attempt id.ID) bool {
	for _, r := range l.running {
		if r.item.ID == attempt {
			return true
		}
	}
	return false
}

// arrive admits, queues or sheds a request.
func (l *limitedBackend) arrive(now time.Time, e Arrive) []decision.Action {
	if !l.serving() {
		return []decision.Action{Shed{ID: e.ID, Reason: NotServing}}
	}
	if l.breaker != nil && !e.Forced && !l.breaker.Admits(now, e.Repeatable) {
		return []decision.Action{Shed{ID: e.ID, Reason: Failing}}
	}
	item := fairqueue.Item{
		ID:           e.ID,
		Organisation: e.Organisation,
		Class:        min(e.Class, class.Background),
		Arrived:      now,
		Expires:      e.Expires,
	}
	item.Cost = l.expectedTime(now, item.Class)
	if l.queue.Len() == 0 && l.hasFreeSlot(now) {
		if tooLate(now, item) {
			return []decision.Action{l.shed(now, item, Late)}
		}
		l.queue.Charge(item.Class, item.Organisation, item.Cost)
		return []decision.Action{l.start(now, item)}
	}
	if e.Prompt {
		return []decision.Action{l.shed(now, item, Busy)}
	}
	return l.enqueue(now, item)
}

// enqueue queues a request, or sheds it or the queued request that it displaces.
func (l *limitedBackend) enqueue(now time.Time, item fairqueue.Item) []decision.Action {
	if l.stalled(now) > 0 && !l.hasFreeSlot(now) {
		return []decision.Action{l.shed(now, item, Stalled)}
	}
	if l.queue.Len() == 0 {
		l.lastEmpty = now
	}
	wait := l.estimatedWait(now, l.queue.Ahead(item.Class, item.Organisation))
	if now.Add(wait + item.Cost).After(item.Expires) {
		return []decision.Action{l.shed(now, item, Late)}
	}
	var actions []decision.Action
	if l.queue.Len() >= l.queueLimit(now) {
		victim, ok := l.queue.Victim(item.Class, item.Organisation)
		if !ok {
			return []decision.Action{l.shed(now, item, QueueFull)}
		}
		evicted, _ := l.queue.Remove(victim)
		actions = append(actions, l.shed(now, evicted, PushedOut))
	}
	l.queue.Push(item)
	return append(actions, l.startQueued(now)...)
}

// startQueued starts queued requests while slots are free, and sheds those that can no longer finish in time.
func (l *limitedBackend) startQueued(now time.Time) []decision.Action {
	var actions []decision.Action
	for l.serving() && l.hasFreeSlot(now) {
		item, ok := l.queue.Pop()
		if !ok {
			return actions
		}
		if tooLate(now, item) {
			actions = append(actions, l.shed(now, item, Late))
			continue
		}
		actions = append(actions, l.start(now, item))
	}
	return actions
}

// shedUnservable sheds the queued requests that can no longer finish in time, or all of them if the backend
// server is stalled.
func (l *limitedBackend) shedUnservable(now time.Time) []decision.Action {
	if l.queue.Len() == 0 {
		return nil
	}
	if l.stalled(now) > 0 && !l.hasFreeSlot(now) {
		return l.shedAll(now, Stalled)
	}
	late := l.queue.Filter(func(item fairqueue.Item) bool { return tooLate(now, item) })
	return l.shedItems(now, late, Late)
}

// shedAll sheds all queued requests.
func (l *limitedBackend) shedAll(now time.Time, reason Reason) []decision.Action {
	return l.shedItems(now, l.queue.Filter(func(fairqueue.Item) bool { return true }), reason)
}

// shedItems sheds requests that have been removed from the queue.
func (l *limitedBackend) shedItems(now time.Time, items []fairqueue.Item, reason Reason) []decision.Action {
	actions := make([]decision.Action, 0, len(items))
	for _, item := range items {
		actions = append(actions, l.shed(now, item, reason))
	}
	return actions
}

// shed returns the action that refuses a request.
func (l *limitedBackend) shed(now time.Time, item fairqueue.Item, reason Reason) Shed {
	return Shed{ID: item.ID, Reason: reason, RetryAfter: l.estimatedWait(now, float64(l.queue.Len()))}
}

// start starts a request.
func (l *limitedBackend) start(now time.Time, item fairqueue.Item) Run {
	l.cold.take(now)
	if l.breaker != nil {
		l.breaker.Started(now)
	}
	l.running = append(l.running, runningRequest{item: item, started: now})
	return Run{ID: item.ID, Backend: l.backend.ID, Waited: now.Sub(item.Arrived)}
}

// finish records the end of a request.
func (l *limitedBackend) finish(now time.Time, e Finished) {
	for i, r := range l.running {
		if r.item.ID != e.ID {
			continue
		}
		l.running = append(l.running[:i], l.running[i+1:]...)
		took := now.Sub(r.started)
		c := r.item.Class
		l.queue.Settle(c, r.item.Organisation, min(took, maxCharge)-r.item.Cost)
		l.recordProgress(now, e.Verdict, c, took)
		if e.Verdict == verdict.OK || e.Verdict == verdict.Timeout {
			l.mean[c].Add(now, took.Seconds())
		}
		l.evidence.Completed(now, c, took, e.Verdict)
		if l.breaker != nil {
			l.breaker.Completed(now, e.Verdict)
		}
		l.limiter.Completed(now, c, r.started, e.Verdict, len(l.running))
		return
	}
}

// recordProgress records whether a request completed or was abandoned.
func (l *limitedBackend) recordProgress(now time.Time, v verdict.Verdict, c class.Class, took time.Duration) {
	if v != verdict.Timeout && v != verdict.Cancelled {
		l.lastCompleted, l.abandoned = now, 0
		return
	}
	if v == verdict.Timeout || l.evidence.Aged(now, c, took) {
		l.abandoned++
	}
}

// tooLate reports whether a request can no longer finish before it expires.
func tooLate(now time.Time, item fairqueue.Item) bool {
	return now.Add(item.Cost).After(item.Expires)
}
