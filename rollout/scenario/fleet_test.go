package scenario

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/verdict"
	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/rollout/conductor"
	"berylpass/rollout/exposure"
	"berylpass/rollout/order"
	"berylpass/rollout/tally"
)

const (
	service    = "rounds"
	oldVersion = "v1"
	newVersion = "v2"
	step       = 10 * time.Millisecond
	// listInterval is the time between two reads of the list of orders, listDelay the time until others have it.
	listInterval, listDelay = 1500 * time.Millisecond, 300 * time.Millisecond
	slots                   = 5
	// rollback is the bound on the time from the 50th bad answer to the last request.
	rollback = 5 * time.Second
)

// bounds are the users' bounds.
var bounds = conductor.Bounds{Share: 0.1, Slack: 50}

// behaviour is how a version answers: the time that it takes, relative to the work, and whether it fails. running is
// the number of requests that run on the backend server, up the time since the first backend server of the version.
type behaviour func(random *rand.Rand, up time.Duration, route string, running int) (slower float64, fails bool)

func good(*rand.Rand, time.Duration, string, int) (float64, bool) { return 1, false }

// vm is a VM with its daemon and its backend server.
type vm struct {
	id         member.ID
	exposure   *exposure.Exposure
	tally      *tally.Tally
	conductor  *conductor.Conductor
	conducts   bool
	backend    backend.Backend
	running    int
	credit     float64
	focus      []backend.ID
	focusShare float64
	nextReport time.Time
	failures   int
	failedAt   time.Time
	// dead VMs do nothing; one that is cut off neither reports nor learns anything, and still sends requests.
	dead, cut bool
}

// ending is a request that will end.
type ending struct {
	at      time.Time
	on      *vm
	attempt id.ID
	verdict verdict.Verdict
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleet is a service whose version changes.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	began   time.Time
	now     time.Time
	vms     []*vm
	byID    map[backend.ID]*vm
	pending endings
	rate    float64
	due     float64
	version behaviour
	number  uint64

	// storeAway makes all calls of the store fail. The stored order is nil if there is none.
	storeAway bool
	stored    *order.Order
	revision  uint64
	orderedAt time.Time
	newSince  time.Time
	nextList  time.Time
	list      []order.Order
	listAt    time.Time
	ages      map[order.Key]time.Time

	// each step of the order that a conductor entered, and when the store got each state.
	steps   []conductor.StepChanged
	written map[order.State]time.Time
	// onStep is called when a conductor has entered a step, with that conductor's VM.
	onStep func(on *vm, s conductor.Step)

	sent, sentToNew int
	// sentToNewAt holds when requests were sent to the new version, badAt when its bad answers came.
	sentToNewAt, badAt []time.Time
}

// newFleet returns a fleet of VMs with the old version that has run for a while.
func newFleet(t *testing.T, seed uint64, vms int, rate float64, version behaviour) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), byID: map[backend.ID]*vm{},
		rate: rate, version: version, revision: 10, ages: map[order.Key]time.Time{}, written: map[order.State]time.Time{},
	}
	f.began, f.nextList = f.now, f.now
	for i := range vms {
		f.addVM(fmt.Sprintf("vm-%02d", i), oldVersion)
	}
	f.run(10 * time.Second)
	return f
}

func (f *fleet) addVM(name, version string) {
	v := &vm{
		id: member.ID(name), exposure: exposure.New(f.now), tally: tally.New(), conductor: conductor.New(bounds),
		credit:  f.random.Float64(),
		backend: backend.New(backend.ID("b-"+name), service, member.ID(name)).WithSlots(slots).WithVersion(version),
	}
	f.vms = append(f.vms, v)
	f.byID[v.backend.ID] = v
	for _, a := range f.vms {
		for _, b := range f.vms {
			f.see(a, b.backend)
		}
	}
}

func (f *fleet) see(on *vm, b backend.Backend) {
	on.exposure.Update(f.now, exposure.ServerChanged{ID: b.ID, Service: b.Service, Version: b.Version, Serving: b.State == backend.Serving})
}

// startNew starts VMs with the new version.
func (f *fleet) startNew(n int) {
	f.newSince = f.now
	for i := range n {
		f.addVM(fmt.Sprintf("vn-%02d", i), newVersion)
	}
}

// order writes an order.
func (f *fleet) order(target string, duration time.Duration) {
	f.revision++
	created := f.revision
	if f.stored != nil {
		created = f.stored.Created
	}
	f.stored = &order.Order{Name: service, Service: service, Target: target, Duration: duration, Created: created, Revision: f.revision}
	f.orderedAt = f.now
	f.sent, f.sentToNew, f.sentToNewAt, f.badAt = 0, 0, nil, nil
}

