package scenario

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/admission"
	"berylpass/choice/gate"
	"berylpass/choice/picker"
	"berylpass/choice/verdict"
	"berylpass/config/class"
	"berylpass/config/service"
	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// start is the beginning of virtual time.
var start = time.Unix(1_800_000_000, 0)

// event is a step of the simulation. Events at the same time run in the order of seq.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

// events is a min-heap by time and seq; see container/heap.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// settings are the parameters of a world.
type settings struct {
	seed      uint64
	ingresses int
	// services is the number of backend servers by service.
	services map[string]int
	// slots is the number of slots of each backend server.
	slots int
	ramp  time.Duration
	// rate is the number of requests a second for each backend server.
	rate float64
	// median and sigma are the parameters of the log-normal service times; see serviceTime.
	median time.Duration
	sigma  float64
	// maxNoticeDelay bounds the delay of the gates' notices; zero turns the notices off.
	maxNoticeDelay time.Duration
	deadline       time.Duration
	organisations  []string
	// fifo replaces the gates by FIFO queues, without reports.
	fifo bool
	// remoteServers is the number of backend servers of each service in another data centre. If it is
	// not zero, pickers prefer local backend servers and requests may run only once.
	remoteServers int
	// datacentres is the number of data centres over which ingresses and backend servers are spread, 1 if zero. If there
	// are several, pickers prefer local backend servers, and onceShare of the calls may run only once.
	datacentres int
	onceShare   float64
	// promptAttempts is the number of first attempts of a request that are refused instead of queued
	// if no slot is free.
	promptAttempts int
	urgencySettings
}

// world simulates ingresses with their pickers, and backend servers with their gates.
type world struct {
	settings
	now            time.Time
	seq            uint64
	queue          events
	random         *rand.Rand
	pickers        []*picker.Picker
	servers        map[backend.ID]*model
	names          []backend.ID
	calls          map[id.ID]*call
	attempts       uint64
	reportsFetched int
	// cutPaths maps an ingress to the backend server whose answers to it are lost.
	cutPaths map[int]backend.ID
	// actions is called for each action of an ingress's picker.
	actions func(ingress int, a decision.Action)
	// doors are the admission of each ingress; empty if settings.door is not set.
	doors []*admission.Admission
	// arrived is called when a ranked request is sent or comes back.
	arrived func(c *call)
	// madeCalls and failedCalls count the calls of runs.
	madeCalls, failedCalls int
	// answered is called when a call ends for its caller.
	answered func(c *call, v verdict.Verdict)
}

// call is a caller's request. Its id is that of the latest attempt.
type call struct {
	id              id.ID
	ingress         int
	service         string
	class           class.Class
	organisation    string
	sent, arrivedAt time.Time
	expires         time.Time
	tried           []backend.ID
	// runOnce reports whether the call may run only once.
	runOnce bool
	// began is when its latest run began, and remote whether that was in another data centre than its ingress.
	began  time.Time
	remote bool
	urgentCall
}

// hopDelay is the one-way delay between an ingress and a guard.
const hopDelay = 500 * time.Microsecond

func newWorld(s settings) *world {
	w := &world{settings: s, now: start, random: rand.New(rand.NewPCG(s.seed, 7)),
		servers: make(map[backend.ID]*model), calls: make(map[id.ID]*call), cutPaths: make(map[int]backend.ID)}
	if w.deadline == 0 {
		w.deadline = 10 * time.Second
	}
	if len(w.organisations) == 0 {
		w.organisations = []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	}
	w.actions = func(int, decision.Action) {}
	w.answered = func(*call, verdict.Verdict) {}
	w.arrived = func(*call) {}
	for i := range s.ingresses {
		var options []picker.Option
		if s.remoteServers > 0 || s.datacentres > 1 {
			options = append(options, picker.WithLocalFirst())
		}
		w.pickers = append(w.pickers, picker.New(s.seed+uint64(i), options...))
		if s.door {
			w.doors = append(w.doors, admission.New())
		}
	}
	for _, name := range sortedKeys(s.services) {
		for n := range s.services[name] {
			w.addServer(name, n)
		}
	}
	for i := range w.pickers {
		w.every(100*time.Millisecond, w.jitter(100*time.Millisecond), func() {
			for _, a := range w.pickers[i].Update(w.now, picker.Tick{}) {
				if ask, ok := a.(picker.RequestReport); ok {
					w.ask(i, ask.Backend)
				}
				w.actions(i, a)
			}
		})
	}
	return w
}

