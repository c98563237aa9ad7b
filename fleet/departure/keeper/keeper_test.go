package keeper

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"berylpass/fleet/departure"
	"berylpass/fleet/departure/recovery"
	"berylpass/fleet/member"
	"berylpass/store/memory"
	"berylpass/store/object"
)

// network is the Fleet and the Caller of all keepers of a test, and their Observer.
type network struct {
	t       *testing.T
	store   *memory.Store
	mu      sync.Mutex
	keepers map[member.ID]*Keeper
	// cut holds the daemons that can't be called.
	cut   map[member.ID]bool
	calls int
	// elapsed is how far the clock of all daemons is ahead of the real one.
	elapsed atomic.Int64
}

var errCut = errors.New("daemon can't be reached")

// newNetwork returns n daemons, vm-1 to vm-n, and their store. The daemons have run for a minute.
func newNetwork(t *testing.T, n int) *network {
	f := &network{t: t, store: memory.New(), keepers: map[member.ID]*Keeper{}, cut: map[member.ID]bool{}}
	for i := range n {
		f.start(vm(i + 1))
	}
	f.elapsed.Add(int64(time.Minute))
	return f
}

func (f *network) now() time.Time { return time.Now().Add(time.Duration(f.elapsed.Load())) }

func vm(n int) member.ID { return member.ID(fmt.Sprint("vm-", n)) }

// start starts a daemon, or starts it again without what it knew.
func (f *network) start(id member.ID) *Keeper {
	return f.startIn(f, id)
}

// startIn starts a daemon that knows the members of a fleet.
func (f *network) startIn(fleet Fleet, id member.ID) *Keeper {
	k := New(Parts{Self: id, Store: f.store, Fleet: fleet, Caller: f, Clock: f.now, Observer: f})
	f.t.Cleanup(k.Close)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepers[id] = k
	return k
}

// setCut sets whether a daemon can be called.
func (f *network) setCut(id member.ID, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[id] = cut
}

func (f *network) callsMade() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *network) Members() []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var members []member.Member
	for id := range f.keepers {
		members = append(members, member.New(id, "srem"))
	}
	return members
}

func (f *network) RecordsRead() bool { return true }

// newcomers is the Fleet of a daemon that has just started and knows only others that have.
type newcomers struct {
	members     []member.ID
	recordsRead bool
}

func (n newcomers) RecordsRead() bool { return n.recordsRead }

func (n newcomers) Members() []member.Member {
	var members []member.Member
	for _, id := range n.members {
		members = append(members, member.New(id, "srem"))
	}
	return members
}

func (f *network) Call(_ context.Context, to member.ID, method string, args, reply any) error {
	f.mu.Lock()
	f.calls++
	k, cut := f.keepers[to], f.cut[to]
	f.mu.Unlock()
	if k == nil || cut {
		return errCut
	}
	if method == keepMethod {
		return k.Receiver().Keep(args.(Copy), reply.(*bool))
	}
	return k.Receiver().Recall(args.(Query), reply.(*Copies))
}

func (f *network) DepartureNotStored(departure.Process, error) {}
func (f *network) DepartureNotKept(departure.Process, error)   {}

// recalled returns what the daemon vm-1 learns by way of a peer after a restart, if it couldn't
// read the list itself.
func (f *network) recalled(by member.ID) Copies {
	copies, err := f.start("vm-1").Recall(context.Background(), by, true)
	if err != nil {
		f.t.Fatal(err)
	}
	return copies
}

