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
	// failingNoticeEvidence is the evidence of errors, in nats, from which a backend server counts as failing for
	// notices.
	failingNoticeEvidence = 8
	// slowNoticeEvidence is the evidence of slowness, in nats, from which a backend server counts as slow for
	// notices.
	slowNoticeEvidence = 6
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
	// tripped reports whether the breaker is not closed.
	tripped bool
}

// normal reports whether the condition needs no repeated notices. A breaker that is not closed needs none by
// itself: only its change is reported.
func (c condition) normal() bool { return !c.stalled && !c.failing && !c.slow }

// expectedTime returns the mean service time of a class, or that over all classes if the class has no samples.
func (b *limitedBackend) expectedTime(now time.Time, c class.Class) time.Duration {
	if b.mean[c].Samples(now) > 0 {
		return time.Duration(b.mean[c].Mean() * float64(time.Second))
	}
	return b.meanServiceTime(now)
}

// meanServiceTime returns the mean service time over all classes.
func (b *limitedBackend) meanServiceTime(now time.Time) time.Duration {
	var weight, sum float64
	for c := range b.mean {
		if n := b.mean[c].Samples(now); n > 0 {
			weight += n
			sum += n * b.mean[c].Mean()
		}
	}
	if weight == 0 {
		return defaultServiceTime
	}
	return time.Duration(sum / weight * float64(time.Second))
}

// estimatedWait returns the expected wait behind n requests.
func (b *limitedBackend) estimatedWait(now time.Time, n float64) time.Duration {
	if n == 0 && b.mayStart(now) {
		return 0
	}
	return time.Duration((n + 1) * float64(b.meanServiceTime(now)) / float64(b.limiter.Allowed(now)))
}

// queueLimit returns how many requests may be queued: as many as the slots serve in burstQueueTime, or in
// standingQueueTime if the queue does not become empty (B. Maurer, Fail at Scale, 2015), but at least two per
// slot and at most maxQueued. With precedence one per slot is enough: what is queued there may be passed by more
// urgent requests, and would be refused late.
func (b *limitedBackend) queueLimit(now time.Time) int {
	span := burstQueueTime
	if now.Sub(b.queuedSince) >= standingQueueAfter {
		span = standingQueueTime
	}
	served := float64(span) / float64(max(b.meanServiceTime(now), time.Microsecond))
	least := 2 * b.limiter.Slots()
	if b.precedence {
		least = b.limiter.Slots()
	}
	n := served * float64(b.limiter.Allowed(now))
	return int(min(max(n, float64(least)), float64(b.maxQueued)))
}

// stalled returns how long the backend server has completed nothing while requests were overdue or abandoned;
// zero if it is not stalled. The fewer requests may run, the longer they must be overdue. At least one of them
// must have started since the last completion: long requests alone are no stall.
func (b *limitedBackend) stalled(now time.Time) time.Duration {
	needed := min(stalledRequests, b.limiter.Allowed(now))
	factor := time.Duration(1) << (stalledRequests - needed)
	overdue, startedSince := 0, false
	if b.abandoned >= min(stalledRequests, b.limiter.Slots()) && now.Sub(b.lastCompleted) >= b.minStallTime(now) {
		overdue, startedSince = b.abandoned, true
	}
	for _, r := range b.running {
		limit := factor * evidence.OverdueAge(b.evidence.Level(now, r.item.Class, nil))
		if now.Sub(r.started) >= limit && now.Sub(b.lastCompleted) >= limit {
			overdue++
			startedSince = startedSince || !r.started.Before(b.lastCompleted)
		}
	}
	if overdue < needed || !startedSince {
		return 0
	}
	return now.Sub(b.lastCompleted)
}

// minStallTime returns the least time without completions after which abandoned requests count as a stall.
func (b *limitedBackend) minStallTime(now time.Time) time.Duration {
	var longest time.Duration
	for c := range class.Count {
		if level := b.evidence.Level(now, c, nil); level.Samples > 0 {
			longest = max(longest, evidence.OverdueAge(level))
		}
	}
	return max(longest, stalledAfter)
}

// report returns the measurements at the time now.
func (b *limitedBackend) report(now time.Time) report.Report {
	r := report.Report{
		InUse:      len(b.running),
		Queued:     b.queue.Len(),
		Limit:      b.limiter.Allowed(now),
		Slots:      b.limiter.Slots(),
		Errors:     b.evidence.Errors(),
		StalledFor: b.stalled(now),
		Completed:  b.evidence.CompletedCount(),
	}
	ages := b.ages(now)
	if b.breaker != nil {
		r.Breaker, r.BreakerScore = b.breaker.State(now), b.breaker.Score()
	}
	r.Slowness = b.evidence.Slowness(now, ages)
	for c := range r.Levels {
		r.Levels[c] = b.evidence.Level(now, class.Class(c), ages[c])
	}
	return r
}

// ages returns how long the running requests of each class have run.
func (b *limitedBackend) ages(now time.Time) [class.Count][]time.Duration {
	var ages [class.Count][]time.Duration
	for _, r := range b.running {
		ages[r.item.Class] = append(ages[r.item.Class], now.Sub(r.started))
	}
	return ages
}

// notice returns a Notice when the condition of the backend server changes, and repeats it for noticeTime while
// the condition is not normal.
func (b *limitedBackend) notice(now time.Time) []decision.Action {
	interval := noticeInterval
	if b.breaker != nil && (b.breaker.State(now) != breaker.Closed) != b.noticed.tripped {
		interval = breakerInterval
	}
	if now.Sub(b.noticedAt) < interval {
		return nil
	}
	r := b.report(now)
	c := condition{
		stalled: r.StalledFor > 0,
		failing: r.Errors >= failingNoticeEvidence,
		slow:    r.Slowness >= slowNoticeEvidence,
		tripped: r.Breaker != breaker.Closed,
	}
	if c != b.noticed {
		b.noticed, b.changedAt = c, now
	} else if c.normal() || now.Sub(b.changedAt) > noticeTime {
		return nil
	}
	b.noticedAt = now
	return []decision.Action{Notice{Backend: b.backend.ID, Report: r}}
}
