package gate

import (
	"time"

	"berylpass/choice/breaker"
	"berylpass/choice/evidence"
	"berylpass/choice/report"
	"berylpass/config/class"
	"berylpass/decision"
)

const (
	// stalledRequests is the number of overdue or abandoned requests that counts as a stall; fewer do if fewer
	// may run.
	stalledRequests = 3
	// stalledAfter is the least time without completions after which abandoned requests count as a stall.
	stalledAfter = time.Second
	// failingEvidence is the evidence of errors, in nats, from which notices report a backend server as
	// failing.
	failingEvidence = 8
	// slowEvidence is the evidence of slowness, in nats, from which notices report a backend server as slow.
	slowEvidence = 6
	// noticeInterval is the least time between two notices about a backend server.
	noticeInterval = 500 * time.Millisecond
	// breakerInterval is the same after the breaker has left or returned to the closed state.
	breakerInterval = 100 * time.Millisecond
	// noticeTime is how long notices about an abnormal condition are repeated.
	noticeTime = 3 * time.Second
)

// condition is the state of a backend server whose changes cause notices.
type condition struct {
	stalled, failing, slow bool
	// open reports whether the breaker is not closed.
	open bool
}

// normal reports whether the condition needs no repeated notices.
func (c condition) normal() bool { return !c.stalled && !c.failing && !c.slow }

// expectedTime returns the mean service time of a class, or that over all classes if the class has no samples.
func (l *limitedBackend) expectedTime(now time.Time, c class.Class) time.Duration {
	if l.mean[c].Samples(now) > 0 {
		return time.Duration(l.mean[c].Mean() * float64(time.Second))
	}
	return l.meanServiceTime(now)
}

// meanServiceTime returns the mean service time over all classes.
func (l *limitedBackend) meanServiceTime(now time.Time) time.Duration {
	var weight, sum float64
	for c := range l.mean {
		if n := l.mean[c].Samples(now); n > 0 {
			weight += n
			sum += n * l.mean[c].Mean()
		}
	}
	if weight == 0 {
		return defaultServiceTime
	}
	return time.Duration(sum / weight * float64(time.Second))
}

// estimatedWait returns the expected wait behind n requests.
func (l *limitedBackend) estimatedWait(now time.Time, n float64) time.Duration {
	if n == 0 && l.hasFreeSlot(now) {
		return 0
	}
	return time.Duration((n + 1) * float64(l.meanServiceTime(now)) / float64(l.limiter.Allowed(now)))
}

// queueLimit returns how many requests may be queued: as many as the slots serve in burstQueueTime, or in
// standingQueueTime if the queue does not become empty (B. Maurer, Fail at Scale, 2015), but at least two per
// slot and at most maxQueued.
func (l *limitedBackend) queueLimit(now time.Time) int {
	span := burstQueueTime
	if now.Sub(l.lastEmpty) >= standingQueueAfter {
		span = standingQueueTime
	}
	served := float64(span) / float64(max(l.meanServiceTime(now), time.Microsecond))
	n := served * float64(l.limiter.Allowed(now))
	return int(min(max(n, float64(2*l.limiter.Slots())), float64(l.maxQueued)))
}

// stalled returns how long the backend server has completed nothing while requests were overdue or abandoned;
// zero if it is not stalled. The fewer requests may run, the longer they must be overdue. At least one of them
// must have started since the last completion: long requests alone are no stall.
func (l *limitedBackend) stalled(now time.Time) time.Duration {
	needed := min(stalledRequests, l.limiter.Allowed(now))
	factor := time.Duration(1) << (stalledRequests - needed)
	overdue, startedSince := 0, false
	if l.abandoned >= min(stalledRequests, l.limiter.Slots()) && now.Sub(l.lastCompleted) >= l.minStallTime(now) {
		overdue, startedSince = l.abandoned, true
	}
	for _, r := range l.running {
		limit := factor * evidence.Overdue(l.evidence.Level(now, r.item.Class, nil))
		if now.Sub(r.started) >= limit && now.Sub(l.lastCompleted) >= limit {
			overdue++
			startedSince = startedSince || !r.started.Before(l.lastCompleted)
		}
	}
	if overdue < needed || !startedSince {
		return 0
	}
	return now.Sub(l.lastCompleted)
}

// minStallTime returns the least time without completions after which abandoned requests count as a stall.
func (l *limitedBackend) minStallTime(now time.Time) time.Duration {
	var longest time.Duration
	for c := range class.Count {
		if level := l.evidence.Level(now, c, nil); level.Samples > 0 {
			longest = max(longest, evidence.Overdue(level))
		}
	}
	return max(longest, stalledAfter)
}

// report returns the measurements at the time now.
func (l *limitedBackend) report(now time.Time) report.Report {
	r := report.Report{
		InUse:     len(l.running),
		Queued:    l.queue.Len(),
		Limit:     l.limiter.Allowed(now),
		Slots:     l.limiter.Slots(),
		Errors:    l.evidence.Errors(),
		Stalled:   l.stalled(now),
		Completed: l.evidence.Count(),
	}
	ages := l.ages(now)
	if l.breaker != nil {
		r.Breaker, r.Failing = l.breaker.State(now), l.breaker.Score()
	}
	r.Slowness = l.evidence.Slowness(now, ages)
	for c := range r.Levels {
		r.Levels[c] = l.evidence.Level(now, class.Class(c), ages[c])
	}
	return r
}

// ages returns how long the running requests of each class have run.
func (l *limitedBackend) ages(now time.Time) [class.Count][]time.Duration {
	var ages [class.Count][]time.Duration
	for _, r := range l.running {
		ages[r.item.Class] = append(ages[r.item.Class], now.Sub(r.started))
	}
	return ages
}

// notice returns a Notice when the condition of the backend server changes, and repeats it for noticeTime while
// the condition is not normal.
func (l *limitedBackend) notice(now time.Time) []decision.Action {
	interval := noticeInterval
	if l.breaker != nil && (l.breaker.State(now) != breaker.Closed) != l.noticed.open {
		interval = breakerInterval
	}
	if now.Sub(l.noticedAt) < interval {
		return nil
	}
	r := l.report(now)
	c := condition{
		stalled: r.Stalled > 0,
		failing: r.Errors >= failingEvidence,
		slow:    r.Slowness >= slowEvidence,
		open:    r.Breaker != breaker.Closed,
	}
	if c != l.noticed {
		l.noticed, l.changedAt = c, now
	} else if c.normal() || now.Sub(l.changedAt) > noticeTime {
		return nil
	}
	l.noticedAt = now
	return []decision.Action{Notice{Backend: l.backend.ID, Report: r}}
}
