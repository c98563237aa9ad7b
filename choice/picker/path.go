package picker

import (
	"time"

	"berylpass/choice/probation"
	"berylpass/decision"
)

// evaluatePath ejects a path with overdue requests, starts its trial after the ejection time, and restores it
// once it has passed the trial.
func (p *Picker) evaluatePath(now time.Time, w *path) []decision.Action {
	switch w.probation.State {
	case probation.Clear:
		return p.checkOverdue(now, w)
	case probation.Ejected:
		w.probation = w.probation.Advance(now)
		if w.probation.State == probation.OnTrial {
			w.successes, w.failures = 0, 0
		}
	case probation.OnTrial:
		if n, _ := w.overdue(now); n > 0 || w.failures > 0 {
			return p.ejectPath(now, w)
		}
		if w.successes >= passedPathAnswers {
			return p.restorePath(now, w)
		}
	}
	return nil
}

// checkOverdue asks the guard for a report if requests over a path are overdue, and ejects the path if at least
// overdueLimit requests are overdue and no answer has arrived within ReportTimeout.
func (p *Picker) checkOverdue(now time.Time, w *path) []decision.Action {
	n, since := w.overdue(now)
	if n == 0 {
		return nil
	}
	if w.askedAt.Before(since) {
		w.askedAt = now
		return []decision.Action{RequestReport{Backend: w.servers[0].backend.ID}}
	}
	if n >= overdueLimit && now.Sub(w.askedAt) >= ReportTimeout {
		w.suspectSince = since
		return p.ejectPath(now, w)
	}
	return nil
}

// ejectPath ejects a path and with it, for this ingress, every backend server behind it.
func (p *Picker) ejectPath(now time.Time, w *path) []decision.Action {
	w.probation = w.probation.Eject(now)
	w.reason, w.ejectedAt = BadPath, now
	w.consecutiveFailures = 0
	actions := make([]decision.Action, 0, len(w.servers))
	for _, s := range w.servers {
		s.group.invalidate()
		actions = append(actions, Ejected{
			Backend:         s.backend.ID,
			Reason:          BadPath,
			DetectionTime:   now.Sub(w.suspectSince),
			RecentEjections: w.probation.RecentEjections,
		})
	}
	return actions
}

// restorePath restores a path and the backend servers behind it.
func (p *Picker) restorePath(now time.Time, w *path) []decision.Action {
	w.probation = w.probation.Restore(now)
	w.reason = None
	actions := make([]decision.Action, 0, len(w.servers))
	for _, s := range w.servers {
		s.group.invalidate()
		actions = append(actions, Restored{Backend: s.backend.ID, Reason: BadPath, EjectedFor: now.Sub(w.ejectedAt)})
	}
	return actions
}
