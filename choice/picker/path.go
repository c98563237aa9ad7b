package picker

import (
	"time"

	"berylpass/choice/probation"
	"berylpass/decision"
)

// judgePath ejects a silent path, and restores one that answers on trial.
func (p *Picker) judgePath(now time.Time, w *path) []decision.Action {
	switch w.probation.State {
	case probation.Clear:
		return p.judgeSilence(now, w)
	case probation.Ejected:
		w.probation = w.probation.Advance(now)
		if w.probation.State == probation.OnTrial {
			w.good, w.bad = 0, 0
		}
	case probation.OnTrial:
		if n, _ := w.silent(now); n > 0 || w.bad > 0 {
			return p.ejectPath(now, w)
		}
		if w.good >= pathGood {
			return p.restorePath(now, w)
		}
	}
	return nil
}

// judgeSilence asks the guard of a silent path for a report, and ejects the path
// if several requests are overdue and the question stays unanswered.
func (p *Picker) judgeSilence(now time.Time, w *path) []decision.Action {
	n, since := w.silent(now)
	if n == 0 {
		return nil
	}
	if w.askedAt.Before(since) {
		w.askedAt = now
		return []decision.Action{Ask{Backend: w.servers[0].backend.ID}}
	}
	if n >= silentRequests && now.Sub(w.askedAt) >= AskTimeout {
		w.badSince = since
		return p.ejectPath(now, w)
	}
	return nil
}

// ejectPath takes every backend server behind a path out of use for this ingress.
func (p *Picker) ejectPath(now time.Time, w *path) []decision.Action {
	w.probation = w.probation.Eject(now)
	w.reason, w.ejectedAt = BadPath, now
	w.misses = 0
	actions := make([]decision.Action, 0, len(w.servers))
	for _, s := range w.servers {
		s.group.rebuild()
		actions = append(actions, Ejected{
			Backend: s.backend.ID,
			Reason:  BadPath,
			After:   now.Sub(w.badSince),
			Strikes: w.probation.Strikes,
		})
	}
	return actions
}

// restorePath puts the backend servers behind a path back into use.
func (p *Picker) restorePath(now time.Time, w *path) []decision.Action {
	w.probation = w.probation.Restore(now)
	w.reason = None
	actions := make([]decision.Action, 0, len(w.servers))
	for _, s := range w.servers {
		s.group.rebuild()
		actions = append(actions, Restored{Backend: s.backend.ID, Reason: BadPath, Out: now.Sub(w.ejectedAt)})
	}
	return actions
}
