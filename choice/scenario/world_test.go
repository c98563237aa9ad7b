package scenario

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/admission"
	"berylpass/choice/gate"
	"berylpass/choice/picker"
	"berylpass/choice/spill"
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
	// regions is the number of regions over which the data centres are spread, 1 if zero. If there are several,
	// regionDelay is the one-way delay between two of them, spillRate the bytes a second that may leave each, and
	// regionRates are multiplied with the rate of the requests that begin in each.
	regions     int
	regionDelay time.Duration
	spillRate   float64
	regionRates []float64
	// bodies are the lengths of the calls' bodies, each as likely as the others; all are empty if there are none.
	bodies []int
	// speeds multiply the service times of the backend servers, in turn; all are 1 if there are none.
	speeds []float64
	// thinned is the share of the arrivals that are left out.
	thinned float64
	// reportLoss is the share of the reports that don't arrive.
	reportLoss float64
	// byCompletion makes the pickers place requests by expected completion.
	byCompletion bool
	// promptAttempts is the number of first attempts of a request that are refused instead of queued
	// if no slot is free.
	promptAttempts int
	// hedgeShare is the limit of the extra work of hedges, as a share of the work; 0 for no hedges.
	hedgeShare float64
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
	hedges         hedges
	// cutPaths maps an ingress to the backend server whose answers to it are lost.
	cutPaths map[int]backend.ID
	// linkCut reports whether all messages between regions are lost. crossed holds the bytes of the bodies that were
	// sent to another region, and crossings the number of these attempts, by the region where they began.
	linkCut   bool
	crossed   map[int]int
	crossings map[int]int
	// needless is the number of these attempts at whose start a tenth of the slots in their own region was free.
	needless int
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
	// body is the length of its body.
	body int
	// began is when its latest run began, and remote whether that was in another data centre than its ingress.
	began  time.Time
	remote bool
	// twin is the hedge of the call, or the call that it hedges, while both may answer. hedgeAfter is the time
	// that a hedge is expected to take; zero for a call that is no hedge.
	twin       *call
	hedgeAfter time.Duration
	urgentCall
}

// hopDelay is the one-way delay between an ingress and a guard.
const hopDelay = 500 * time.Microsecond

func newWorld(s settings) *world {
	w := &world{settings: s, now: start, random: rand.New(rand.NewPCG(s.seed, 7)),
		servers: make(map[backend.ID]*model), calls: make(map[id.ID]*call), cutPaths: make(map[int]backend.ID), crossed: make(map[int]int), crossings: make(map[int]int)}
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
		if s.regions > 1 {
			options = append(options, picker.WithRegions(spill.New(s.seed+uint64(i))))
		}
		if s.byCompletion {
			options = append(options, picker.WithExpectedCompletion())
		}
		w.pickers = append(w.pickers, picker.New(s.seed+uint64(i), options...))
		w.pickers[i].SetSpillRate(w.now, s.spillRate*float64(s.regions)/float64(s.ingresses))
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
		p.Update(w.now, picker.BackendUpdated{Backend: b, Datacentre: "dc", SameDatacentre: same, InService: true,
			Region: fmt.Sprint(w.region(n)), SameRegion: w.region(n) == w.region(i)})
	}
	w.every(50*time.Millisecond, w.jitter(50*time.Millisecond), func() {
		if !w.now.Before(m.frozenUntil) {
			m.handle(m.gate.Update(w.now, gate.Tick{}))
		}
	})
}

// region returns the region of the ingress or the backend server with a number.
func (w *world) region(n int) int { return n % max(w.datacentres, 1) % max(w.regions, 1) }

// use returns the share of the slots in a region on which requests run.
func (w *world) use(region int) float64 {
	running, slots := 0, 0
	for _, name := range w.names {
		if m := w.servers[name]; w.region(m.number) == region {
			running += min(len(m.running), w.slots)
			slots += w.slots
		}
	}
	return float64(running) / float64(max(slots, 1))
}

// delay returns the one-way delay between an ingress and a guard, given by the number of its backend server.
func (w *world) delay(ingress, number int) time.Duration {
	if w.region(ingress) != w.region(number) {
		return hopDelay + w.regionDelay
	}
	return hopDelay
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
		if w.thinned == 0 || w.random.Float64() >= w.thinned {
			w.submit(name, o, class.Transfer)
		}
		w.after(w.exp(rate), next)
	}
	w.after(w.exp(rate), next)
}

