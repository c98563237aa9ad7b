package scenario

import (
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/admission"
	"berylpass/choice/gate"
	"berylpass/choice/picker"
	"berylpass/choice/urgency"
	"berylpass/choice/verdict"
	"berylpass/config/class"
	"berylpass/config/service"
	"berylpass/fleet/backend"
)

// urgencySettings are the parameters of a world whose requests have ranks.
type urgencySettings struct {
	// precedence makes the gates order requests by rank, door makes the ingresses refuse what can't be answered.
	precedence, door bool
	// target is the time within which an answer is good.
	target time.Duration
	// lostReports is the share of reports that are lost.
	lostReports float64
	// callShare is the share of requests whose run makes a call to the same service at its end; callWork is the work
	// of a call as a share of that of a request.
	callShare, callWork float64
	// maxAttempts is the number of attempts of a request that is refused, if it is more than others make.
	maxAttempts int
	// returns is how often a refused request comes back.
	returns int
}

// urgentCall is what a call of such a world has besides.
type urgentCall struct {
	rank   urgency.Rank
	target time.Time
	// workShare, if not zero, is the work of the call as a share of that of other calls.
	workShare float64
	// done, unless nil, is called when the call ends.
	done func(v verdict.Verdict)
	// returned counts how often it came back, and first is when it was first sent.
	returned int
	first    time.Time
	// advice is when the caller of a refused call should come back; zero if it was told nothing.
	advice time.Duration
}

// urgentModel is what a backend server of such a world has besides.
type urgentModel struct {
	// dead means that its guard's VM is lost; frozenUntil is until when its guard is paused.
	dead        bool
	frozenUntil time.Time
}

func (c *call) work(d time.Duration) time.Duration {
	if c.workShare == 0 {
		return d
	}
	return time.Duration(float64(d) * c.workShare)
}

func (w *world) gateOptions() []gate.Option {
	if w.precedence {
		return []gate.Option{gate.WithPrecedence()}
	}
	return nil
}

// end ends a call for its caller, which comes back with a refused one as often as settings.returns allows.
func (w *world) end(r *call, v verdict.Verdict) {
	if r.done != nil {
		r.done(v)
		return
	}
	if v == verdict.Shed && r.returned < w.returns {
		if r.advice == 0 {
			r.advice = admission.RetryAfter(0, r.expires.Sub(w.now), w.random.Float64())
		}
		if w.now.Add(r.advice).Before(r.expires) {
			w.comeBack(r)
			return
		}
	}
	w.answered(r, v)
}

// submitRanked sends a new request of a rank from a random ingress.
func (w *world) submitRanked(name string, of urgency.Rank) {
	w.sendRanked(&call{ingress: w.random.IntN(len(w.pickers)), service: name, class: class.Transfer, organisation: of.Owner,
		arrivedAt: w.now, expires: w.now.Add(w.deadline), urgentCall: urgentCall{rank: of, first: w.now}})
}

func (w *world) sendRanked(r *call) {
	if w.target > 0 {
		r.target = r.first.Add(w.target)
	}
	w.arrived(r)
	w.attempt(r)
}

// startRanked starts Poisson arrivals of a rank at rate requests a second until the time until.
func (w *world) startRanked(name string, of urgency.Rank, rate float64, until time.Time) {
	var next func()
	next = func() {
		if w.now.After(until) {
			return
		}
		w.submitRanked(name, of)
		w.after(w.exp(rate), next)
	}
	w.after(w.exp(rate), next)
}

// admitted asks the ingress whether a call may go on.
func (w *world) admitted(r *call) bool {
	if !w.door {
		return true
	}
	for _, action := range w.doors[r.ingress].Update(w.now, admission.Arrived{Service: r.service, Level: r.rank.Level, Organisation: r.rank.Owner,
		Left: r.expires.Sub(w.now), Random: w.random.Float64(), Spread: w.random.Float64()}) {
		if refused, ok := action.(admission.Refused); ok {
			r.advice = refused.RetryAfter
			return false
		}
	}
	return true
}

