package picker

import (
	"slices"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/evidence"
	"berylpass/choice/probation"
	"berylpass/choice/verdict"
	"berylpass/config/class"
	"berylpass/decision"
	"berylpass/fleet/backend"
)

const (
	// overdueLimit is the number of overdue requests that counts as a stalled backend server or a silent path.
	overdueLimit = 2
	// pathFailureLimit is the number of consecutive failures after which a path is ejected if no other request
	// over it is overdue.
	pathFailureLimit = 2
	// ReportTimeout is the longest wait for a report that was requested with RequestReport.
	ReportTimeout = 500 * time.Millisecond
)

// addInFlight records an attempt as in flight.
func (p *Picker) addInFlight(now time.Time, e AttemptStarted) {
	s := p.servers[e.Backend]
	if s == nil {
		return
	}
	s.lastPick = now
	s.group.inFlight++
	s.inFlight = append(s.inFlight, inFlightAttempt{attempt: e.Attempt, class: e.Class, sent: now, forced: s.takeForcedPick()})
}

// removeInFlight removes an attempt from those in flight.
func (p *Picker) removeInFlight(attempt id.ID, on backend.ID) {
	s := p.servers[on]
	if s == nil {
		return
	}
	before := len(s.inFlight)
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f inFlightAttempt) bool { return f.attempt == attempt })
	s.group.inFlight -= before - len(s.inFlight)
}

// observe records how an attempt ended and ejects the path if its failures have reached the limit: one while
// other requests over it are overdue, else pathFailureLimit.
func (p *Picker) observe(now time.Time, e AttemptEnded) []decision.Action {
	s := p.servers[e.Backend]
	if s == nil {
		return nil
	}
	p.chargeAnswer(now, s, e)
	p.removeInFlight(e.Attempt, e.Backend)
	s.group.changed = true
	if e.Report != nil {
		s.takeReport(now, *e.Report)
		p.observeRegion(now, s)
	}
	switch {
	case e.Verdict.Answered() || e.Report != nil:
		s.lastAnswer, s.path.lastAnswer, s.path.consecutiveFailures = now, now, 0
		s.path.successes++
	case e.Verdict == verdict.PathFailure, e.Verdict == verdict.Timeout:
		s.path.recordFailure(now)
	}
	if e.Verdict.Faulty() {
		s.failures++
	}
	if e.Verdict == verdict.OK {
		s.successes++
		s.group.answerTimes.Completed(now, e.Class, e.Took, verdict.OK)
	}
	limit := pathFailureLimit
	if n, _ := s.path.overdue(now); n > 0 {
		limit = 1
	}
	if s.path.consecutiveFailures >= limit && s.path.probation.State != probation.Ejected {
		return p.ejectPath(now, s.path)
	}
	return nil
}

// recordFailure counts a failure of the path.
func (w *path) recordFailure(now time.Time) {
	if w.consecutiveFailures == 0 {
		w.suspectSince = now
	}
	w.consecutiveFailures++
	w.failures++
}

// overdueAge returns the age from which an unanswered request of class c is overdue and counts as evidence
// against its backend server.
func (g *group) overdueAge(now time.Time, c class.Class) time.Duration {
	return evidence.OverdueAge(g.answerTimes.Level(now, c, nil))
}

// overdue returns the number of overdue requests of s and the time at which the first of them was sent. It
// counts only requests that were sent after the last answer and, if s or its path is ejected or on trial, since
// that state began.
func (s *server) overdue(now time.Time) (overdue int, first time.Time) {
	for _, f := range s.inFlight {
		if !f.sent.After(s.lastAnswer) || s.beforeProbation(f) || now.Sub(f.sent) < s.group.overdueAge(now, f.class) {
			continue
		}
		if overdue == 0 || f.sent.Before(first) {
			first = f.sent
		}
		overdue++
	}
	return overdue, first
}

// beforeProbation reports whether f was sent before the current trial or ejection of s or its path began.
func (s *server) beforeProbation(f inFlightAttempt) bool {
	for _, p := range []probation.Probation{s.probation, s.path.probation} {
		if p.State != probation.Clear && f.sent.Before(p.Since) {
			return true
		}
	}
	return false
}

// overdue returns the number of overdue requests of a path and the time at which the first of them was sent. It
// leaves out a backend server whose first overdue request was sent before the last answer over the path.
func (w *path) overdue(now time.Time) (overdue int, first time.Time) {
	for _, s := range w.servers {
		n, since := s.overdue(now)
		if n == 0 || !since.After(w.lastAnswer) {
			continue
		}
		if overdue == 0 || since.Before(first) {
			first = since
		}
		overdue += n
	}
	return overdue, first
}
