package revision

import (
	"fmt"
	"testing"
	"time"

	"berylpass/config/snapshot"
	"berylpass/fleet/directory"
	"berylpass/fleet/member"
	"berylpass/fleet/membership"
	"berylpass/mesh"
	"berylpass/mesh/meshkey"
	"berylpass/store/memory"
)

// daemon is a follower that uses a real mesh and membership.
type daemon struct {
	node
	fleet *membership.Membership
	mesh  *mesh.Mesh
}

func startDaemon(t *testing.T, id member.ID, store *memory.Store, seeds ...string) *daemon {
	t.Helper()
	key, err := meshkey.New("secret-of-this-fleet")
	if err != nil {
		t.Fatal(err)
	}
	book := directory.New()
	link, err := mesh.New("127.0.0.1:0", key, book)
	if err != nil {
		t.Fatal(err)
	}
	self := member.New(id, "srem").WithAddresses(link.Address(), link.Address()).WithIncarnation(uint64(time.Now().UnixNano()))
	d := &daemon{mesh: link}
	d.view, d.changes = &fleetView{id: id}, make(chan snapshot.Snapshot, 100)
	d.fleet = membership.New(self, link, book, store, membership.WithSeeds(seeds...), membership.WithRandomSeed(1))
	d.Follower = New(unsignedVerifier{}, d.fleet, link, store, WithOnChange(func(s snapshot.Snapshot) { d.changes <- s }))
	for name, receiver := range map[string]any{membership.ServiceName: d.fleet.Receiver(), ServiceName: d.Receiver()} {
		if err := link.Register(name, receiver); err != nil {
			t.Fatal(err)
		}
	}
	link.Serve()
	t.Cleanup(func() {
		d.Close()
		d.fleet.Close()
		link.Close()
	})
	return d
}

// TestRevisionReachesDaemonsWithoutStore checks that a revision reaches daemons that can't
// reach the store, through the one that can, within the two seconds for which a withdrawn
// key may still work.
func TestRevisionReachesDaemonsWithoutStore(t *testing.T) {
	store, unreachable := memory.New(), memory.New()
	unreachable.SetFaults(memory.Faults{Unavailable: true})
	publish(t, store, 1, "a", "b")
	// Of these IDs vm-4 comes first in the order of watchers, so it watches from the start.
	first := startDaemon(t, "vm-4", store)
	fleet := []*daemon{first}
	for _, i := range []int{0, 1, 2, 3, 5} {
		fleet = append(fleet, startDaemon(t, member.ID(fmt.Sprintf("vm-%d", i)), unreachable, first.mesh.Address()))
	}
	for _, d := range fleet {
		d.await(t, 1)
	}
	published := time.Now()
	publish(t, store, 2, "a")
	for _, d := range fleet {
		d.await(t, 2)
		if _, known := d.Current().Organisations["b"]; known {
			t.Errorf("%s still serves the withdrawn organisation", d.view.id)
		}
	}
	took := time.Since(published)
	t.Logf("in force on %d daemons after %v", len(fleet), took)
	if took > 2*time.Second {
		t.Errorf("in force after %v, want at most 2 s", took)
	}
}
