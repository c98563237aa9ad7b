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
	// silentRequests is the number of such requests that make a silence.
	silentRequests = 2
	// missLimit is the number of failures in a row that make a path bad.
	missLimit = 2
	// AskTimeout bounds the wait for a report that was asked for.
	AskTimeout = 500 * time.Millisecond
)

// begin notes an attempt in flight.
func (p *Picker) begin(now time.Time, e Picked) {
	s := p.servers[e.Backend]
	if s == nil {
		return
	}
	s.lastPick = now
	s.group.flights++
	s.flights = append(s.flights, flight{attempt: e.Attempt, class: e.Class, sent: now})
}

// end forgets an attempt in flight.
func (p *Picker) end(attempt id.ID, on backend.ID) {
	s := p.servers[on]
	if s == nil {
		return
	}
	before := len(s.flights)
	s.flights = slices.DeleteFunc(s.flights, func(f flight) bool { return f.attempt == attempt })
	s.group.flights -= before - len(s.flights)
}

// observe takes the end of an attempt.
func (p *Picker) observe(now time.Time, e Observed) []decision.Action {
	s := p.servers[e.Backend]
	if s == nil {
		return nil
	}
	p.end(e.Attempt, e.Backend)
	s.group.changed = true
	if e.Report != nil {
		s.takeReport(now, *e.Report)
	}
	switch {
	case e.Verdict.Answered() || e.Report != nil:
		s.lastAnswer, s.path.lastAnswer, s.path.misses = now, now, 0
		s.path.good++
	case e.Verdict == verdict.PathFailure, e.Verdict == verdict.Timeout:
		s.path.miss(now)
	}
	if e.Verdict.Faulty() {
		s.bad++
	}
	if e.Verdict == verdict.OK {
		s.good++
		s.group.took.Completed(now, e.Class, e.Took, verdict.OK)
	}
	limit := missLimit
	if n, _ := s.path.silent(now); n > 0 {
		limit = 1
	}
	if s.path.misses >= limit && s.path.probation.State != probation.Ejected {
		return p.ejectPath(now, s.path)
	}
	return nil
}

// miss counts a failure of the path.
func (w *path) miss(now time.Time) {
	if w.misses == 0 {
		w.badSince = now
	}
	w.misses++
	w.bad++
}

// silence returns the age from which an unanswered request of class c speaks against its backend server.
func (g *group) silence(now time.Time, c class.Class) time.Duration {
	return evidence.Overdue(g.took.Level(now, c, nil))
}

// silent counts the overdue requests of s that were sent after its last answer, and in its trial if it is on trial.
func (s *server) silent(now time.Time) (overdue int, first time.Time) {
	for _, f := range s.flights {
		if !f.sent.After(s.lastAnswer) || s.beforeTrial(f) || now.Sub(f.sent) < s.group.silence(now, f.class) {
			continue
		}
		if overdue == 0 || f.sent.Before(first) {
			first = f.sent
		}
		overdue++
	}
	return overdue, first
}

// beforeTrial reports whether f was sent before the trial that s or its path is on.
func (s *server) beforeTrial(f flight) bool {
	for _, p := range []probation.Probation{s.probation, s.path.probation} {
		if p.State != probation.Clear && f.sent.Before(p.Since) {
			return true
		}
	}
	return false
}

// silent counts the overdue requests of a path that were sent after its last answer over any server.
func (w *path) silent(now time.Time) (overdue int, first time.Time) {
	for _, s := range w.servers {
		n, since := s.silent(now)
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