// withdraw removes the order.
func (f *fleet) withdraw() {
	f.revision++
	f.stored = nil
}

// run lets time pass.
func (f *fleet) run(d time.Duration) { f.runUntil(d, func() bool { return false }) }

// runUntil lets time pass until done or d is over; it reports whether done.
func (f *fleet) runUntil(d time.Duration, done func() bool) bool {
	for end := f.now.Add(d); f.now.Before(end); {
		if done() {
			return true
		}
		f.now = f.now.Add(step)
		f.endRequests()
		f.readList()
		for _, v := range f.vms {
			if !v.dead {
				f.live(v)
			}
		}
		for f.due += f.rate * step.Seconds(); f.due >= 1; f.due-- {
			f.send()
		}
	}
	return done()
}

// live lets one daemon report, and conduct if it is the one to.
func (f *fleet) live(v *vm) {
	if f.now.UnixMilli()%100 == 0 {
		v.exposure.Update(f.now, exposure.Tick{})
		f.conduct(v)
	}
	running := v.exposure.Running()
	watched := map[string]order.Key{}
	for _, o := range running {
		watched[o.Service] = o.Key()
	}
	v.tally.Watch(watched)
	if v.cut || f.now.Before(v.nextReport) {
		return
	}
	for _, o := range running {
		f.report(v, o)
	}
}

// candidates are the daemons in the order in which they conduct.
func (f *fleet) candidates() []*vm { return f.vms[:min(3, len(f.vms))] }

// report sends one report to the first candidate that takes it.
func (f *fleet) report(v *vm, o order.Order) {
	if f.now.Sub(v.failedAt) > 3*time.Second {
		v.failures = 0
	}
	to := f.candidates()[v.failures%len(f.candidates())]
	v.nextReport = f.now.Add(conductor.ReportInterval)
	if to.dead || to.cut {
		v.failures, v.failedAt = v.failures+1, f.now
		return
	}
	to.conducts = true
	if told := v.exposure.Told(o.Key()); told.Final() {
		f.carryOut(to, to.conductor.Update(f.now, conductor.Told{Order: o.Key(), State: told}))
	}
	for _, r := range v.tally.Reports(f.now, []backend.Backend{v.backend}) {
		f.carryOut(to, to.conductor.Update(f.now, conductor.Report{Order: o.Key(), Version: r.Version, Counts: r.Report}))
	}
	if g, ok := to.conductor.Grant(f.now, o.Key()); ok {
		v.nextReport, v.focus, v.focusShare = f.now.Add(g.Next), g.Focus, g.FocusShare
		v.exposure.Update(f.now, exposure.Granted{Order: o.Key(), State: g.State, Share: g.Share, Until: f.now.Add(g.For)})
	}
}

// conduct lets a conductor advance.
func (f *fleet) conduct(v *vm) {
	if !v.conducts && v != f.candidates()[0] {
		return
	}
	orders := v.exposure.Stored(f.now)
	f.carryOut(v, v.conductor.Update(f.now, conductor.Orders{List: orders}))
	for _, o := range orders {
		fl := conductor.Fleet{Order: o.Key(), New: map[backend.ID]int{}, Daemons: len(f.vms)}
		for _, b := range f.vms {
			switch {
			case b.dead:
			case b.backend.Version == o.Target:
				fl.New[b.backend.ID] = slots
			default:
				fl.Old++
			}
		}
		v.conductor.Update(f.now, fl)
	}
	f.carryOut(v, v.conductor.Update(f.now, conductor.Tick{}))
}

// carryOut carries out a conductor's actions.
func (f *fleet) carryOut(on *vm, actions []decision.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case conductor.StepChanged:
			f.steps = append(f.steps, a)
			if f.onStep != nil {
				f.onStep(on, a.Step)
			}
		case conductor.WriteState:
			f.write(on, a)
		}
	}
}

// write writes a state to the store.
func (f *fleet) write(on *vm, a conductor.WriteState) {
	w := conductor.Written{Order: a.Order.Key(), State: a.State}
	if !f.storeAway && !on.cut && !on.dead && f.stored != nil && f.stored.Revision == a.Order.Revision {
		f.revision++
		f.stored.Revision, f.stored.State = f.revision, a.State
		f.written[a.State] = f.now
		w.Done, w.Revision = true, f.revision
	}
	if !w.Done || a.State.Final() {
		f.nextList = f.now
	}
	on.conductor.Update(f.now, w)
}

