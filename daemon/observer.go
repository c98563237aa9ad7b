package daemon

import (
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"berylpass/attempt/id"
	"berylpass/choice/breaker"
	"berylpass/choice/gate"
	"berylpass/choice/picker"
	"berylpass/choice/report"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/guard"
	"berylpass/hop"
	"berylpass/ingress"
	"berylpass/limit/enforcer"
	"berylpass/monitor/burn"
	"berylpass/monitor/event"
)

// shedReasons holds the reasons for which a gate sheds a request that could not finish in time.
var shedReasons = map[string]bool{
	gate.Late.String():      true,
	gate.QueueFull.String(): true,
	gate.Displaced.String(): true,
	gate.Stalled.String():   true,
}

// observer implements the observers of the guard, the chooser and the ingress: it logs
// events and records metrics.
type observer struct {
	logger  zerolog.Logger
	metrics metrics.Registry
	// backendChanged, reportChanged and revisionHeard pass events to other parts of the daemon.
	backendChanged func(b backend.Backend)
	reportChanged  func(id backend.ID, r report.Report)
	revisionHeard  func(revision uint64, from member.ID)
	// serviceOf returns the service of a backend server, empty if unknown.
	serviceOf func(id backend.ID) string
	clock     func() time.Time
	burn      *burn.Recorder

	mu sync.Mutex
	// breakerOpen holds, for each backend server on this VM, whether its breaker is open or half-open.
	breakerOpen map[backend.ID]bool
}

func (o *observer) count(name string) { metrics.GetOrRegisterCounter(name, o.metrics).Inc(1) }

// BackendChanged implements guard.Observer.
func (o *observer) BackendChanged(b backend.Backend) {
	e := event.BackendAnnounced
	switch b.State {
	case backend.Draining:
		e = event.BackendDraining
	case backend.Gone:
		e = event.BackendGone
	case backend.Serving:
	}
	e.Log(&o.logger).Str("backend", string(b.ID)).Str("service", b.Service).Send()
	o.backendChanged(b)
}

// Refused implements guard.Observer.
func (o *observer) Refused(reason string) {
	o.count(`guard-refusals{reason="` + reason + `"}`)
	if reason == gate.Busy.String() {
		// The ingress tries another backend server, and the log line of the attempt has the reason.
		return
	}
	kind := event.GuardRefused
	if shedReasons[reason] {
		kind = event.QueueShed
	}
	kind.Log(&o.logger).Str("reason", reason).Send()
}

// AttemptHandled implements guard.Observer.
func (o *observer) AttemptHandled(s guard.AttemptRecord) {
	metrics.GetOrRegisterTimer("guard-wait", o.metrics).Update(s.Waited)
	if s.Ending == hop.Ran {
		metrics.GetOrRegisterTimer("service-time", o.metrics).Update(s.Took)
	}
	event.AttemptServed.Log(&o.logger).Str("request", s.RequestID).Stringer("attempt", s.Attempt).
		Str("backend", string(s.Backend)).Str("ending", string(s.Ending)).Str("reason", s.Reason).
		Int("status", s.Status).Dur("waited", s.Waited).Dur("took", s.Took).
		Dur("retry-after", s.RetryAfter).Uint64("revision", s.Revision).Send()
}

// AttemptEnded implements ingress.Observer.
func (o *observer) AttemptEnded(s ingress.AttemptRecord) {
	event.AttemptEnded.Log(&o.logger).Str("request", s.RequestID).Stringer("attempt", s.Attempt).
		Str("backend", string(s.Backend)).Str("guard", string(s.Guard)).Stringer("verdict", s.Verdict).
		Str("reason", s.Reason).Int("status", s.Status).Dur("took", s.Took).AnErr("error", s.Err).Send()
}

// LimitRefused implements ingress.Observer.
func (o *observer) LimitRefused(requestID string, r *enforcer.Refusal) {
	o.count("limit-refusals")
	event.LimitRefused.Log(&o.logger).Str("request", requestID).Str("organisation", r.Organisation).
		AnErr("reason", r.Reason).Float64("rate", r.Limit.Rate).Float64("burst", r.Limit.Burst).
		Int("holders", r.Holders).Int("asked", r.HoldersAsked).Float64("own-level", r.OwnLevel).
		Dur("retry-after", r.RetryAfter).Send()
}

// HeartbeatIgnored implements guard.Observer.
func (o *observer) HeartbeatIgnored(b backend.Backend, reason string) {
	o.count(`heartbeats-ignored{reason="` + reason + `"}`)
	event.HeartbeatIgnored.Log(&o.logger).Str("backend", string(b.ID)).Str("service", b.Service).
		Uint64("incarnation", b.Incarnation).Stringer("state", b.State).Str("reason", reason).Send()
}

