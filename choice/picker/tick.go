package picker

import (
	"time"

	"berylpass/choice/probation"
	"berylpass/decision"
)

const (
	// confirmTime is how long a suspicion must hold before it ejects.
	confirmTime = 300 * time.Millisecond
	// spreadTime is that time while most peers have not reported since the
	// suspicion began: notices about them may be on their way.
	spreadTime = time.Second
	// askInterval is the least time between two questions to a guard about its peers.
	askInterval = 500 * time.Millisecond
	// maxAsked bounds the peers that are asked at once.
	maxAsked = 24
	// trialCompleted is the number of requests, over the fleet, that a trial takes.
	trialCompleted = 8
	// trialGood is the number of own good answers that passes a trial.
	trialGood = 5
	// trialBad is the number of own faults that fails a trial.
	trialBad = 2
	// pathGood is the number of answers that passes the trial of a path.
	pathGood = 2
	// peersMoved is the rise of the peers' level, as a logarithm, that undoes an ejection as slow.
	peersMoved = 0.4
	// probeIdle is the time without traffic after which a backend server on trial is probed.
	probeIdle = 5 * time.Second
	// probeInterval is the least time between two probes of this ingress.
	probeInterval = time.Second
)

// tick runs the systems over the tables: paths, servers, floor, probes.
func (p *Picker) tick(now time.Time) []decision.Action {
	var actions []decision.Action
	for _, w := range p.pathOrder {
		actions = append(actions, p.judgePath(now, w)...)
	}
	for _, g := range p.order {
		actions = append(actions, g.judge(now)...)
		g.rebuild()
	}
	return append(actions, p.probe(now)...)
}

// judge runs over the backend servers of a group.
func (g *group) judge(now time.Time) []decision.Action {
	var actions []decision.Action
	b := g.baseline(now)
	for _, s := range g.servers {
		if !s.serving() {
			continue
		}
		c := s.compare(b)
		found := s.suspicion(now, b, c)
		switch s.probation.State {
		case probation.Clear:
			actions = append(actions, s.judgeClear(now, b, found, c)...)
		case probation.Ejected:
			actions = append(actions, s.judgeEjected(now, found, c)...)
		case probation.OnTrial:
			actions = append(actions, s.judgeTrial(now, b, found, c)...)
		}
	}
	return actions
}

// judgeClear ejects s once a suspicion holds and the time of confirmation is over.
func (s *server) judgeClear(now time.Time, b baseline, found Reason, c comparison) []decision.Action {
	suspect := found
	if suspect == None {
		suspect = s.rising(now, b)
	}
	if s.suspect == None {
		s.badSince = now
	}
	s.suspect = suspect
	if found == None {
		s.foundSince = time.Time{}
		return nil
	}
	if s.foundSince.IsZero() {
		s.foundSince = now
	}
	if found == Slow && !s.group.reportedSince(s.foundSince) {
		if now.Sub(s.foundSince) < spreadTime {
			return s.group.ask(now, s)
		}
	}
	if now.Sub(s.badSince) < confirmTime {
		return nil
	}
	return s.eject(now, found, c)
}

// ask asks the guards of s and its peers that have not reported since it was found slow.
func (g *group) ask(now time.Time, s *server) []decision.Action {
	var actions []decision.Action
	for _, peer := range g.kept {
		asked := now.Sub(peer.askedAt) < askInterval
		if asked || peer.reportAt.After(s.foundSince) || len(actions) == maxAsked {
			continue
		}
		peer.askedAt = now
		actions = append(actions, Ask{Backend: peer.backend.ID})
	}
	return actions
}

// reportedSince tells whether most servers that take work have reported since then.
func (g *group) reportedSince(then time.Time) bool {
	reported := 0
	for _, s := range g.kept {
		if s.reportAt.After(then) {
			reported++
		}
	}
	return 2*reported > len(g.kept)
}

// judgeEjected restores s at once if the peers became slow as well, and starts its trial in time.
func (s *server) judgeEjected(now time.Time, found Reason, c comparison) []decision.Action {
	if s.reason == Slow && found == None && c.usual() && c.known && c.peers > s.peersAtEjection+peersMoved {
		return s.restore(now)
	}
	s.probation = s.probation.Advance(now)
	if s.probation.State == probation.OnTrial {
		s.good, s.bad = 0, 0
		s.completedAtTrial = s.report.Completed
	}
	return nil
}

// judgeTrial ends the trial of s once enough requests have completed.
func (s *server) judgeTrial(now time.Time, b baseline, found Reason, c comparison) []decision.Action {
	completed := s.report.Completed - s.completedAtTrial
	if s.reportAt.Before(s.probation.Since) {
		completed = 0
	}
	overdue, _ := s.silent(now)
	switch {
	case overdue > 0, s.bad >= trialBad, found != None && completed >= trialCompleted:
		if found == None {
			found = s.reason
		}
		s.badSince = now
		return s.eject(now, found, c)
	case completed < trialCompleted && s.good < trialGood:
		return nil
	case found == None && c.usual() && s.report.Errors <= max(failingPeers, median(b.errors)):
		return s.restore(now)
	}
	return nil
}

// eject takes s out of use.
func (s *server) eject(now time.Time, why Reason, c comparison) []decision.Action {
	s.probation = s.probation.Eject(now)
	s.reason, s.suspect, s.ejectedAt = why, None, now
	s.peersAtEjection = c.peers
	return []decision.Action{Ejected{
		Backend: s.backend.ID,
		Reason:  why,
		After:   now.Sub(s.badSince),
		Strikes: s.probation.Strikes,
	}}
}

// restore puts s back into use.
func (s *server) restore(now time.Time) []decision.Action {
	action := Restored{Backend: s.backend.ID, Reason: s.reason, Out: now.Sub(s.ejectedAt)}
	s.probation = s.probation.Restore(now)
	s.reason = None
	return []decision.Action{action}
}

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

// probe asks for a probe of a backend server on trial without traffic.
func (p *Picker) probe(now time.Time) []decision.Action {
	if now.Sub(p.lastProbe) < probeInterval {
		return nil
	}
	var idle *server
	for _, g := range p.order {
		for _, s := range g.trials {
			rested := now.Sub(s.lastPick) >= probeIdle && now.Sub(s.lastProbe) >= probeIdle
			if rested && (idle == nil || s.lastProbe.Before(idle.lastProbe)) {
				idle = s
			}
		}
	}
	if idle == nil {
		return nil
	}
	p.lastProbe, idle.lastProbe = now, now
	return []decision.Action{Probe{Backend: idle.backend.ID}}
}
