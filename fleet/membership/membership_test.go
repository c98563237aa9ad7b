package membership

import (
	"context"
	"fmt"
	"testing"
	"time"

	"berylpass/fleet/backend"
	"berylpass/fleet/directory"
	"berylpass/fleet/member"
	"berylpass/fleet/roster"
	"berylpass/mesh"
	"berylpass/mesh/meshkey"
	"berylpass/platform/client"
	"berylpass/platform/standin"
	"berylpass/store/memory"
)

const testTimeout = 15 * time.Second

// daemon is a membership over a real mesh. The arguments of its callbacks are sent to
// events.
type daemon struct {
	*Membership
	mesh   *mesh.Mesh
	events chan any
}

// startDaemon starts a daemon on loopback and closes it at the end of the test.
func startDaemon(t testing.TB, id member.ID, store *client.Client, seeds ...string) *daemon {
	t.Helper()
	key, err := meshkey.New("secret-of-this-fleet")
	if err != nil {
		t.Fatal(err)
	}
	dir := directory.New()
	node, err := mesh.New("127.0.0.1:0", key, dir)
	if err != nil {
		t.Fatal(err)
	}
	d := &daemon{mesh: node, events: make(chan any, 1000)}
	self := member.New(id, "srem").WithAddresses(node.Address(), node.Address()).WithIncarnation(uint64(time.Now().UnixNano()))
	d.Membership = New(self, node, dir, store, WithSeeds(seeds...), WithRandomSeed(1),
		WithOnMember(func(m member.Member) { d.events <- m }),
		WithOnBackend(func(b backend.Backend) { d.events <- b }))
	d.OnRevision(func(revision uint64, from member.ID) { d.events <- fmt.Sprint(from, " has ", revision) })
	if err := node.Register(ServiceName, d.Receiver()); err != nil {
		t.Fatal(err)
	}
	node.Serve()
	t.Cleanup(func() {
		d.Close()
		node.Close()
	})
	return d
}

// await reads events until done returns true; done is called at once and after each
// event. It fails the test after testTimeout.
func (d *daemon) await(t *testing.T, what string, done func() bool) {
	t.Helper()
	deadline := time.After(testTimeout)
	for !done() {
		select {
		case <-d.events:
		case <-deadline:
			t.Fatalf("timed out waiting until %s; members %v", what, d.Members())
		}
	}
}

// state returns the name of a member's state, "unknown" if it is not in the table.
func (d *daemon) state(id member.ID) string {
	m, ok := d.Member(id)
	if !ok {
		return "unknown"
	}
	return m.State.String()
}

// TestManyStartsTakeFewWatches writes the records of 100 daemons within 2 s and counts
// the watch calls of another daemon. Without a pause between watches, each record would
// cost every watcher one call to the store.
func TestManyStartsTakeFewWatches(t *testing.T) {
	const starts, period, maxWatches = 100, 2 * time.Second, 10
	platform, err := standin.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	store := client.New("http://"+platform.Address(), client.WithSeed(1))
	defer store.Close()
	startDaemon(t, "vm-a", store)
	before := platform.Store().Counts().Watches
	ticker := time.NewTicker(period / starts)
	defer ticker.Stop()
	for n := range starts {
		<-ticker.C
		id := member.ID(fmt.Sprintf("vm-%d", n))
		value, err := encodeRecord(roster.Record{
			Member: member.New(id, "gniezno").WithAddresses("127.0.0.1:1", "127.0.0.1:1").WithIncarnation(1), Version: 1,
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Put(context.Background(), recordKey(id), value, 0); err != nil {
			t.Fatal(err)
		}
	}
	if watches := platform.Store().Counts().Watches - before; watches == 0 || watches > maxWatches {
		t.Errorf("%d watches for %d starts in %s, want 1 to %d", watches, starts, period, maxWatches)
	}
}

// TestDaemonsDiscoverEachOtherAndDepart lets daemons join by the store and, during an
// outage of it, by a seed, and checks that changes, reports and an orderly departure
// reach the others.
func TestDaemonsDiscoverEachOtherAndDepart(t *testing.T) {
	platform, err := standin.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	store := client.New("http://"+platform.Address(), client.WithSeed(1))
	defer store.Close()
	a, b := startDaemon(t, "vm-a", store), startDaemon(t, "vm-b", store)
	a.await(t, "a knows b", func() bool { return a.state("vm-b") == "serving" })
	b.Announce(backend.New("rounds-1", "rounds", "vm-b").WithSlots(4).WithIncarnation(1))
	b.SetRevision(7)
	a.await(t, "a knows the backend server", func() bool { return len(a.Backends("rounds")) == 1 })
	a.await(t, "a heard b's revision", func() bool { m, _ := a.Member("vm-b"); return m.Revision == 7 })

	platform.Store().SetFaults(memory.Faults{Unavailable: true})
	c := startDaemon(t, "vm-c", store, a.mesh.Address())
	b.await(t, "b knows c", func() bool { return b.state("vm-c") == "serving" })
	c.await(t, "c knows the backend server", func() bool { return len(c.Backends("rounds")) == 1 })
	platform.Store().SetFaults(memory.Faults{})

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if reports := a.Reports(ctx); len(reports) != 3 || reports["vm-b"].Revision != 7 {
		t.Errorf("reports %v, want three and revision 7 of vm-b", reports)
	}
	if err := b.Leave(ctx); err != nil {
		t.Fatal(err)
	}
	a.await(t, "a sees b leaving", func() bool { return a.state("vm-b") == "leaving" })
	if err := b.Depart(ctx); err != nil {
		t.Fatal(err)
	}
	a.await(t, "a sees b dead", func() bool { return a.state("vm-b") == "dead" })
	if left := a.Backends("rounds"); len(left) != 0 {
		t.Errorf("backend servers of a departed daemon: %v, want none", left)
	}
	if _, err := store.Get(ctx, recordKey("vm-b")); err == nil {
		t.Error("the record of a departed daemon is still in the store")
	}
}