// awaitStored waits until the list of vm-1 in the store is as wanted.
func (f *network) awaitStored(what string, wanted func([]departure.Process) bool) {
	f.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		stored, err := departure.New(f.store, "vm-1", time.Now).Load(context.Background())
		if err == nil && wanted(stored) {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("stored %v, %v; want %s", stored, err, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestAcknowledgedDepartureSurvivesARestartWithoutStore guards against a departure that is
// acknowledged while the store is unavailable and forgotten at a restart: every peer must be
// able to tell of it, even after the loss of one that has a copy.
func TestAcknowledgedDepartureSurvivesARestartWithoutStore(t *testing.T) {
	f := newNetwork(t, 7)
	f.store.SetFaults(memory.Faults{Unavailable: true})
	if err := f.keepers["vm-1"].Add("i-1", 42); err != nil {
		t.Fatalf("the departure isn't kept: %v", err)
	}
	for lost := 2; lost <= 7; lost++ {
		f.setCut(vm(lost), true)
		for peer := 2; peer <= 7; peer++ {
			if peer == lost {
				continue
			}
			got := f.recalled(vm(peer))
			if !got.Complete || len(got.Processes) != 1 || got.Processes[0].ID != "i-1" || got.Processes[0].Incarnation != 42 {
				t.Errorf("without vm-%d, vm-%d tells %+v, want incarnation 42 of i-1", lost, peer, got)
			}
		}
		f.setCut(vm(lost), false)
	}
}

// TestNewcomerDoesNotAnswerForTheFleet guards against a late heartbeat that is accepted because the
// peer that was asked for the copies has restarted too, while the store is unavailable, and knows
// none of the daemons that hold them yet.
func TestNewcomerDoesNotAnswerForTheFleet(t *testing.T) {
	f := newNetwork(t, 7)
	f.store.SetFaults(memory.Faults{Unavailable: true})
	if err := f.keepers["vm-1"].Add("i-1", 42); err != nil {
		t.Fatal(err)
	}
	known := newcomers{members: []member.ID{"vm-1", "vm-2"}}
	f.startIn(known, "vm-2")
	if got := f.recalled("vm-2"); got.Complete {
		t.Errorf("a peer that knows no holder tells %+v, want it incomplete", got)
	}
	f.elapsed.Add(int64(recovery.MaxWait))
	if got := f.recalled("vm-2"); !got.Complete {
		t.Errorf("a peer that nobody has probed in the meantime tells %+v, want it complete", got)
	}
	known.recordsRead = true
	f.startIn(known, "vm-2")
	if got := f.recalled("vm-2"); !got.Complete {
		t.Errorf("a peer that has read the member records tells %+v, want it complete", got)
	}
}

// TestRestartedHolderIsNoProof guards against a late heartbeat that is accepted because a holder
// that has lost its copies in a restart counts like one that never had any.
func TestRestartedHolderIsNoProof(t *testing.T) {
	f := newNetwork(t, 5)
	f.store.SetFaults(memory.Faults{Unavailable: true})
	for _, id := range []member.ID{"vm-4", "vm-5"} {
		f.setCut(id, true)
	}
	if err := f.keepers["vm-1"].Add("i-1", 42); err != nil {
		t.Fatal(err)
	}
	for _, id := range []member.ID{"vm-4", "vm-5"} {
		f.setCut(id, false)
	}
	f.start("vm-2")
	f.setCut("vm-3", true)
	if got := f.recalled("vm-4"); got.Complete {
		t.Errorf("without vm-3, which has the only copy: %+v, want it incomplete", got)
	}
	f.setCut("vm-3", false)
	if got := f.recalled("vm-4"); !got.Complete || len(got.Processes) != 1 {
		t.Errorf("with vm-3: %+v, want it complete with the departure", got)
	}
	for _, id := range []member.ID{"vm-3", "vm-4", "vm-5"} {
		f.start(id)
	}
	if got := f.recalled("vm-4"); !got.Complete {
		t.Errorf("all holders have restarted and can tell nothing: %+v, want it complete", got)
	}
}

// TestNewcomersSufficeOnceTheListIsRead guards against a daemon that holds heartbeats for seconds,
// with the store available, because all daemons have been killed at once and one of the holders
// can't be reached.
func TestNewcomersSufficeOnceTheListIsRead(t *testing.T) {
	f := newNetwork(t, 5)
	for n := range 5 {
		f.start(vm(n + 1))
	}
	f.setCut("vm-3", true)
	for name, test := range map[string]struct{ available, readList, complete bool }{
		"the daemon has read the list": {true, false, true},
		"the peer reads it":            {true, true, true},
		"the list can't be read":       {false, true, false},
	} {
		f.store.SetFaults(memory.Faults{Unavailable: !test.available})
		got, err := f.keepers["vm-1"].Recall(context.Background(), "vm-2", test.readList)
		if err != nil || got.Complete != test.complete {
			t.Errorf("%s: %+v, %v; want complete %t", name, got, err, test.complete)
		}
	}
}

// TestDepartureThatNobodyKeepsIsNotAcknowledged guards against the acknowledgement of a
// departure that only the process itself knows of.
func TestDepartureThatNobodyKeepsIsNotAcknowledged(t *testing.T) {
	f := newNetwork(t, 3)
	f.store.SetFaults(memory.Faults{Unavailable: true})
	f.setCut("vm-2", true)
	k := f.keepers["vm-1"]
	if err := k.Add("i-1", 42); !errors.Is(err, ErrNotKept) || !errors.Is(err, object.ErrUnavailable) || !errors.Is(err, errCut) {
		t.Errorf("with one copy of two: %v, want ErrNotKept and the causes", err)
	}
	f.setCut("vm-2", false)
	if err := k.Add("i-1", 42); err != nil {
		t.Errorf("repeated, with both peers: %v", err)
	}
	f.store.SetFaults(memory.Faults{})
	for _, id := range []member.ID{"vm-2", "vm-3"} {
		f.setCut(id, true)
	}
	if err := k.Add("i-2", 43); err != nil {
		t.Errorf("with the store only: %v", err)
	}
}

// TestCopiedDepartureIsStoredLater checks that a departure which only other daemons have is
// stored when the store answers again, also by a daemon that has restarted in the meantime.
func TestCopiedDepartureIsStoredLater(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		f := newNetwork(t, 3)
		f.store.SetFaults(memory.Faults{Unavailable: true})
		k := f.keepers["vm-1"]
		if err := k.Add("i-1", 42); err != nil {
			t.Fatal(err)
		}
		if restarted {
			k.Close()
			k = f.start("vm-1")
			if _, err := k.Recall(context.Background(), "vm-2", false); err != nil {
				t.Fatal(err)
			}
		}
		f.store.SetFaults(memory.Faults{})
		k.StoreAnswered()
		f.awaitStored("incarnation 42 of i-1", func(stored []departure.Process) bool {
			return len(stored) == 1 && stored[0].Incarnation == 42
		})
	}
}

// TestPeersReadTheStoreForADaemonThatIsTurnedAway guards against a departed backend server that
// serves again because the store refuses only the daemon beside it, and the daemons with copies
// have restarted too.
func TestPeersReadTheStoreForADaemonThatIsTurnedAway(t *testing.T) {
	f := newNetwork(t, 3)
	if err := departure.New(f.store, "vm-1", time.Now).Add(context.Background(), departure.Process{ID: "i-1", Incarnation: 42}); err != nil {
		t.Fatal(err)
	}
	for _, readList := range []bool{false, true} {
		got, err := f.start("vm-1").Recall(context.Background(), "vm-2", readList)
		if err != nil || !got.Complete || (len(got.Processes) == 1) != readList {
			t.Errorf("the peer reads the list is %t: got %+v, %v", readList, got, err)
		}
	}
}

// TestRepeatedDepartureCostsNoCalls checks that a backend server that repeats that it drains
// causes no further calls.
func TestRepeatedDepartureCostsNoCalls(t *testing.T) {
	f := newNetwork(t, 3)
	k := f.keepers["vm-1"]
	for range 5 {
		if err := k.Add("i-1", 42); err != nil {
			t.Fatal(err)
		}
	}
	f.awaitStored("one departure", func(stored []departure.Process) bool { return len(stored) == 1 })
	k.Close()
	if calls := f.callsMade(); calls != 2 {
		t.Errorf("%d calls of peers, want one of each", calls)
	}
	if counts := f.store.Counts(); counts.Puts != 1 {
		t.Errorf("%d writes, want 1", counts.Puts)
	}
}

// TestDepartureWithoutIncarnationKeepsItsTime checks that a departure which states no
// incarnation is kept with the time of its latest announcement.
func TestDepartureWithoutIncarnationKeepsItsTime(t *testing.T) {
	f := newNetwork(t, 3)
	var now atomic.Int64
	now.Store(1_700_000_000_000)
	k := New(Parts{Self: "vm-1", Store: f.store, Fleet: f, Caller: f, Clock: func() time.Time { return time.UnixMilli(now.Load()) }, Observer: f})
	for range 2 {
		now.Add(time.Minute.Milliseconds())
		if err := k.Add("i-1", 0); err != nil {
			t.Fatal(err)
		}
	}
	defer k.Close()
	f.awaitStored("one departure with the time of the second announcement", func(stored []departure.Process) bool {
		return len(stored) == 1 && stored[0].StoredAt == now.Load()
	})
}

// TestUnstatedDepartureIsCopiedAnew guards against a departure that stated no incarnation and counts as kept, since an
// earlier process of the ID has left: neither the store nor a copy would have the time up to which processes are gone.
func TestUnstatedDepartureIsCopiedAnew(t *testing.T) {
	for name, unavailable := range map[string]bool{"stored": false, "copied": true} {
		f := newNetwork(t, 5)
		k := f.keepers["vm-1"]
		if err := k.Add("i-1", 42); err != nil {
			t.Fatal(err)
		}
		f.store.SetFaults(memory.Faults{Unavailable: unavailable})
		f.elapsed.Add(int64(time.Minute))
		before := f.now()
		if err := k.AddUnstated("i-1", 42); err != nil {
			t.Fatal(err)
		}
		got := f.recalled("vm-3").Processes
		if len(got) != 1 || !got[0].Unstated || got[0].StoredAt < before.UnixMilli() {
			t.Errorf("%s: recalled %v, want the second departure", name, got)
		}
	}
}