// LoadChanged implements guard.Observer. It logs only changes of the breaker.
func (o *observer) LoadChanged(id backend.ID, r report.Report) {
	open := r.Breaker != breaker.Closed
	o.mu.Lock()
	changed := o.breakerOpen[id] != open
	o.breakerOpen[id] = open
	o.mu.Unlock()
	if changed {
		kind := event.BreakerClosed
		if open {
			kind = event.BreakerOpened
		}
		kind.Log(&o.logger).Str("backend", string(id)).Int("in-use", r.InUse).Int("queued", r.Queued).
			Float64("error-evidence", r.Errors).Uint16("completed", r.Completed).Send()
	}
	o.reportChanged(id, r)
}

// Ejected implements chooser.Observer.
func (o *observer) Ejected(e picker.Ejected) {
	o.count(`ejections{reason="` + e.Reason.String() + `"}`)
	metrics.GetOrRegisterTimer("detection-time", o.metrics).Update(e.DetectionTime)
	now := o.clock()
	o.burn.Eject(now, string(e.Backend), o.serviceOf(e.Backend), e.Reason.String(), now.Add(-e.DetectionTime))
	kind := event.Ejected
	if e.Reason == picker.BadPath {
		kind = event.PathBroken
	}
	kind.Log(&o.logger).Str("backend", string(e.Backend)).Stringer("reason", e.Reason).Dur("after", e.DetectionTime).Send()
}

// Restored implements chooser.Observer.
func (o *observer) Restored(r picker.Restored) {
	o.count("restorations")
	o.burn.Restore(o.clock(), string(r.Backend))
	kind := event.Restored
	if r.Reason == picker.BadPath {
		kind = event.PathMended
	}
	kind.Log(&o.logger).Str("backend", string(r.Backend)).Dur("out", r.EjectedFor).Send()
}

// Ended implements ingress.Observer.
func (o *observer) Ended(now time.Time, r ingress.RequestRecord) {
	o.count(`requests{outcome="` + string(r.Outcome) + `"}`)
	o.countRefusal(r)
	metrics.GetOrRegisterTimer("request-time", o.metrics).Update(r.Took)
	if r.Outcome == ingress.Unknown {
		event.UnknownOutcome.Log(&o.logger).Str("route", r.Route).Str("reason", r.Reason).Send()
	}
	event.RequestEnded.Log(&o.logger).Str("request", r.RequestID).Stringer("attempt", r.Attempt).
		Str("route", r.Route).Str("service", r.Service).Str("organisation", r.Organisation).
		Str("outcome", string(r.Outcome)).Str("reason", r.Reason).Int("status", r.Status).
		Int("attempts", r.Attempts).Dur("took", r.Took).Dur("retry-after", r.RetryAfter).
		Uint64("revision", r.Revision).Send()
	if r.Route == "" {
		return
	}
	o.burn.Record(now, burn.Sample{
		Route: r.Route, Organisation: r.Organisation, Objective: r.Objective, Outcome: burnOutcome(r), Latency: r.Took,
	})
}

// burnOutcome returns how a request counts against its route's objective. An answer
// counts as late if it came after the route's deadline or has a 5xx status.
func burnOutcome(r ingress.RequestRecord) burn.Outcome {
	late := r.Took > r.Deadline || r.Status >= http.StatusInternalServerError
	switch {
	case r.Outcome == ingress.Answered && late:
		return burn.Late
	case r.Outcome == ingress.Answered:
		return burn.InTime
	case r.Outcome == ingress.Unknown:
		return burn.Unknown
	case r.Reason == ingress.ReasonOverLimit:
		return burn.OverRate
	}
	return burn.NotRun
}

// AnswerDropped implements ingress.Observer.
func (o *observer) AnswerDropped(attempt id.ID) {
	o.count("answers-dropped")
	event.AnswerDropped.Log(&o.logger).Stringer("attempt", attempt).Send()
}

// BudgetEmpty implements ingress.Observer.
func (o *observer) BudgetEmpty(service string) {
	o.count("retry-budget-empty")
	event.RetryBudgetEmpty.Log(&o.logger).Str("service", service).Send()
}

// HeardRevision implements ingress.Observer and guard.Observer.
func (o *observer) HeardRevision(revision uint64, from member.ID) { o.revisionHeard(revision, from) }

func (o *observer) memberChanged(m member.Member) {
	e := event.MemberJoined
	switch m.State {
	case member.Suspect:
		e = event.MemberSuspect
	case member.Dead:
		e = event.MemberDead
	case member.Leaving:
		e = event.MemberLeft
	case member.Serving:
	}
	e.Log(&o.logger).Str("member", string(m.ID)).Stringer("state", m.State).Uint64("incarnation", m.Incarnation).Send()
}
