package scenario

import (
	"math"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/gate"
	"berylpass/choice/verdict"
	"berylpass/decision"
	"berylpass/fleet/backend"
)

// fault is how a backend server misbehaves.
type fault struct {
	// slowFactor multiplies the service times; zero for no change.
	slowFactor float64
	// errorShare and hangShare are the fractions of requests that fail and that are never answered.
	errorShare, hangShare float64
	// refuseShare is the fraction of requests that the backend server itself refuses, whatever its load.
	refuseShare float64
	// stuck means that no request is completed, not even those that already run.
	stuck bool
}

// model simulates a backend server with its gate.
type model struct {
	w       *world
	backend backend.Backend
	// number is its number within its service.
	number  int
	gate    *gate.Gate
	fault   fault
	running map[id.ID]*call
	// fifoQueue holds the waiting requests if settings.fifo is set.
	fifoQueue []*call
	// stuckAttempts are the attempts that would have finished while the backend server was stuck.
	stuckAttempts []id.ID
	// warmSince is when a cold backend server began to warm up.
	warmSince time.Time
	// warmUp is how long it takes to warm up; zero if it is always warm.
	warmUp time.Duration
	// crashes counts the crashes from overload.
	crashes    int
	downUntil  time.Time
	maxRunning int
	completed  int
	// arrivals counts the requests sent to it.
	arrivals int
	urgentModel
}

func newModel(w *world, b backend.Backend) *model {
	return &model{w: w, backend: b, gate: gate.New(w.gateOptions()...), running: make(map[id.ID]*call), warmSince: w.now}
}

// arrive handles a request that arrives at the guard.
func (m *model) arrive(r *call) {
	if m.frozen(func() { m.arrive(r) }) || m.lost(r) {
		return
	}
	m.arrivals++
	if m.w.fifo {
		m.fifoQueue = append(m.fifoQueue, r)
		m.runQueued()
		return
	}
	m.handle(m.gate.Update(m.w.now, gate.Arrive{ID: r.id, Backend: m.backend.ID,
		Organisation: r.organisation, Class: r.class, Rank: r.rank, Target: r.target, Expires: r.expires, Prompt: len(r.tried) <= m.w.promptAttempts}))
}

// runQueued runs requests of the FIFO queue while slots are free.
func (m *model) runQueued() {
	for len(m.fifoQueue) > 0 && len(m.running) < m.backend.Slots {
		r := m.fifoQueue[0]
		m.fifoQueue = m.fifoQueue[1:]
		if m.w.calls[r.id] != nil {
			m.begin(r)
		}
	}
}

// cancel removes an attempt from the gate's queue, or stops it if it runs.
func (m *model) cancel(attempt id.ID) {
	m.handle(m.gate.Update(m.w.now, gate.Withdraw{ID: attempt}))
	m.finish(attempt, verdict.Cancelled)
}

// handle carries out the actions that the gate returned.
func (m *model) handle(actions []decision.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case gate.Run:
			if r := m.w.calls[a.ID]; r != nil {
				m.begin(r)
			} else {
				m.handle(m.gate.Update(m.w.now, gate.Finished{ID: a.ID, Verdict: verdict.Cancelled}))
			}
		case gate.Shed:
			if r := m.w.calls[a.ID]; r != nil {
				m.w.answer(r, m.backend.ID, verdict.Shed)
			}
		case gate.Notice:
			m.w.broadcast(a)
		}
	}
}

// sustainableRequests returns how many concurrent requests the backend server can run now without
// slowing down. It is unlimited for one that is always warm.
func (m *model) sustainableRequests() float64 {
	if m.warmUp == 0 {
		return math.Inf(1)
	}
	warm := min(float64(m.w.now.Sub(m.warmSince))/float64(m.warmUp), 1)
	return 1 + float64(m.backend.Slots-1)*warm
}

// begin runs a request. Above the sustainable number of requests, service times grow with the
// square of the overload; at twice that number the backend server crashes.
func (m *model) begin(r *call) {
	attempt := r.id
	if m.w.now.Before(m.downUntil) {
		m.w.after(time.Millisecond, func() { m.finish(attempt, verdict.Reset) })
		m.running[attempt] = r
		return
	}
	m.running[attempt] = r
	r.began, r.remote = m.w.now, m.w.datacentres > 1 && m.number%m.w.datacentres != r.ingress%m.w.datacentres
	m.maxRunning = max(m.maxRunning, len(m.running))
	took := r.work(m.w.serviceTime())
	if len(m.w.speeds) > 0 {
		took = time.Duration(float64(took) * m.w.speeds[m.number%len(m.w.speeds)])
	}
	if m.fault.slowFactor > 0 {
		took = time.Duration(float64(took) * m.fault.slowFactor)
	}
	overload := float64(len(m.running)) / m.sustainableRequests()
	if overload > 1 {
		took = time.Duration(float64(took) * overload * overload)
	}
	if overload >= 2 {
		m.crash()
		return
	}
	if m.fault.hangShare > 0 && m.w.random.Float64() < m.fault.hangShare {
		return
	}
	if m.fault.refuseShare > 0 && m.w.random.Float64() < m.fault.refuseShare {
		m.w.after(time.Millisecond, func() { m.finish(attempt, verdict.Shed) })
		return
	}
	v := verdict.OK
	if m.w.random.Float64() < m.fault.errorShare {
		v, took = verdict.Error, took/2
	}
	m.w.after(took, func() {
		if m.fault.stuck {
			m.stuckAttempts = append(m.stuckAttempts, attempt)
			return
		}
		m.callThenFinish(r, attempt, v)
	})
}

// crash breaks all connections. The backend server is down for a second and cold afterwards.
func (m *model) crash() {
	m.crashes++
	m.downUntil = m.w.now.Add(time.Second)
	m.warmSince = m.downUntil
	broken := make([]id.ID, 0, len(m.running))
	for attempt := range m.running {
		broken = append(broken, attempt)
	}
	for _, attempt := range sortIDs(broken) {
		m.w.after(0, func() { m.finish(attempt, verdict.Reset) })
	}
}

// finish ends a running attempt with a verdict. It does nothing if the attempt does not run.
func (m *model) finish(attempt id.ID, v verdict.Verdict) {
	r := m.running[attempt]
	if r == nil || v != verdict.Cancelled && m.frozen(func() { m.finish(attempt, v) }) {
		return
	}
	delete(m.running, attempt)
	m.w.hedges.ran(r, m.w.now)
	if v == verdict.OK {
		m.completed++
	}
	if m.w.fifo {
		m.runQueued()
	} else {
		m.handle(m.gate.Update(m.w.now, gate.Finished{ID: attempt, Verdict: v}))
	}
	if v != verdict.Cancelled && r.id == attempt {
		m.w.answer(r, m.backend.ID, v)
	}
}

// sortIDs sorts IDs by request number in place and returns them.
func sortIDs(ids []id.ID) []id.ID {
	for i := range ids {
		for j := i; j > 0 && ids[j].Request < ids[j-1].Request; j-- {
			ids[j], ids[j-1] = ids[j-1], ids[j]
		}
	}
	return ids
}

// repair ends all faults and completes the stuck attempts.
func (m *model) repair() {
	m.fault = fault{}
	for _, attempt := range m.stuckAttempts {
		m.finish(attempt, verdict.OK)
	}
	m.stuckAttempts = nil
}
