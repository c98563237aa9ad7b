package picker

import (
	"time"

	"berylpass/choice/probation"
	"berylpass/decision"
)

const (
	// confirmTime is how long a suspicion must last before the backend server is ejected.
	confirmTime = 300 * time.Millisecond
	// peerReportTime is how long an ejection as slow waits while most peers have not reported since the
	// evidence became significant: notices about them may be on their way.
	peerReportTime = time.Second
	// askInterval is the least time between two requests to a guard for a report during a comparison of peers.
	askInterval = 500 * time.Millisecond
	// maxAsked is the maximum number of guards that are asked for a report at once.
	maxAsked = 24
	// A trial can be passed once trialCompleted requests from all ingresses have completed or
	// passedTrialSuccesses requests of this ingress have succeeded.
	trialCompleted       = 8
	passedTrialSuccesses = 5
	// failedTrialFaults is the number of failed requests of this ingress that ends a trial with an ejection.
	failedTrialFaults = 2
	// passedPathAnswers is the number of answers with which a path passes its trial.
	passedPathAnswers = 2
	// minTrialInterval is the least time between two requests for a report about a trial; trialIntervalStep is
	// added for each guard of the fleet.
	minTrialInterval  = time.Second
	trialIntervalStep = 20 * time.Millisecond
	// abroadTrialInterval multiplies these intervals for a backend server in another region.
	abroadTrialInterval = 10
	// evaluationInterval is the longest time between two evaluations of a group.
	evaluationInterval = time.Second
	// peerLevelRise is the rise of the logarithm of the peers' level that undoes an ejection as slow.
	peerLevelRise = 0.4
	// probeIdle is the time without traffic after which a backend server on trial is probed.
	probeIdle = 5 * time.Second
	// probeInterval is the time between two checks whether a probe is due, and so the least time between two probes
	// by this ingress.
	probeInterval = time.Second
)

// tick evaluates all paths and the groups that are due, and requests a probe if necessary.
func (p *Picker) tick(now time.Time) []decision.Action {
	var actions []decision.Action
	for _, w := range p.pathOrder {
		actions = append(actions, p.evaluatePath(now, w)...)
	}
	for _, g := range p.groupOrder {
		if g.due(now) {
			actions = append(actions, g.evaluate(now, p.trialInterval())...)
		}
	}
	return append(actions, p.probe(now)...)
}

// due reports whether the group must be evaluated: something may have changed since the last time, or that is
// evaluationInterval ago.
func (g *group) due(now time.Time) bool {
	return g.changed || g.unhealthy || g.inFlight > 0 || now.Sub(g.evaluatedAt) >= evaluationInterval
}

// evaluate evaluates the backend servers of a group, and determines again which of them receive traffic if any
// is or was unhealthy.
func (g *group) evaluate(now time.Time, interval time.Duration) []decision.Action {
	var actions []decision.Action
	wasUnhealthy := g.unhealthy
	g.evaluatedAt, g.unhealthy = now, false
	peers := g.peerLevels(now)
	g.usualTimes = peers.medianTimes()
	for _, s := range g.servers {
		if !s.serving() {
			continue
		}
		c := s.compare(peers)
		reason := s.ejectionReason(now, peers, c)
		switch s.probation.State {
		case probation.Clear:
			actions = append(actions, s.evaluateClear(now, peers, reason, c)...)
		case probation.Ejected:
			actions = append(actions, s.evaluateEjected(now, reason, c)...)
		case probation.OnTrial:
			actions = append(actions, s.evaluateTrial(now, peers, reason, c)...)
			actions = append(actions, s.askTrial(now, interval)...)
		}
		if s.severity() > 0 || s.suspect != None {
			g.unhealthy = true
		}
	}
	// The exclusions have changed, or the demand, on which the number of servers that are kept depends.
	g.stale = g.stale || wasUnhealthy || g.unhealthy
	g.changed = false
	return actions
}

// evaluateClear updates the suspicion of a backend server that is neither ejected nor on trial, and ejects it
// once the evidence is significant and the suspicion has lasted for confirmTime. Before it ejects a backend
// server as slow, it waits up to peerReportTime until most peers have reported, and asks their guards to.
func (s *server) evaluateClear(now time.Time, peers peerLevels, reason Reason, c comparison) []decision.Action {
	suspect := reason
	if suspect == None {
		suspect = s.emergingReason(now, peers)
	}
	if s.suspect == None {
		s.suspectSince = now
	}
	s.suspect = suspect
	if reason == None {
		s.significantSince = time.Time{}
		return nil
	}
	if s.significantSince.IsZero() {
		s.significantSince = now
	}
	if reason == Slow && !s.group.reportedSince(s.significantSince) {
		if now.Sub(s.significantSince) < peerReportTime {
			return s.group.ask(now, s)
		}
	}
	if now.Sub(s.suspectSince) < confirmTime {
		return nil
	}
	return s.eject(now, reason, c)
}

