// Package conductor decides the steps and the outcome of operators' orders to move services to new versions.
//
// One daemon conducts an order. All daemons report to it what their guards have counted since they learnt of the
// order, and each gets a grant: the share of its requests that may go to the new version for a short time. The
// conductor keeps no state that the next one needs: reports are counts since the order, its age is passed on with the
// list of orders, and a decision that was told is part of the reports. So another daemon goes on where one stopped,
// and two that both conduct grant the same shares.
//
// An order takes these steps: on trial, a small share of the requests goes to the new version, most of the order's
// time; widening, a larger share; shifting, all requests, so that the old version's backend servers finish their work
// before they are stopped; then its completion is written. Each step needs evidence that the new version is as good
// as the old one (package evidence) and room for all requests on its backend servers. Bad evidence ends the order at
// any step: nothing is granted any more, at once, and the roll-back is written until the store has it.
//
// The loads that this answers: a new version that fails or is slow at once, after some seconds, on one route only, or
// only under load, for which some of its backend servers get as many requests each as the old ones do (Grant.Focus); a
// service with so few requests that a small share of them proves nothing.
//
// # Usage
//
//	c := conductor.New(conductor.Bounds{Share: 0.1, Slack: 50})
//	c.Update(now, conductor.Orders{List: orders})
//	c.Update(now, conductor.Report{Order: key, Version: "v2", Counts: counts})
//	c.Update(now, conductor.Fleet{Order: key, New: 12, NewSlots: 60, Old: 12})
//	actions := c.Update(now, conductor.Tick{}) // every 200 ms: WriteState, StepChanged
//	c.Update(now, conductor.Written{Order: key, State: order.Running, Done: true})
//	g, ok := c.Grant(now, key)
//
// Times are readings of a clock that also counts the time for which the VM is suspended.
package conductor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/rollout/evidence"
	"berylpass/rollout/order"
)

// Bounds are the bounds on the requests that a bad version may get.
type Bounds struct {
	// Share is the share of all requests of a service from the order to its deadline.
	Share float64
	// Slack is the number of requests in addition.
	Slack int
}

// ReportInterval is the time between two reports of a daemon.
const ReportInterval = 500 * time.Millisecond

const (
	// trialPart is the part of Bounds.Share that goes to a version on trial. The rest is for the next steps, and for
	// daemons that were granted a share by two conductors.
	trialPart = 0.5
	// trialSlackPart is the part of Bounds.Slack for the trial.
	trialSlackPart = 0.3
	// stepsPart and stepsSlackPart are the parts of Bounds.Share and Bounds.Slack that may be used up before an order
	// is completed. Counts are late by a report.
	stepsPart, stepsSlackPart = 0.85, 0.5
	// forecastPart is the part of the present rate that is expected up to the deadline.
	forecastPart = 0.5
	// widenAge is the age of an order, as a part of its duration, at which it widens. What is left is for the steps
	// and for another daemon that has to take over.
	widenAge = 0.55
	// widenShare is the share of requests while an order widens.
	widenShare = 0.3
	// completingTime is how long all requests may go to the new version while its completion is being written.
	completingTime = time.Second
	// widenTime and shiftTime are how long the steps take at least; short orders spend widenPart and shiftPart of their
	// duration. Requests of a fraction of a second end meanwhile. With few requests a step waits for answers, up to two
	// and three times as long.
	widenTime, shiftTime = time.Second, 500 * time.Millisecond
	widenPart, shiftPart = 0.08, 0.05
	// minAnswers and maxAnswers bound the number of answers of the new version that an order needs, wantedPart of all.
	minAnswers, maxAnswers = 3, 12
	wantedPart             = 0.02
	// routeAnswers is the number of answers of the old version on a route from which the new one must have given
	// minAnswers on it.
	routeAnswers = 200
	// maxUse is the greatest part of the new version's slots that all requests may take.
	maxUse = 0.8
	// grantTime is how long a grant is good on trial; shiftGrantTime while more than the trial's share is granted.
	grantTime, shiftGrantTime = 1500 * time.Millisecond, 700 * time.Millisecond
	// stepReportInterval is the time between two reports of a daemon while an order widens or shifts.
	stepReportInterval = 200 * time.Millisecond
	// perDaemonInterval is added for each daemon of the fleet, so that one conductor can hear hundreds.
	perDaemonInterval = 2 * time.Millisecond
	// heardTime is the time after a report for which its backend server counts as heard.
	heardTime = 3 * ReportInterval
	// writeBackoff is the time between two writes of an order's state that fail.
	writeBackoff = time.Second
	// rateTime is the time constant of the measured rate of requests.
	rateTime = 2 * time.Second
	// focusShare is the part of the trial's requests that goes to the backend servers of Grant.Focus, focusTime how long
	// these stay the same.
	focusShare, focusTime = 0.7, 1500 * time.Millisecond
)

