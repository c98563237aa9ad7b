package conductor

import (
	"fmt"
	"testing"
	"time"

	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/rollout/evidence"
	"berylpass/rollout/order"
)

// rollOut is a conductor with one order, of a service with ten backend servers of each version.
type rollOut struct {
	*Conductor
	t      *testing.T
	now    time.Time
	order  order.Order
	counts map[backend.ID]uint32
	writes []WriteState
	// reports is the number of reports of each backend server.
	reports int
}

func newRollOut(t *testing.T) *rollOut {
	r := &rollOut{
		Conductor: New(Bounds{Share: 0.1, Slack: 50}), t: t, now: time.Unix(1000, 0), counts: map[backend.ID]uint32{},
		order: order.Order{Name: "rounds", Service: "rounds", Target: "v2", Duration: 12 * time.Second, Revision: 7},
	}
	r.pass(0, 0)
	return r
}

// pass lets time pass, in which the first n backend servers of each version report, the old ones five good answers a
// second and the new ones a twentieth of that.
func (r *rollOut) pass(d time.Duration, n int) {
	r.list()
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(200 * time.Millisecond)
		for i := range n {
			r.report(backend.ID(fmt.Sprintf("a%d", i)), "v1", 1)
			r.report(backend.ID(fmt.Sprintf("b%d", i)), "v2", oneIn(20, r.reports))
		}
		r.reports++
		r.carryOut(r.Update(r.now, Tick{}))
	}
}

// list passes on the order as it is stored.
func (r *rollOut) list() {
	o := r.order
	o.Age = r.now.Sub(time.Unix(1000, 0))
	r.Update(r.now, Orders{List: []order.Order{o}})
	f := Fleet{Order: o.Key(), New: map[backend.ID]int{}, Old: 10, Daemons: 20}
	for i := range 10 {
		f.New[backend.ID(fmt.Sprintf("b%d", i))] = 5
	}
	r.Update(r.now, f)
}

// oneIn returns 1 for each nth i, 0 for the others.
func oneIn(n, i int) uint32 {
	if i%n == 0 {
		return 1
	}
	return 0
}

// report reports a number of further answers.
func (r *rollOut) report(of backend.ID, version string, answers uint32) {
	r.counts[of] += answers
	r.carryOut(r.Update(r.now, Report{Order: r.order.Key(), Version: version, Counts: evidence.Report{
		Server: of, Sent: r.counts[of], Cells: []evidence.Cell{{Route: "status", Bucket: 14, Count: r.counts[of]}},
	}}))
}

// carryOut keeps the writes, which stay unanswered.
func (r *rollOut) carryOut(actions []decision.Action) {
	for _, a := range actions {
		if w, ok := a.(WriteState); ok {
			r.writes = append(r.writes, w)
		}
	}
}

// stored tells the conductor that its last write is stored.
func (r *rollOut) stored() {
	last := r.writes[len(r.writes)-1]
	r.order.Revision, r.order.State = r.order.Revision+1, last.State
	r.Update(r.now, Written{Order: last.Order.Key(), State: last.State, Done: true, Revision: r.order.Revision})
}

func (r *rollOut) wantsStep(want Step) {
	r.t.Helper()
	if got, _ := r.Step(r.order.Key()); got != want {
		r.t.Fatalf("step %s, want %s", got, want)
	}
}

// TestConductorThatHearsFewStaysOnTrial checks that one of two conductors, which few daemons report to, completes
// nothing.
func TestConductorThatHearsFewStaysOnTrial(t *testing.T) {
	r := newRollOut(t)
	r.pass(r.order.Duration, 5)
	r.wantsStep(Trial)
	r.pass(4*time.Second, 10)
	r.wantsStep(Completing)
}

// TestToldOutcomeIsTakenOver checks that a conductor that takes over rolls back what the last one has refused.
func TestToldOutcomeIsTakenOver(t *testing.T) {
	r := newRollOut(t)
	r.pass(time.Second, 10)
	r.stored()
	r.carryOut(r.Update(r.now, Told{Order: r.order.Key(), State: order.RolledBack}))
	if g, ok := r.Grant(r.now, r.order.Key()); !ok || g.State != order.RolledBack || g.Share != 0 {
		t.Errorf("%+v", g)
	}
	r.pass(time.Second, 10)
	if last := r.writes[len(r.writes)-1]; last.State != order.RolledBack || last.Order.Revision != r.order.Revision {
		t.Errorf("written: %+v", last)
	}
}

// TestStoredOutcomeStands checks that a conductor whose write lost against another one's follows the store.
func TestStoredOutcomeStands(t *testing.T) {
	r := newRollOut(t)
	r.pass(time.Second, 10)
	r.Update(r.now, Written{Order: r.order.Key(), State: order.Running})
	r.order.Revision, r.order.State = 9, order.RolledBack
	writes := len(r.writes)
	r.pass(r.order.Duration, 10)
	if g, _ := r.Grant(r.now, r.order.Key()); g.State != order.RolledBack || len(r.writes) != writes {
		t.Errorf("%+v, %d more writes", g, len(r.writes)-writes)
	}
}

// TestFailedWriteIsRepeatedWithTheNextRevision checks that a write that fails neither stops the order nor is repeated
// at once.
func TestFailedWriteIsRepeatedWithTheNextRevision(t *testing.T) {
	r := newRollOut(t)
	r.pass(200*time.Millisecond, 10)
	r.Update(r.now, Written{Order: r.order.Key(), State: order.Running})
	r.pass(600*time.Millisecond, 10)
	if len(r.writes) != 1 {
		t.Fatalf("%d writes within %s", len(r.writes), writeBackoff)
	}
	r.order.Revision = 8
	r.pass(200*time.Millisecond, 10)
	if len(r.writes) != 2 || r.writes[1].Order.Revision != 8 {
		t.Errorf("%+v", r.writes)
	}
}

// TestRequestsStayShiftedUntilCompletionIsStored checks that requests don't go back to backend servers that stop at any
// moment, but do if the write takes long.
func TestRequestsStayShiftedUntilCompletionIsStored(t *testing.T) {
	r := newRollOut(t)
	for len(r.writes) == 0 || r.writes[len(r.writes)-1].State != order.Completed {
		if r.pass(200*time.Millisecond, 10); len(r.writes) == 1 && r.order.State != order.Running {
			r.stored()
		}
	}
	if g, _ := r.Grant(r.now, r.order.Key()); g.Share != 1 {
		t.Errorf("share %v while the completion is being written", g.Share)
	}
	r.pass(completingTime, 10)
	if g, _ := r.Grant(r.now, r.order.Key()); g.Share >= r.bounds.Share {
		t.Errorf("share %v while the completion can't be written", g.Share)
	}
	r.stored()
	if g, _ := r.Grant(r.now, r.order.Key()); g.State != order.Completed {
		t.Errorf("%+v after the write", g)
	}
}
