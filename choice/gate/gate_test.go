package gate_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"berylpass/attempt/id"
	"berylpass/choice/gate"
	"berylpass/choice/verdict"
	"berylpass/config/class"
	"berylpass/config/service"
	"berylpass/decision"
	"berylpass/fleet/backend"
)

func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "13", "rapid.checks": "300", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		flag.Set(name, value)
	}
	os.Exit(m.Run())
}

// request is what the oracle knows about one Arrive.
type request struct {
	event  gate.Arrive
	ended  bool
	run    bool
	active bool
}

// oracle tracks the expected state of the gate.
type oracle struct {
	g         *gate.Gate
	now       time.Time
	seen      map[backend.ID]gate.BackendUpdated
	startedAt map[backend.ID]time.Time
	requests  map[id.ID]*request
	order     []id.ID
	ramp      time.Duration
}

// apply passes an event to the gate and checks every action.
func (o *oracle) apply(t *rapid.T, event decision.Event) {
	for _, a := range o.g.Update(o.now, event) {
		switch a := a.(type) {
		case gate.Run:
			r := o.recordOutcome(t, a.ID)
			r.run, r.active = true, true
			o.checkRun(t, a, r)
		case gate.Shed:
			o.recordOutcome(t, a.ID)
		case gate.Withdrawn:
			o.recordOutcome(t, a.ID)
		}
	}
}

// recordOutcome checks that a request gets only one outcome.
func (o *oracle) recordOutcome(t *rapid.T, attempt id.ID) *request {
	r := o.requests[attempt]
	if r == nil || r.ended {
		t.Fatalf("outcome for %v, which already has one or never arrived", attempt)
	}
	r.ended = true
	return r
}

// checkRun checks that a request may run: the backend server accepts requests, the request has not expired, and
// the ramp and the slots allow it.
func (o *oracle) checkRun(t *rapid.T, a gate.Run, r *request) {
	e, ok := o.seen[a.Backend]
	if !ok || !e.InService || e.Backend.State != backend.Serving {
		t.Fatalf("request runs on %s, which accepts no requests", a.Backend)
	}
	if o.now.After(r.event.Expires) {
		t.Fatalf("request runs %v after it expired", o.now.Sub(r.event.Expires))
	}
	running := 0
	for _, other := range o.requests {
		if other.active && other.event.Backend == a.Backend {
			running++
		}
	}
	age := o.now.Sub(o.startedAt[a.Backend])
	allowed := 1 + float64(e.Backend.Slots-1)*min(float64(age)/float64(o.ramp), 1)
	if float64(running) > allowed+1e-6 {
		t.Fatalf("%d requests run on %s, want at most %.2f %v after its start", running, a.Backend, allowed, age)
	}
}

// checkOutcomes checks that every request either has an outcome or is queued.
func (o *oracle) checkOutcomes(t *rapid.T) {
	queued := make(map[backend.ID]int)
	for _, attempt := range o.order {
		if r := o.requests[attempt]; !r.ended {
			queued[r.event.Backend]++
		}
	}
	for n := range o.seen {
		r, _ := o.g.Report(o.now, n)
		if r.Queued != queued[n] {
			t.Fatalf("%d requests queued for %s, but %d have no outcome", r.Queued, n, queued[n])
		}
		delete(queued, n)
	}
	if len(queued) > 0 {
		t.Fatalf("requests without an outcome on removed backend servers: %v", queued)
	}
}