// Step is how far an order has come.
type Step uint8

// The steps.
const (
	// Waiting means that the new version has no serving backend server.
	Waiting Step = iota
	Trial
	Widening
	Shifting
	// Completing and RollingBack mean that the outcome is decided and may not be stored yet.
	Completing
	RollingBack
)

var steps = [...]string{"waiting", "trial", "widening", "shifting", "completing", "rolling-back"}

// String returns the kebab-case name of the step.
func (s Step) String() string {
	if int(s) >= len(steps) {
		return "unknown"
	}
	return steps[s]
}

// Orders passes on the orders that this daemon conducts; those that are missing are forgotten. Each order's Age is
// as of now.
type Orders struct{ List []order.Order }

// Report passes on a report of a daemon about a backend server.
type Report struct {
	Order   order.Key
	Version string
	Counts  evidence.Report
}

// Told passes on an outcome that an earlier conductor has told a daemon.
type Told struct {
	Order order.Key
	State order.State
}

// Fleet passes on the backend servers of the order's service that serve.
type Fleet struct {
	Order order.Key
	// New holds the new version's backend servers with their slots, Old the number of the others.
	New map[backend.ID]int
	Old int
	// Daemons is the number of daemons of the fleet.
	Daemons int
}

// Written reports how a WriteState ended. Done is false unless the store has the state; then Revision is the object's.
type Written struct {
	Order    order.Key
	State    order.State
	Done     bool
	Revision uint64
}

// Tick lets the steps advance.
type Tick struct{}

// WriteState asks to write the state of an order on the condition that it has not changed. Written must follow.
type WriteState struct {
	Order order.Order
	State order.State
}

// StepChanged reports the next step of an order.
type StepChanged struct {
	Order order.Order
	Step  Step
	// Reason says why the version is bad.
	Reason evidence.Reason
	// Sent and SentToNew are the numbers of requests sent to all backend servers and to the new version's.
	Sent, SentToNew int
}

// Grant is what a daemon may do until it has a later grant.
type Grant struct {
	State order.State
	// Share is the share of its requests for the service that may go to the new version, for the time For.
	Share float64
	For   time.Duration
	// Focus are the backend servers that get FocusShare of these; nil if all get the same.
	Focus      []backend.ID
	FocusShare float64
	// Next is the time after which the daemon reports again.
	Next time.Duration
}

// Conductor is the state of the orders that one daemon conducts. It is not safe for concurrent use.
type Conductor struct {
	bounds Bounds
	states map[order.Key]*state
}

// state is the state of one order.
type state struct {
	order order.Order
	// readAt is when the order had its age.
	readAt    time.Time
	step      Step
	stepSince time.Time
	evidence  *evidence.Evidence
	fleet     Fleet
	// rate is the number of requests a second that are sent to all backend servers.
	rate float64
	// arrived counts the requests since each backend server's first report; counted is its value at countedAt.
	arrived, counted int
	countedAt        time.Time
	share            float64
	// answersBefore is the number of the new version's answers when the step began.
	answersBefore int
	// heard holds the last report of each backend server.
	heard     map[backend.ID]heard
	writing   bool
	nextWrite time.Time
	reason    evidence.Reason
}

