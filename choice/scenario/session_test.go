package scenario

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"berylpass/choice/gate"
	"berylpass/choice/picker"
	"berylpass/choice/verdict"
	"berylpass/decision"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestGoldenSession compares a simulation with its golden file: one of six backend servers turns
// slow and recovers, then another drains. Rewrite the file with
// go test ./choice/scenario -run GoldenSession -update.
func TestGoldenSession(t *testing.T) {
	w := newWorld(settings{seed: 5, ingresses: 2, services: map[string]int{"rounds": 6}, slots: 4, rate: 20,
		median: 60 * time.Millisecond, sigma: 0.8, maxNoticeDelay: 100 * time.Millisecond, deadline: 5 * time.Second})
	var out strings.Builder
	record := func(format string, args ...any) {
		fmt.Fprintf(&out, "%8.3f ", w.now.Sub(start).Seconds())
		fmt.Fprintf(&out, format+"\n", args...)
	}
	w.actions = func(i int, a decision.Action) {
		switch a := a.(type) {
		case picker.Ejected:
			record("ingress %d ejects %s: %s, strike %d", i, a.Backend, a.Reason, a.RecentEjections)
		case picker.Restored:
			record("ingress %d restores %s: %s, out for %v", i, a.Backend, a.Reason, a.EjectedFor)
		}
	}
	verdicts := make(map[verdict.Verdict]int)
	w.answered = func(_ *call, v verdict.Verdict) { verdicts[v]++ }
	step := func(name string, d time.Duration) {
		record("%s", name)
		w.run(d)
		for _, l := range w.pickers[0].Status(w.now) {
			record("  %s %s %s, %d of %d", l.Backend, l.State, l.Reason, l.InUse, l.Limit)
		}
		record("  ok %d, error %d, shed %d, timeout %d",
			verdicts[verdict.OK], verdicts[verdict.Error], verdicts[verdict.Shed], verdicts[verdict.Timeout])
	}
	w.startLoad()
	step("ramp", 20*time.Second)
	w.servers["rounds-03"].fault.slowFactor = 6
	step("rounds-03 slow", 4*time.Second)
	w.servers["rounds-03"].fault = fault{}
	step("rounds-03 repaired", 15*time.Second)
	m := w.servers["rounds-05"]
	m.backend = m.backend.WithState(1)
	m.handle(m.gate.Update(w.now, gate.BackendUpdated{Backend: m.backend, InService: true}))
	for _, p := range w.pickers {
		p.Update(w.now, picker.BackendUpdated{Backend: m.backend, Datacentre: "dc", SameDatacentre: true, InService: true})
	}
	step("rounds-05 draining", 5*time.Second)
	const golden = "testdata/session.golden"
	if *update {
		if err := os.WriteFile(golden, []byte(out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if out.String() != string(want) {
		t.Errorf("the simulation differs from %s; got:\n%s", golden, out.String())
	}
}