// readList reads the list of orders and passes it on.
func (f *fleet) readList() {
	if !f.now.Before(f.nextList) && !f.storeAway {
		f.nextList, f.listAt, f.list = f.now.Add(listInterval), f.now, nil
		if f.stored != nil {
			o := *f.stored
			if _, known := f.ages[o.Key()]; !known {
				f.ages[o.Key()] = f.now
			}
			o.Age = f.now.Sub(f.ages[o.Key()])
			f.list = []order.Order{o}
		}
	}
	if f.listAt.IsZero() || f.now.Sub(f.listAt) != listDelay {
		return
	}
	for _, v := range f.vms {
		if !v.dead && !v.cut {
			v.exposure.Update(f.now, exposure.ListRead{Orders: f.list, At: f.listAt})
		}
	}
}

// pick returns the VM whose backend server an ingress chooses, and one of the version in service.
func (f *fleet) pick(ingress *vm) (chosen, usual *vm) {
	var onTrial, inUse []*vm
	for _, v := range f.vms {
		if v.dead {
			continue
		}
		switch ingress.exposure.Standing(service, v.backend.Version) {
		case exposure.OnTrial:
			onTrial = append(onTrial, v)
		case exposure.Usual:
			inUse = append(inUse, v)
		case exposure.Withheld:
		}
	}
	if len(inUse) > 0 {
		usual = inUse[f.random.IntN(len(inUse))]
	}
	share := ingress.exposure.Share(f.now, service)
	ingress.credit += share
	if share == 0 || len(onTrial) == 0 || ingress.credit < 1 {
		return usual, usual
	}
	ingress.credit--
	if len(ingress.focus) > 0 && share < 0.2 && f.random.Float64() < ingress.focusShare {
		return f.byID[ingress.focus[f.random.IntN(len(ingress.focus))]], usual
	}
	return onTrial[f.random.IntN(len(onTrial))], usual
}

// send sends one request.
func (f *fleet) send() {
	ingress := f.vms[f.random.IntN(len(f.vms))]
	if ingress.dead {
		return
	}
	f.sent++
	on, usual := f.pick(ingress)
	if on != nil && !f.allows(on) {
		on = usual
	}
	if on == nil || on.dead {
		return
	}
	route := "status"
	if f.random.IntN(2) == 0 {
		route = "booking"
	}
	took, fails := float64(170*time.Millisecond)*math.Exp(0.3*f.random.NormFloat64()), f.random.Float64() < 0.01
	if on.backend.Version == newVersion {
		f.sentToNew++
		f.sentToNewAt = append(f.sentToNewAt, f.now)
		slower, bad := f.version(f.random, f.now.Sub(f.newSince), route, on.running)
		took, fails = took*slower, fails || bad
		if bad || slower > 2 {
			f.badAt = append(f.badAt, f.now.Add(time.Duration(took)))
		}
	}
	f.number++
	v, attempt := verdict.OK, id.New(ingress.id, 1, f.number)
	if fails {
		v = verdict.Error
	}
	on.running++
	on.tally.Started(f.now, attempt, on.backend, route)
	heap.Push(&f.pending, ending{at: f.now.Add(time.Duration(took)), on: on, attempt: attempt, verdict: v})
}

// allows is the guard's check.
func (f *fleet) allows(v *vm) bool {
	switch v.exposure.Standing(service, v.backend.Version) {
	case exposure.Usual:
		return true
	case exposure.OnTrial:
		return v.exposure.Share(f.now, service) > 0
	case exposure.Withheld:
	}
	return false
}

func (f *fleet) endRequests() {
	for len(f.pending) > 0 && !f.pending[0].at.After(f.now) {
		e := heap.Pop(&f.pending).(ending)
		e.on.running--
		e.on.tally.Ended(e.at, e.attempt, e.verdict)
	}
}

// outcome returns the stored state.
func (f *fleet) outcome() order.State {
	if f.stored == nil {
		return order.Pending
	}
	return f.stored.State
}

// checkBad fails the test if a bad version got more requests than it may: by share, or too long after its 50th bad
// answer.
func (f *fleet) checkBad(duration time.Duration) {
	f.t.Helper()
	limit := bounds.Share*float64(f.sent)*min(1, float64(duration)/float64(f.now.Sub(f.orderedAt))) + float64(bounds.Slack)
	if float64(f.sentToNew) > limit {
		f.t.Errorf("%d of %d requests went to the bad version, over %.0f", f.sentToNew, f.sent, limit)
	}
	if len(f.badAt) < 50 {
		return
	}
	// Answers come in nearly the order in which they were sent; the latest of the first 50 is on the strict side.
	for _, at := range f.sentToNewAt {
		if at.After(f.badAt[49].Add(rollback)) {
			f.t.Fatalf("a request was sent %s after the 50th bad answer", at.Sub(f.badAt[49]))
		}
	}
}
