package picker_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"berylpass/attempt/id"
	"berylpass/choice/picker"
	"berylpass/choice/report"
	"berylpass/choice/verdict"
	"berylpass/config/class"
	"berylpass/config/service"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "12", "rapid.checks": "500", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		flag.Set(name, value)
	}
	os.Exit(m.Run())
}

// oracle is the expected state of the backend servers, without any evidence about them.
type oracle struct {
	p       *picker.Picker
	now     time.Time
	seen    map[backend.ID]picker.BackendUpdated
	floor   float64
	next    uint64
	flights []picker.AttemptStarted
}

// serving returns the total slots and the IDs of the backend servers that may receive requests.
func (o *oracle) serving() (total int, ids []backend.ID) {
	for n, e := range o.seen {
		if e.InService && e.Backend.State == backend.Serving {
			total += e.Backend.Slots
			ids = append(ids, n)
		}
	}
	return total, ids
}

// check compares the picker's status with the oracle: the floor holds, and only serving backend servers are in
// use.
func (o *oracle) check(t *rapid.T) {
	total, ids := o.serving()
	inUse := 0
	for _, line := range o.p.Status(o.now) {
		e, ok := o.seen[line.Backend]
		if !ok {
			t.Fatalf("status lists %s, which was removed", line.Backend)
		}
		active := line.State == "in-use" || line.State == "kept-by-floor" || line.State == "suspected"
		if active && !slices.Contains(ids, line.Backend) {
			t.Fatalf("status of %s is %q, but its state is %s and in service = %v", line.Backend, line.State, e.Backend.State, e.InService)
		}
		if active {
			inUse += e.Backend.Slots
		}
	}
	if float64(inUse) < o.floor*float64(total) || total > 0 && inUse == 0 {
		t.Fatalf("%d of %d slots in use, want at least a share of %v", inUse, total, o.floor)
	}
}

// TestFloorHoldsAndOnlyServingBackendsArePicked feeds a Picker random evidence and checks after every step that
// the floor holds and that only backend servers that may receive requests are picked.
func TestFloorHoldsAndOnlyServingBackendsArePicked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{p: picker.New(1), now: time.Unix(1_800_000_000, 0), seen: make(map[backend.ID]picker.BackendUpdated)}
		o.floor = rapid.SampledFrom([]float64{0, 0.3, 0.5, 0.9, 1}).Draw(t, "floor")
		o.p.Update(o.now, picker.ServiceUpdated{Service: service.New("rounds").WithFloor(o.floor)})
		names := []backend.ID{"r-0", "r-1", "r-2", "r-3", "r-4", "r-5"}
		name := rapid.SampledFrom(names)
		t.Repeat(map[string]func(*rapid.T){
			"see": func(t *rapid.T) {
				n := name.Draw(t, "backend")
				vm := member.ID(fmt.Sprintf("vm-%d", rapid.IntRange(0, 2).Draw(t, "vm")))
				b := backend.New(n, "rounds", vm).WithSlots(rapid.IntRange(1, 5).Draw(t, "slots")).
					WithState(backend.State(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "state"))).
					WithIncarnation(uint64(rapid.IntRange(0, 2).Draw(t, "incarnation")))
				e := picker.BackendUpdated{Backend: b, InService: rapid.IntRange(0, 4).Draw(t, "in") > 0}
				o.seen[n] = e
				o.p.Update(o.now, e)
			},
			"lose": func(t *rapid.T) {
				n := name.Draw(t, "backend")
				delete(o.seen, n)
				o.p.Update(o.now, picker.BackendRemoved{ID: n})
			},
			"pick": func(t *rapid.T) { o.pick(t, name) },
			"trial": func(t *rapid.T) {
				n := name.Draw(t, "backend")
				o.p.Update(o.now, picker.ReportReceived{Backend: n, Report: report.Report{StalledFor: time.Minute}})
				for range 30 {
					o.now = o.now.Add(200 * time.Millisecond)
					o.p.Update(o.now, picker.Tick{})
				}
			},
			"end": func(t *rapid.T) { o.end(t) },
			"report": func(t *rapid.T) {
				o.p.Update(o.now, picker.ReportReceived{Backend: name.Draw(t, "backend"), Report: drawReport(t)})
			},
			"pass": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "ticks") {
					o.now = o.now.Add(200 * time.Millisecond)
					o.p.Update(o.now, picker.Tick{})
					o.check(t)
				}
			},
			"": o.check,
		})
	})
}

func (o *oracle) pick(t *rapid.T, name *rapid.Generator[backend.ID]) {
	exclude := rapid.SliceOfN(name, 0, 2).Draw(t, "exclude")
	for range 20 {
		o.pickOnce(t, exclude)
	}
	chosen := o.pickOnce(t, exclude)
	if chosen == "" {
		return
	}
	o.next++
	f := picker.AttemptStarted{Attempt: id.New("vm", 1, o.next), Backend: chosen, Class: class.Transfer}
	o.flights = append(o.flights, f)
	o.p.Update(o.now, f)
}

// pickOnce picks a backend server and checks the choice.
func (o *oracle) pickOnce(t *rapid.T, exclude []backend.ID) backend.ID {
	chosen, err := o.p.Pick(o.now, "rounds", exclude)
	_, ids := o.serving()
	if err != nil {
		if !errors.Is(err, picker.ErrNoBackend) {
			t.Fatalf("Pick: error %v, want ErrNoBackend", err)
		}
		if len(exclude) == 0 && len(ids) > 0 {
			t.Fatalf("Pick failed although %v may be picked: %v", ids, err)
		}
		return ""
	}
	if !slices.Contains(ids, chosen) || slices.Contains(exclude, chosen) {
		t.Fatalf("Pick chose %s, want one of %v except %v", chosen, ids, exclude)
	}
	return chosen
}

func (o *oracle) end(t *rapid.T) {
	if len(o.flights) == 0 {
		return
	}
	i := rapid.IntRange(0, len(o.flights)-1).Draw(t, "flight")
	f := o.flights[i]
	o.flights = slices.Delete(o.flights, i, i+1)
	e := picker.AttemptEnded{Attempt: f.Attempt, Backend: f.Backend, Class: f.Class, Took: 50 * time.Millisecond,
		Verdict: verdict.Verdict(rapid.IntRange(0, 6).Draw(t, "verdict"))}
	if rapid.Bool().Draw(t, "reported") {
		r := drawReport(t)
		e.Report = &r
	}
	o.p.Update(o.now, e)
}

func drawReport(t *rapid.T) report.Report {
	r := report.Report{
		Limit:      rapid.IntRange(0, 4).Draw(t, "limit"),
		Errors:     rapid.SampledFrom([]float64{0, 0, 0, 30}).Draw(t, "errors"),
		Slowness:   rapid.SampledFrom([]float64{0, 0, 0, 30}).Draw(t, "slowness"),
		StalledFor: rapid.SampledFrom([]time.Duration{0, 0, 0, time.Minute}).Draw(t, "stalled"),
		Completed:  uint16(rapid.IntRange(0, 30).Draw(t, "completed")),
	}
	took := rapid.SampledFrom([]time.Duration{50, 50, 50, 600}).Draw(t, "level") * time.Millisecond
	return r.WithLevel(class.Transfer, report.Level{Time: took, Spread: 0.5, Samples: 40})
}