// ask requests reports from the guards of s and its active peers that have not reported since the evidence
// against s became significant.
func (g *group) ask(now time.Time, s *server) []decision.Action {
	var actions []decision.Action
	g.refresh()
	for _, peer := range g.active {
		asked := now.Sub(peer.askedAt) < askInterval
		if asked || !g.compares(peer) || peer.reportAt.After(s.significantSince) || len(actions) == maxAsked {
			continue
		}
		peer.askedAt = now
		actions = append(actions, RequestReport{Backend: peer.backend.ID})
	}
	return actions
}

// reportedSince reports whether most active servers have reported since the given time.
func (g *group) reportedSince(then time.Time) bool {
	g.refresh()
	reported, peers := 0, 0
	for _, s := range g.active {
		if !g.compares(s) {
			continue
		}
		peers++
		if s.reportAt.After(then) {
			reported++
		}
	}
	return 2*reported > peers
}

// compares reports whether reports of s are asked for to compare its peers with: those of other regions cost too much.
func (g *group) compares(s *server) bool { return !g.byRegion || s.sameRegion }

// evaluateEjected restores s at once if it was ejected as slow and its peers have become slow as well; else it
// starts the trial after the ejection time.
func (s *server) evaluateEjected(now time.Time, reason Reason, c comparison) []decision.Action {
	if s.reason == Slow && reason == None && c.normal() && c.known && c.peerLevel > s.peerLevelAtEjection+peerLevelRise {
		return s.restore(now)
	}
	s.probation = s.probation.Advance(now)
	if s.probation.State == probation.OnTrial {
		s.successes, s.failures = 0, 0
		s.completedAtTrial = s.report.Completed
		s.errorsAtTrial, s.slownessAtTrial = s.report.Errors, s.report.Slowness
	}
	return nil
}

// evaluateTrial ejects s again if its trial fails, and restores it if enough requests have completed and none
// of the evidence is unusual.
func (s *server) evaluateTrial(now time.Time, peers peerLevels, reason Reason, c comparison) []decision.Action {
	completed := s.report.Completed - s.completedAtTrial
	if s.reportAt.Before(s.probation.Since) {
		completed = 0
	}
	overdue, _ := s.overdue(now)
	switch {
	case overdue > 0, s.failures >= failedTrialFaults, reason != None && completed >= trialCompleted && !s.improving(reason):
		if reason == None {
			reason = s.reason
		}
		s.suspectSince = now
		return s.eject(now, reason, c)
	case completed < trialCompleted && s.successes < passedTrialSuccesses:
		return nil
	case reason == None && c.normal() && s.report.Errors <= max(commonErrors, median(peers.errors)):
		return s.restore(now)
	}
	return nil
}

// trialInterval returns the time between two requests for a report about a backend server on trial. It grows
// with the number of guards, because the ingresses of the whole fleet ask the same guard.
func (p *Picker) trialInterval() time.Duration {
	return max(minTrialInterval, time.Duration(len(p.pathOrder))*trialIntervalStep)
}

// askTrial requests a report from the guard of s, which covers the trial requests of all ingresses.
func (s *server) askTrial(now time.Time, interval time.Duration) []decision.Action {
	if !s.group.compares(s) {
		interval *= abroadTrialInterval
	}
	if s.probation.State != probation.OnTrial || now.Sub(s.reportAt) < interval || now.Sub(s.askedAt) < interval {
		return nil
	}
	s.askedAt = now
	return []decision.Action{RequestReport{Backend: s.backend.ID}}
}

// improving reports whether the evidence for a reason has fallen since the trial began.
func (s *server) improving(reason Reason) bool {
	switch reason {
	case Failing:
		return s.report.Errors < s.errorsAtTrial
	case Slow:
		return s.report.Slowness < s.slownessAtTrial
	}
	return false
}

func (s *server) eject(now time.Time, reason Reason, c comparison) []decision.Action {
	s.probation = s.probation.Eject(now)
	s.reason, s.suspect, s.ejectedAt = reason, None, now
	s.peerLevelAtEjection = c.peerLevel
	return []decision.Action{Ejected{
		Backend:         s.backend.ID,
		Reason:          reason,
		DetectionTime:   now.Sub(s.suspectSince),
		RecentEjections: s.probation.RecentEjections,
	}}
}

// restore ends the trial or ejection of s.
func (s *server) restore(now time.Time) []decision.Action {
	action := Restored{Backend: s.backend.ID, Reason: s.reason, EjectedFor: now.Sub(s.ejectedAt)}
	s.probation = s.probation.Restore(now)
	s.reason = None
	return []decision.Action{action}
}

// probe requests a probe of the backend server on trial that was probed least recently, if it has had neither
// traffic nor a probe for probeIdle.
func (p *Picker) probe(now time.Time) []decision.Action {
	if now.Sub(p.lastProbeCheck) < probeInterval {
		return nil
	}
	p.lastProbeCheck = now
	var idle *server
	for _, g := range p.groupOrder {
		g.refresh()
		for _, s := range g.trials {
			idleLongEnough := now.Sub(s.lastPick) >= probeIdle && now.Sub(s.lastProbe) >= probeIdle
			if idleLongEnough && (idle == nil || s.lastProbe.Before(idle.lastProbe)) {
				idle = s
			}
		}
	}
	if idle == nil {
		return nil
	}
	idle.lastProbe = now
	return []decision.Action{Probe{Backend: idle.backend.ID}}
}