var _ decision.System = (*Conductor)(nil)

// New returns a conductor without orders.
func New(b Bounds) *Conductor { return &Conductor{bounds: b, states: map[order.Key]*state{}} }

// Update applies one event of this package and returns the resulting actions. It ignores events of other types.
func (c *Conductor) Update(now time.Time, event decision.Event) []decision.Action {
	switch e := event.(type) {
	case Orders:
		c.setOrders(now, e.List)
	case Report:
		if s := c.states[e.Order]; s != nil {
			version := evidence.OldVersion
			if e.Version == s.order.Target {
				version = evidence.NewVersion
			}
			s.evidence.Add(now, e.Counts, version)
			s.hear(now, e.Counts)
			return s.judge(now)
		}
	case Told:
		if s := c.states[e.Order]; s != nil && e.State == order.RolledBack && s.step != RollingBack && !s.order.State.Final() {
			return s.enter(now, RollingBack)
		}
	case Fleet:
		if s := c.states[e.Order]; s != nil {
			s.fleet = e
		}
	case Written:
		if s := c.states[e.Order]; s != nil {
			s.written(e)
		}
	case Tick:
		return c.tick(now)
	}
	return nil
}

// Grant returns what a daemon may do for an order; ok is false if this daemon doesn't conduct it.
func (c *Conductor) Grant(now time.Time, key order.Key) (g Grant, ok bool) {
	s := c.states[key]
	if s == nil {
		return Grant{}, false
	}
	g = Grant{
		State: s.order.State, Share: s.share, For: grantTime,
		Next: ReportInterval + time.Duration(s.fleet.Daemons)*perDaemonInterval,
	}
	if s.step == RollingBack && !s.order.State.Final() {
		g.State, g.Share = order.RolledBack, 0
	}
	if s.step == Widening || s.step == Shifting || s.step == Completing {
		g.For, g.Next = shiftGrantTime, stepReportInterval+time.Duration(s.fleet.Daemons)*perDaemonInterval
	}
	g.For = max(g.For, 2*g.Next)
	if s.step == Trial {
		g.Focus, g.FocusShare = s.focus(now), focusShare
	}
	return g, true
}

// Step returns the step of an order; ok is false if this daemon doesn't conduct it.
func (c *Conductor) Step(key order.Key) (step Step, ok bool) {
	s := c.states[key]
	if s == nil {
		return Waiting, false
	}
	return s.step, true
}

// setOrders replaces the orders.
func (c *Conductor) setOrders(now time.Time, list []order.Order) {
	next := map[order.Key]*state{}
	for _, o := range list {
		s := c.states[o.Key()]
		if s == nil {
			s = &state{evidence: evidence.New(), stepSince: now, heard: map[backend.ID]heard{}}
		}
		if o.Revision < s.order.Revision {
			// The list was read before the last write.
			o.Revision, o.State = s.order.Revision, s.order.State
		}
		if s.order.Revision != o.Revision {
			s.nextWrite = now
		}
		s.order, s.readAt = o, now
		next[o.Key()] = s
	}
	c.states = next
}

// tick advances all orders, by name.
func (c *Conductor) tick(now time.Time) []decision.Action {
	all := make([]*state, 0, len(c.states))
	for _, s := range c.states {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *state) int { return cmp.Compare(a.order.Name, b.order.Name) })
	var actions []decision.Action
	for _, s := range all {
		actions = append(actions, s.advance(now, c.bounds)...)
	}
	return actions
}

// heard is a report of a backend server.
type heard struct {
	at          time.Time
	incarnation uint64
	since       int64
	sent        uint32
}