func (w *world) addServer(name string, n int) {
	key := backend.ID(fmt.Sprintf("%s-%02d", name, n))
	b := backend.New(key, name, member.ID("vm-"+string(key))).WithSlots(w.slots).WithIncarnation(1)
	sv := service.New(name).WithRamp(w.ramp)
	m := newModel(w, b)
	m.number = n
	w.servers[key] = m
	w.names = append(w.names, key)
	m.gate.Update(w.now, gate.ServiceUpdated{Service: sv})
	m.gate.Update(w.now, gate.BackendUpdated{Backend: b, InService: true})
	for i, p := range w.pickers {
		p.Update(w.now, picker.ServiceUpdated{Service: sv})
		same := n >= w.remoteServers
		if w.datacentres > 1 {
			same = n%w.datacentres == i%w.datacentres
		}
		p.Update(w.now, picker.BackendUpdated{Backend: b, Datacentre: "dc", SameDatacentre: same, InService: true})
	}
	w.every(50*time.Millisecond, w.jitter(50*time.Millisecond), func() {
		if !w.now.Before(m.frozenUntil) {
			m.handle(m.gate.Update(w.now, gate.Tick{}))
		}
	})
}

// after schedules run after a delay.
func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, run: run})
}

// every schedules run after first and then at each interval.
func (w *world) every(interval, first time.Duration, run func()) {
	w.after(first, func() {
		run()
		w.every(interval, interval, run)
	})
}