// comeBack sends a refused call again when its caller was told to, as a new one.
func (w *world) comeBack(r *call) {
	again := &call{ingress: w.random.IntN(len(w.pickers)), service: r.service, class: r.class, organisation: r.organisation,
		arrivedAt: w.now.Add(r.advice), expires: r.expires, urgentCall: urgentCall{rank: r.rank, first: r.first, returned: r.returned + 1}}
	w.after(r.advice, func() { w.sendRanked(again) })
}

// hearRoom passes the room at a backend server to the ingress of a call.
func (w *world) hearRoom(r *call, from backend.ID) {
	if !w.door {
		return
	}
	if told, ok := w.servers[from].gate.Room(w.now, from); ok {
		data, _ := told.MarshalBinary()
		_ = told.UnmarshalBinary(data)
		w.doors[r.ingress].Update(w.now, admission.RoomHeard{Service: r.service, Backend: from, Room: told})
	}
}

// frozen reports whether the guard is paused, and if so schedules run for when it goes on.
func (m *model) frozen(run func()) bool {
	if !m.w.now.Before(m.frozenUntil) {
		return false
	}
	m.w.after(m.frozenUntil.Sub(m.w.now), run)
	return true
}

// silent reports whether the guard answers nothing now.
func (m *model) silent() bool { return m.dead || m.w.now.Before(m.frozenUntil) }

// lost refuses a call without a report if the VM is lost: the connection fails.
func (m *model) lost(r *call) bool {
	if m.dead {
		m.w.answer(r, m.backend.ID, verdict.Shed)
	}
	return m.dead
}

// die loses the VM: what runs there is lost, and the ingresses learn of it after a second.
func (m *model) die() {
	m.dead = true
	broken := make([]id.ID, 0, len(m.running))
	for attempt := range m.running {
		broken = append(broken, attempt)
	}
	for _, attempt := range sortIDs(broken) {
		m.finish(attempt, verdict.Reset)
	}
	m.handle(m.gate.Update(m.w.now, gate.BackendRemoved{ID: m.backend.ID}))
	m.w.after(time.Second, func() {
		for _, p := range m.w.pickers {
			p.Update(m.w.now, picker.BackendRemoved{ID: m.backend.ID})
		}
	})
}

// restart replaces the guard by a new one without any memory; what it ran or queued is lost.
func (m *model) restart() {
	m.dead = true
	broken := make([]id.ID, 0, len(m.running))
	for attempt := range m.running {
		broken = append(broken, attempt)
	}
	for _, attempt := range sortIDs(broken) {
		m.finish(attempt, verdict.Reset)
	}
	m.handle(m.gate.Update(m.w.now, gate.BackendRemoved{ID: m.backend.ID}))
	m.w.after(500*time.Millisecond, func() {
		m.dead = false
		m.gate = gate.New(m.w.gateOptions()...)
		m.gate.Update(m.w.now, gate.ServiceUpdated{Service: service.New(m.backend.Service).WithRamp(m.w.ramp)})
		m.gate.Update(m.w.now, gate.BackendUpdated{Backend: m.backend, InService: true})
	})
}

// callThenFinish lets a run that makes a call wait for its answer before it ends; it fails if the call does.
func (m *model) callThenFinish(r *call, attempt id.ID, v verdict.Verdict) {
	if r.rank.Level == urgency.Call || m.w.callShare == 0 || v != verdict.OK || m.running[attempt] == nil || m.w.random.Float64() >= m.w.callShare {
		m.finish(attempt, v)
		return
	}
	made := &call{ingress: m.w.random.IntN(len(m.w.pickers)), service: r.service, class: class.Reservation, organisation: r.organisation,
		arrivedAt: m.w.now, expires: r.expires, urgentCall: urgentCall{rank: r.rank.OfCall(), first: m.w.now, workShare: m.w.callWork}}
	made.done = func(answer verdict.Verdict) {
		if answer == verdict.Shed {
			m.w.failedCalls++
		}
		if answer != verdict.OK {
			answer = verdict.Error
		}
		m.finish(attempt, answer)
	}
	m.w.madeCalls++
	m.w.attempt(made)
}