// hear records a report. What a backend server's first one counts is not new.
func (s *state) hear(now time.Time, r evidence.Report) {
	last, known := s.heard[r.Server]
	next := heard{at: now, incarnation: r.Incarnation, since: r.Since, sent: r.Sent}
	if known && last.incarnation == r.Incarnation && last.since == r.Since {
		// A report that comes after a later one counts nothing.
		next.sent = max(r.Sent, last.sent)
		s.arrived += int(next.sent - last.sent)
	}
	s.heard[r.Server] = next
}

// age returns the time since the order.
func (s *state) age(now time.Time) time.Duration { return s.order.Age + now.Sub(s.readAt) }

// judge rolls the order back if the evidence is bad. A completion that may be stored is not undone.
func (s *state) judge(now time.Time) []decision.Action {
	if s.order.State.Final() || s.step == RollingBack || s.step == Completing && s.writing {
		return nil
	}
	if s.reason = s.evidence.Verdict(); s.reason == evidence.None {
		return nil
	}
	return s.enter(now, RollingBack)
}

// enter begins a step.
func (s *state) enter(now time.Time, step Step) []decision.Action {
	s.step, s.stepSince = step, now
	_, s.answersBefore = s.evidence.Answers()
	if step == RollingBack {
		s.share, s.nextWrite = 0, now
	}
	all, toNew := s.evidence.Sent()
	return []decision.Action{StepChanged{Order: s.order, Step: step, Reason: s.reason, Sent: all, SentToNew: toNew}}
}

// advance takes the next step if it is time, and writes the state that the store lacks.
func (s *state) advance(now time.Time, b Bounds) []decision.Action {
	if s.order.State.Final() {
		return nil
	}
	s.measure(now)
	actions := s.judge(now)
	if next, due := s.next(now); due {
		actions = append(actions, s.enter(now, next)...)
	}
	actions = append(actions, s.write(now)...)
	s.share = s.shareNow(now, b)
	return actions
}

// measure updates the rate of requests.
func (s *state) measure(now time.Time) {
	if s.countedAt.IsZero() {
		s.counted, s.countedAt = s.arrived, now
		return
	}
	passed := now.Sub(s.countedAt)
	if passed <= 0 {
		return
	}
	weight := 1 - math.Exp(-float64(passed)/float64(rateTime))
	s.rate += weight * (float64(s.arrived-s.counted)/passed.Seconds() - s.rate)
	s.counted, s.countedAt = s.arrived, now
}

// next returns the step that is due.
func (s *state) next(now time.Time) (Step, bool) {
	d := s.order.Duration
	switch s.step {
	case Waiting:
		return Trial, len(s.fleet.New) > 0
	case Trial:
		if len(s.fleet.New) == 0 {
			return Waiting, true
		}
		return Widening, s.age(now) >= time.Duration(widenAge*float64(d)) && s.informed(now) && s.proven() && s.hasRoom()
	case Widening:
		if s.evidence.Doubtful() || !s.hasRoom() {
			return Trial, true
		}
		least, in := min(widenTime, time.Duration(widenPart*float64(d))), now.Sub(s.stepSince)
		_, ofNew := s.evidence.Answers()
		return Shifting, in >= least && (ofNew-s.answersBefore >= maxAnswers/2 || s.share == 0) || in >= 2*least
	case Shifting:
		if s.evidence.Doubtful() || !s.hasRoom() {
			return Trial, true
		}
		least, in := min(shiftTime, time.Duration(shiftPart*float64(d))), now.Sub(s.stepSince)
		_, ofNew := s.evidence.Answers()
		return Completing, in >= least && ofNew-s.answersBefore >= 2*maxAnswers || s.share == 0 && in >= 2*least || in >= 3*least
	case Completing:
		return Trial, !s.writing && (s.evidence.Doubtful() || !s.hasRoom())
	case RollingBack:
	}
	return s.step, false
}

// informed reports whether most of the service's backend servers have reported lately. A conductor that only some
// daemons report to must not complete an order.
func (s *state) informed(now time.Time) bool {
	lately := 0
	for _, h := range s.heard {
		if now.Sub(h.at) <= heardTime+2*time.Duration(s.fleet.Daemons)*perDaemonInterval {
			lately++
		}
	}
	return 2*lately > len(s.fleet.New)+s.fleet.Old
}