// TestAdmissionRespectsLimitsAndEndsEachRequestOnce feeds a Gate random events and checks the slots, the ramp,
// draining, expiry, and that each request gets exactly one outcome.
func TestAdmissionRespectsLimitsAndEndsEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{g: gate.New(), now: time.Unix(1_800_000_000, 0), seen: make(map[backend.ID]gate.BackendUpdated),
			startedAt: make(map[backend.ID]time.Time), requests: make(map[id.ID]*request), ramp: 10 * time.Second}
		o.g.Update(o.now, gate.ServiceUpdated{Service: service.New("rounds").WithRamp(o.ramp)})
		name := rapid.SampledFrom([]backend.ID{"r-0", "r-1"})
		t.Repeat(map[string]func(*rapid.T){
			"see":  func(t *rapid.T) { o.updateBackend(t, name.Draw(t, "backend")) },
			"lose": func(t *rapid.T) { o.removeBackend(t, name.Draw(t, "backend")) },
			// arrive2 doubles the share of arrivals among the random actions.
			"arrive":  func(t *rapid.T) { o.arrive(t, name.Draw(t, "backend")) },
			"arrive2": func(t *rapid.T) { o.arrive(t, name.Draw(t, "backend")) },
			"burst": func(t *rapid.T) {
				n := name.Draw(t, "backend")
				for i := range 60 {
					o.arriveAs(t, n, fmt.Sprint(i%rapid.IntRange(1, 5).Draw(t, "organisations")), class.Transfer, 4000)
				}
			},
			"finish":   o.finish,
			"withdraw": o.withdraw,
			"load": func(t *rapid.T) {
				o.apply(t, gate.SlotsReported{Backend: name.Draw(t, "backend"), Slots: rapid.IntRange(0, 3).Draw(t, "slots")})
			},
			"pass": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "ticks") {
					o.now = o.now.Add(100 * time.Millisecond)
					o.apply(t, gate.Tick{})
				}
			},
			"rest": func(t *rapid.T) {
				for range 12 {
					o.now = o.now.Add(time.Second)
					o.apply(t, gate.Tick{})
				}
			},
			"": o.checkOutcomes,
		})
	})
}

func (o *oracle) updateBackend(t *rapid.T, n backend.ID) {
	e := gate.BackendUpdated{InService: rapid.IntRange(0, 5).Draw(t, "in") > 0}
	e.Backend = backend.New(n, "rounds", "vm").WithSlots(rapid.IntRange(1, 5).Draw(t, "slots")).
		WithState(backend.State(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2}).Draw(t, "state"))).
		WithIncarnation(uint64(rapid.IntRange(0, 1).Draw(t, "incarnation")))
	before, known := o.seen[n]
	if !known || before.Backend.Incarnation != e.Backend.Incarnation {
		o.startedAt[n] = o.now
	}
	o.seen[n] = e
	o.apply(t, e)
}

func (o *oracle) removeBackend(t *rapid.T, n backend.ID) {
	delete(o.seen, n)
	for _, r := range o.requests {
		r.active = r.active && r.event.Backend != n
	}
	o.apply(t, gate.BackendRemoved{ID: n})
}

func (o *oracle) arrive(t *rapid.T, n backend.ID) {
	o.arriveAs(t, n, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "organisation")),
		class.Class(rapid.IntRange(0, 2).Draw(t, "class")), rapid.IntRange(-100, 4000).Draw(t, "expires"))
}

// arriveAs sends a request that expires after the given number of milliseconds, and repeats it if it is queued
// or running.
func (o *oracle) arriveAs(t *rapid.T, n backend.ID, organisation string, c class.Class, expires int) {
	attempt := id.New("vm", 1, uint64(len(o.order)))
	e := gate.Arrive{ID: attempt, Backend: n, Organisation: organisation, Class: c,
		Expires: o.now.Add(time.Duration(expires) * time.Millisecond)}
	o.requests[attempt] = &request{event: e}
	o.order = append(o.order, attempt)
	o.apply(t, e)
	if r := o.requests[attempt]; !r.ended || r.active {
		o.apply(t, e)
	}
}

func (o *oracle) finish(t *rapid.T) {
	running := slices.DeleteFunc(slices.Clone(o.order), func(i id.ID) bool { return !o.requests[i].active })
	if len(running) == 0 {
		return
	}
	attempt := rapid.SampledFrom(running).Draw(t, "request")
	o.requests[attempt].active = false
	o.apply(t, gate.Finished{ID: attempt, Verdict: verdict.Verdict(rapid.IntRange(0, 6).Draw(t, "verdict"))})
}

func (o *oracle) withdraw(t *rapid.T) {
	if len(o.order) == 0 {
		return
	}
	o.apply(t, gate.Withdraw{ID: rapid.SampledFrom(o.order).Draw(t, "request")})
}