// submit sends a new call from a random ingress.
func (w *world) submit(name, organisation string, c class.Class) {
	r := &call{ingress: w.drawIngress(), service: name, class: c, organisation: organisation,
		arrivedAt: w.now, expires: w.now.Add(w.deadline), runOnce: w.remoteServers > 0}
	if w.datacentres > 1 {
		r.runOnce = w.random.Float64() < w.onceShare
	}
	if len(w.bodies) > 0 {
		r.body = w.bodies[w.random.IntN(len(w.bodies))]
	}
	w.attempt(r)
}

// drawIngress returns a random ingress; one of a region is as likely as its rate demands.
func (w *world) drawIngress() int {
	if len(w.regionRates) == 0 {
		return w.random.IntN(len(w.pickers))
	}
	highest := slices.Max(w.regionRates)
	for {
		i := w.random.IntN(len(w.pickers))
		if w.random.Float64()*highest < w.regionRates[w.region(i)] {
			return i
		}
	}
}

// attempt sends a call to the backend server that its ingress picks.
func (w *world) attempt(r *call) {
	if len(r.tried) == 0 && !w.admitted(r) {
		w.end(r, verdict.Shed)
		return
	}
	p := w.pickers[r.ingress]
	chosen, err := p.PickFor(w.now, picker.Request{Service: r.service, Exclude: r.tried, MayBeTrial: !r.runOnce, RunOnce: r.runOnce,
		BodyBytes: r.body, Class: r.class})
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
	w.scheduleHedge(r)
	to := w.servers[chosen]
	if from := w.region(r.ingress); from != w.region(to.number) {
		w.crossed[from] += r.body
		w.crossings[from]++
		if w.use(from) < 0.9 {
			w.needless++
		}
		if w.linkCut {
			w.after(r.expires.Sub(w.now), func() { w.timeout(r, attempt, chosen) })
			return
		}
	}
	w.after(w.delay(r.ingress, to.number), func() { to.arrive(r) })
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
	w.conclude(r, verdict.Timeout)
}

// answer sends a backend server's answer to the ingress, which retries a shed call up to twice.
func (w *world) answer(r *call, from backend.ID, v verdict.Verdict) {
	attempt := r.id
	if w.cutPaths[r.ingress] == from || w.linkCut && w.region(r.ingress) != w.region(w.servers[from].number) {
		return
	}
	w.after(w.delay(r.ingress, w.servers[from].number), func() {
		if w.calls[attempt] == nil {
			return
		}
		delete(w.calls, attempt)
		w.observe(r, attempt, from, v, true)
		if v == verdict.Shed && r.twin == nil && len(r.tried) < max(3, w.promptAttempts+1, w.maxAttempts) {
			w.attempt(r)
			return
		}
		w.conclude(r, v)
	})
}

// observe passes the outcome of an attempt to the ingress's picker, with the gate's report if reported is
// set.
func (w *world) observe(r *call, attempt id.ID, from backend.ID, v verdict.Verdict, reported bool) {
	o := picker.AttemptEnded{Attempt: attempt, Backend: from, Class: r.class, Took: w.now.Sub(r.sent), Verdict: v}
	lost := w.reportLoss > 0 && w.random.Float64() < w.reportLoss || w.lostReports > 0 && w.random.Float64() < w.lostReports
	if reported && !w.fifo && !w.servers[from].dead && !lost {
		w.hearRoom(r, from)
		rep, _ := w.servers[from].gate.Report(w.now, from)
		encoded, _ := rep.MarshalBinary()
		_ = rep.UnmarshalBinary(encoded)
		o.Report = &rep
	}
	w.recordWork(r, o)
	for _, a := range w.pickers[r.ingress].Update(w.now, o) {
		w.actions(r.ingress, a)
	}
}

// ask fetches a guard's report for an ingress, or lets the call time out if the path is cut.
func (w *world) ask(ingress int, of backend.ID) {
	w.reportsFetched++
	o := picker.AttemptEnded{Backend: of, Verdict: verdict.PathFailure}
	delay := picker.ReportTimeout
	lost := w.linkCut && w.region(ingress) != w.region(w.servers[of].number)
	if at, ok := w.cutPaths[ingress]; (!ok || at != of) && !lost && !w.servers[of].silent() {
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
	for i, p := range w.pickers {
		if w.linkCut && w.region(i) != w.region(w.servers[n.Backend].number) {
			continue
		}
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