// proven reports whether the new version has given enough answers, and there is no doubt about it.
func (s *state) proven() bool {
	ofOld, ofNew := s.evidence.Answers()
	wanted := min(max(int(wantedPart*float64(ofOld)), minAnswers), maxAnswers)
	return ofNew >= wanted && s.evidence.Covers(routeAnswers, minAnswers) && !s.evidence.Doubtful()
}

// hasRoom reports whether the new version's backend servers have slots for all requests.
func (s *state) hasRoom() bool {
	slots := 0
	for _, n := range s.fleet.New {
		slots += max(n, 1)
	}
	return slots > 0 && s.rate*s.evidence.OldServiceTime().Seconds() <= maxUse*float64(slots)
}

// shareNow returns the share of requests that the new version may get. It is zero while it has got as many as it may.
func (s *state) shareNow(now time.Time, b Bounds) float64 {
	all, toNew := s.evidence.Sent()
	left := max(0, s.order.Duration-s.age(now)).Seconds()
	passed := min(1, float64(s.age(now))/(widenAge*float64(s.order.Duration)))
	allowed := trialPart*b.Share*float64(all) + trialSlackPart*float64(b.Slack)*passed
	wide := stepsPart*b.Share*(float64(all)+forecastPart*s.rate*left) + stepsSlackPart*float64(b.Slack)
	switch s.step {
	case Trial:
		if float64(toNew) > allowed {
			return 0
		}
		return min(1, max(trialPart*b.Share, s.shareForAnswers()))
	case Widening:
		if float64(toNew) > wide {
			return 0
		}
		return max(widenShare, trialPart*b.Share)
	case Shifting:
		if float64(toNew) > wide {
			return 0
		}
		return 1
	case Completing:
		// The old version's backend servers stop once the state is written, which takes long only if the store is away.
		if s.writing && now.Sub(s.stepSince) < completingTime && float64(toNew) <= wide {
			return 1
		}
		if float64(toNew) > allowed {
			return 0
		}
		return trialPart * b.Share
	case Waiting, RollingBack:
	}
	return 0
}

// shareForAnswers returns the share with which the new version gives maxAnswers in a part of the order's time.
func (s *state) shareForAnswers() float64 {
	if s.rate <= 0 {
		return 0
	}
	return maxAnswers / (s.rate * widenAge * s.order.Duration.Seconds() / 2)
}

// focus returns the new version's backend servers that get more requests than the others during the trial: as many
// as together have the trial's part of the old version's load. They take turns, so that a fault under load shows on
// several of them.
func (s *state) focus(now time.Time) []backend.ID {
	ids := make([]backend.ID, 0, len(s.fleet.New))
	for id := range s.fleet.New {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	n := min(max(1, int(math.Round(s.share*focusShare*float64(s.fleet.Old)))), len(ids))
	focus := make([]backend.ID, 0, n)
	for i := range n {
		focus = append(focus, ids[(int(s.age(now)/focusTime)*n+i)%len(ids)])
	}
	return focus
}

// write returns the write of the state that the store lacks, if it is due.
func (s *state) write(now time.Time) []decision.Action {
	wanted := order.Running
	switch s.step {
	case Completing:
		wanted = order.Completed
	case RollingBack:
		wanted = order.RolledBack
	case Waiting, Trial, Widening, Shifting:
	}
	if s.writing || now.Before(s.nextWrite) || s.order.State == wanted {
		return nil
	}
	s.writing, s.nextWrite = true, now.Add(writeBackoff)
	return []decision.Action{WriteState{Order: s.order, State: wanted}}
}

// written records how a write ended.
func (s *state) written(w Written) {
	s.writing = false
	if w.Done && w.Revision > s.order.Revision {
		s.order.State, s.order.Revision = w.State, w.Revision
	}
}
