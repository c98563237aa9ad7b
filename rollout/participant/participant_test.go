package participant

import (
	"context"
	"errors"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/rollout/conductor"
	"berylpass/rollout/order"
	"berylpass/store/object"
)

var began = time.Now()

// localFleet is a fleet of participants in one process: their mesh, membership and store.
type localFleet struct {
	mu           sync.Mutex
	participants map[member.ID]*Participant
	dead         map[member.ID]bool
	// failures is the number of next writes that fail.
	failures int
	states   []order.State
}

func (f *localFleet) Call(_ context.Context, to member.ID, method string, args, reply any) error {
	f.mu.Lock()
	p, dead := f.participants[to], f.dead[to]
	f.mu.Unlock()
	report, ok := args.(Report)
	if p == nil || dead || !ok || method != reportMethod {
		return rpc.ErrShutdown
	}
	return p.Receiver().Report(report, reply.(*Reply))
}

func (f *localFleet) Members() []member.Member {
	return []member.Member{member.New("vm-1", "srem"), member.New("vm-2", "srem"), member.New("vm-3", "srem")}
}

func (f *localFleet) Backends(string) []backend.Backend {
	return []backend.Backend{
		backend.New("i-1", "rounds", "vm-1").WithSlots(4).WithVersion("v1"), backend.New("i-2", "rounds", "vm-2").WithSlots(4).WithVersion("v2"),
	}
}

func (f *localFleet) WriteState(_ context.Context, _ order.Order, state order.State) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		f.failures--
		return 0, object.ErrUnavailable
	}
	f.states = append(f.states, state)
	return 100, nil
}

func (f *localFleet) StepChanged(conductor.StepChanged)            {}
func (f *localFleet) StateWritten(order.Order, order.State, error) {}
func (f *localFleet) OutcomeLearnt(order.Order)                    {}

// written returns the number of states that were written.
func (f *localFleet) written() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.states)
}

// start starts a participant that knows the order and both backend servers.
func (f *localFleet) start(t *testing.T, id member.ID, orders []order.Order) *Participant {
	p := New(Options{
		Self: id, Mesh: f, Fleet: f, Store: f, Observer: f, Bounds: conductor.Bounds{Share: 0.1, Slack: 50},
		Uptime: func() time.Duration { return time.Since(began) },
	})
	t.Cleanup(p.Close)
	for _, b := range f.Backends("") {
		p.BackendChanged(b)
	}
	p.ListRead(orders, time.Since(began))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.participants[id] = p
	return p
}

// TestNextDaemonConducts checks that the daemon after the first one conducts while that one takes no reports, writes the
// state until it is stored, and grants a share.
func TestNextDaemonConducts(t *testing.T) {
	orders := []order.Order{{Name: "rounds", Service: "rounds", Target: "v2", Duration: time.Minute, Revision: 7}}
	first := candidates("rounds", []member.ID{"vm-1", "vm-2", "vm-3"})
	f := &localFleet{participants: map[member.ID]*Participant{}, dead: map[member.ID]bool{first[0]: true}, failures: 1}
	next, last := f.start(t, first[1], orders), f.start(t, first[2], orders)
	deadline := time.Now().Add(10 * time.Second)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for f.written() == 0 || last.Trial("rounds").Share == 0 {
		if time.Now().After(deadline) {
			t.Fatalf("%d states written, trial %+v", f.written(), last.Trial("rounds"))
		}
		<-ticker.C
	}
	if s := next.Status(); len(s) != 1 || !s[0].Conducts || s[0].Step != conductor.Trial {
		t.Errorf("%+v", s)
	}
	if s := last.Status(); len(s) != 1 || s[0].Conducts {
		t.Errorf("the last daemon: %+v", s)
	}
	var reply Reply
	unknown := Report{Order: order.Key{Name: "other"}}
	if err := next.Receiver().Report(unknown, &reply); err != nil || reply.Conducts {
		t.Errorf("an unknown order: %+v, %v", reply, err)
	}
	if err := f.Call(context.Background(), first[0], reportMethod, unknown, &reply); !errors.Is(err, rpc.ErrShutdown) {
		t.Errorf("the first daemon: %v", err)
	}
}
