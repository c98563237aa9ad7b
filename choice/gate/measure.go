package gate

import (
	"math"
	"time"

	"berylpass/choice/evidence"
	"berylpass/choice/report"
	"berylpass/config/class"
	"berylpass/decision"
)

const (
	// stalledRequests is the number of overdue requests that make a stall, if the limit is that high.
	stalledRequests = 3
	// stalledAfter is the time without completion from which abandoned requests make a stall.
	stalledAfter = time.Second
	// failingEvidence is the evidence of errors, in nats, from which a backend server is noticed as failing.
	failingEvidence = 14
	// noticeInterval is the least time between two notices about a backend server.
	noticeInterval = time.Second
	// noticeSamples is the effective number of samples of a level that is noticed.
	noticeSamples = 8
)

// noticeRatio is the change of the level, as a logarithm, that is noticed.
var noticeRatio = math.Log(1.8)

// condition is what a notice tells.
type condition struct {
	stalled, failing bool
	// level is the logarithmic level over the classes; known tells that there is one.
	level float64
	known bool
}

// expected returns the mean service time of a class, over all classes while it has none.
func (l *lane) expected(now time.Time, c class.Class) time.Duration {
	if l.mean[c].Samples(now) > 0 {
		return time.Duration(l.mean[c].Mean() * float64(time.Second))
	}
	return l.meanTime(now)
}

// meanTime returns the mean service time over the classes.
func (l *lane) meanTime(now time.Time) time.Duration {
	var weight, sum float64
	for c := range l.mean {
		if n := l.mean[c].Samples(now); n > 0 {
			weight += n
			sum += n * l.mean[c].Mean()
		}
	}
	if weight == 0 {
		return unknownTime
	}
	return time.Duration(sum / weight * float64(time.Second))
}

// wait estimates the wait behind n requests.
func (l *lane) wait(now time.Time, n float64) time.Duration {
	if n == 0 && l.free(now) {
		return 0
	}
	return time.Duration((n + 1) * float64(l.meanTime(now)) / float64(l.limiter.Allowed(now)))
}

// room returns how many requests may wait: what the slots serve in queueTime.
func (l *lane) room(now time.Time) int {
	served := float64(queueTime) / float64(max(l.meanTime(now), time.Microsecond))
	n := served * float64(l.limiter.Allowed(now))
	return int(min(max(n, float64(2*l.limiter.Slots())), maxQueued))
}

// stalled returns how long the backend server has completed nothing while
// requests were overdue or abandoned; zero if it is not stalled.
func (l *lane) stalled(now time.Time) time.Duration {
	needed := min(stalledRequests, l.limiter.Allowed(now))
	overdue := 0
	if silent := now.Sub(l.lastCompleted); silent >= stalledAfter {
		overdue = l.abandoned
	}
	for _, r := range l.running {
		limit := evidence.Overdue(l.evidence.Level(now, r.item.Class, nil))
		if needed == 1 {
			limit *= 2
		}
		if now.Sub(r.started) >= limit && now.Sub(l.lastCompleted) >= limit {
			overdue++
		}
	}
	if overdue < needed {
		return 0
	}
	return now.Sub(l.lastCompleted)
}

// report returns what is measured at the time now.
func (l *lane) report(now time.Time) report.Report {
	r := report.Report{
		InUse:     len(l.running),
		Queued:    l.queue.Len(),
		Limit:     l.limiter.Allowed(now),
		Slots:     l.limiter.Slots(),
		Errors:    l.evidence.Errors(),
		Stalled:   l.stalled(now),
		Completed: l.evidence.Count(),
	}
	for c := range r.Levels {
		r.Levels[c] = l.evidence.Level(now, class.Class(c), l.ages(now, class.Class(c)))
	}
	return r
}

// ages returns how long the requests of a class have run.
func (l *lane) ages(now time.Time, c class.Class) []time.Duration {
	var ages []time.Duration
	for _, r := range l.running {
		if r.item.Class == c {
			ages = append(ages, now.Sub(r.started))
		}
	}
	return ages
}

// notice returns a notice if the condition of the backend server changed since the last one.
func (l *lane) notice(now time.Time) []decision.Action {
	if now.Sub(l.noticedAt) < noticeInterval {
		return nil
	}
	r := l.report(now)
	c := conditionOf(r)
	if !c.known {
		c.level, c.known = l.noticed.level, l.noticed.known
	}
	moved := c.known && l.noticed.known && math.Abs(c.level-l.noticed.level) >= noticeRatio
	changed := c.stalled != l.noticed.stalled || c.failing != l.noticed.failing || moved
	if !changed {
		if !l.noticed.known {
			l.noticed.level, l.noticed.known = c.level, c.known
		}
		return nil
	}
	l.noticed, l.noticedAt = c, now
	return []decision.Action{Notice{Backend: l.backend.ID, Report: r}}
}

// conditionOf returns the condition that a report shows.
func conditionOf(r report.Report) condition {
	c := condition{stalled: r.Stalled > 0, failing: r.Errors >= failingEvidence}
	var weight float64
	for _, level := range r.Levels {
		if level.Samples > 0 {
			weight += level.Samples
			c.level += level.Samples * math.Log(float64(level.Time))
		}
	}
	if weight >= noticeSamples {
		c.level, c.known = c.level/weight, true
	}
	return c
}