// run advances the virtual time by d and runs the events that are due.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// jitter draws a uniform time from 0 to d, without d.
func (w *world) jitter(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

// exp draws the exponentially distributed time between two events at the given rate a second.
func (w *world) exp(rate float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
}

// startLoad starts Poisson arrivals at settings.rate for every backend server of each service, spread
// over all ingresses and organisations.
func (w *world) startLoad() {
	for _, name := range sortedKeys(w.services) {
		w.startArrivals(name, "", w.rate*float64(w.services[name]))
	}
}

// startArrivals starts Poisson arrivals at rate requests a second for a service, from the given
// organisation or, if that is empty, from random ones.
func (w *world) startArrivals(name, organisation string, rate float64) {
	var next func()
	next = func() {
		o := organisation
		if o == "" {
			o = w.organisations[w.random.IntN(len(w.organisations))]
		}
		w.submit(name, o, class.Transfer)
		w.after(w.exp(rate), next)
	}
	w.after(w.exp(rate), next)
}

// submit sends a new call from a random ingress.
func (w *world) submit(name, organisation string, c class.Class) {
	r := &call{ingress: w.random.IntN(len(w.pickers)), service: name, class: c, organisation: organisation,
		arrivedAt: w.now, expires: w.now.Add(w.deadline), runOnce: w.remoteServers > 0}
	if w.datacentres > 1 {
		r.runOnce = w.random.Float64() < w.onceShare
	}
	w.attempt(r)
}

// attempt sends a call to the backend server that its ingress picks.
func (w *world) attempt(r *call) {
	if len(r.tried) == 0 && !w.admitted(r) {
		w.end(r, verdict.Shed)
		return
	}
	p := w.pickers[r.ingress]
	chosen, err := p.PickFor(w.now, picker.Request{Service: r.service, Exclude: r.tried, MayBeTrial: !r.runOnce, RunOnce: r.runOnce})
	if err != nil {
		w.end(r, verdict.Shed)
		return
	}
	w.attempts++
	r.id = id.New("ingress", 1, w.attempts)
	r.sent = w.now
	r.tried = append(r.tried, chosen)
	w.calls[r.id] = r
	attempt := r.id
	p.Update(w.now, picker.AttemptStarted{Attempt: r.id, Backend: chosen, Class: r.class})
	w.after(hopDelay, func() { w.servers[chosen].arrive(r) })
	w.after(r.expires.Sub(w.now), func() { w.timeout(r, attempt, chosen) })
}

// timeout ends a call whose attempt has no answer at the deadline.
func (w *world) timeout(r *call, attempt id.ID, chosen backend.ID) {
	if w.calls[attempt] == nil {
		return
	}
	delete(w.calls, attempt)
	w.observe(r, attempt, chosen, verdict.Timeout, false)
	w.servers[chosen].cancel(attempt)
	w.end(r, verdict.Timeout)
}

// answer sends a backend server's answer to the ingress, which retries a shed call up to twice.
func (w *world) answer(r *call, from backend.ID, v verdict.Verdict) {
	attempt := r.id
	if w.cutPaths[r.ingress] == from {
		return
	}
	w.after(hopDelay, func() {
		if w.calls[attempt] == nil {
			return
		}
		delete(w.calls, attempt)
		w.observe(r, attempt, from, v, true)
		if v == verdict.Shed && len(r.tried) < max(3, w.promptAttempts+1, w.maxAttempts) {
			w.attempt(r)
			return
		}
		w.end(r, v)
	})
}

// observe passes the outcome of an attempt to the ingress's picker, with the gate's report if reported is
// set.
func (w *world) observe(r *call, attempt id.ID, from backend.ID, v verdict.Verdict, reported bool) {
	o := picker.AttemptEnded{Attempt: attempt, Backend: from, Class: r.class, Took: w.now.Sub(r.sent), Verdict: v}
	if reported && !w.fifo && !w.servers[from].dead && (w.lostReports == 0 || w.random.Float64() >= w.lostReports) {
		w.hearRoom(r, from)
		rep, _ := w.servers[from].gate.Report(w.now, from)
		encoded, _ := rep.MarshalBinary()
		_ = rep.UnmarshalBinary(encoded)
		o.Report = &rep
	}
	for _, a := range w.pickers[r.ingress].Update(w.now, o) {
		w.actions(r.ingress, a)
	}
}

// ask fetches a guard's report for an ingress, or lets the call time out if the path is cut.
func (w *world) ask(ingress int, of backend.ID) {
	w.reportsFetched++
	o := picker.AttemptEnded{Backend: of, Verdict: verdict.PathFailure}
	delay := picker.ReportTimeout
	if at, ok := w.cutPaths[ingress]; (!ok || at != of) && !w.servers[of].silent() {
		r, _ := w.servers[of].gate.Report(w.now, of)
		o.Verdict, o.Report, delay = verdict.Shed, &r, 2*hopDelay
	}
	w.after(delay, func() {
		for _, a := range w.pickers[ingress].Update(w.now, o) {
			w.actions(ingress, a)
		}
	})
}

// broadcast sends a gate's notice to every ingress, with random delays up to maxNoticeDelay.
func (w *world) broadcast(n gate.Notice) {
	if w.maxNoticeDelay == 0 {
		return
	}
	for _, p := range w.pickers {
		w.after(w.jitter(w.maxNoticeDelay), func() {
			p.Update(w.now, picker.ReportReceived{Backend: n.Backend, Report: n.Report})
		})
	}
}

// serviceTime draws a log-normal service time. One in a thousand is prolonged by a Pareto-distributed
// stall. It is at most one minute.
func (w *world) serviceTime() time.Duration {
	d := float64(w.median) * math.Exp(w.sigma*w.random.NormFloat64())
	if w.random.Float64() < 0.001 {
		d += float64(w.median) * 10 * math.Pow(w.random.Float64(), -1/1.5)
	}
	return min(time.Duration(d), time.Minute)
}

// sortedKeys returns the keys of m in order.
func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	for i := range keys {
		for j := i; j > 0 && keys[j] < keys[j-1]; j-- {
			keys[j], keys[j-1] = keys[j-1], keys[j]
		}
	}
	return keys
}
