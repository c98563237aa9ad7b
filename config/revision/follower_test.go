package revision

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"berylpass/config/organisation"
	"berylpass/config/snapshot"
	"berylpass/fleet/member"
	"berylpass/store/memory"
)

// testTimeout bounds the wait for a revision to be in force.
const testTimeout = 15 * time.Second

// unsignedVerifier is a Verifier of unsigned manifests.
type unsignedVerifier struct{}

// unsignedManifest holds a revision and the digests, in hex, of its chunks. The value of a
// chunk is the name of an organisation.
type unsignedManifest struct {
	Revision uint64   `json:"revision"`
	Chunks   []string `json:"chunks"`
}

func (unsignedVerifier) Open(ctx context.Context, manifest []byte, fetch func(context.Context, [32]byte) ([]byte, error)) (snapshot.Snapshot, error) {
	var m unsignedManifest
	if err := json.Unmarshal(manifest, &m); err != nil {
		return snapshot.Snapshot{}, err
	}
	s := snapshot.New(m.Revision)
	for _, text := range m.Chunks {
		raw, _ := hex.DecodeString(text)
		name, err := fetch(ctx, [32]byte(raw))
		if err != nil {
			return snapshot.Snapshot{}, err
		}
		s = s.WithOrganisation(organisation.New(string(name)))
	}
	return s.Index(), nil
}

// publish writes a revision with the named organisations to the store.
func publish(t *testing.T, store *memory.Store, revision uint64, names ...string) {
	t.Helper()
	m := unsignedManifest{Revision: revision}
	for _, name := range names {
		digest := sha256.Sum256([]byte(name))
		m.Chunks = append(m.Chunks, hex.EncodeToString(digest[:]))
		_, _ = store.Put(t.Context(), ChunkPrefix+hex.EncodeToString(digest[:]), []byte(name), 0)
	}
	value, _ := json.Marshal(m)
	present, _ := store.Get(t.Context(), CurrentKey)
	if _, err := store.Put(t.Context(), CurrentKey, value, present.Version); err != nil {
		t.Fatal(err)
	}
}

// fleet connects followers by direct calls of their receivers.
type fleet struct {
	mu        sync.Mutex
	receivers map[member.ID]*Receiver
	// chunkCalls is the number of calls for a chunk, by caller.
	chunkCalls map[member.ID]int
}

// fleetView is one daemon's view of the fleet. It is its Fleet and its Caller.
type fleetView struct {
	fleet    *fleet
	id       member.ID
	watches  bool
	isolated bool
	heard    func(uint64, member.ID)
}

func (v *fleetView) Self() member.ID                          { return v.id }
func (v *fleetView) Watchers() (local, remote []member.ID)    { return nil, nil }
func (v *fleetView) RecordsRead() bool                        { return true }
func (v *fleetView) WatchesStore() bool                       { return v.watches }
func (v *fleetView) Isolated(time.Time) bool                  { return v.isolated }
func (v *fleetView) SetRevision(uint64)                       {}
func (v *fleetView) OnRevision(heard func(uint64, member.ID)) { v.heard = heard }

func (v *fleetView) Neighbours() []member.ID {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	var others []member.ID
	for id := range v.fleet.receivers {
		if id != v.id {
			others = append(others, id)
		}
	}
	return others
}

// joiner is the Fleet of a daemon that joins during the first call of Neighbours, which
// still returns no peers.
type joiner struct {
	*fleetView
	joined atomic.Bool
}

func (j *joiner) RecordsRead() bool { return j.joined.Load() }

func (j *joiner) Neighbours() []member.ID {
	if !j.joined.Swap(true) {
		return nil
	}
	return j.fleetView.Neighbours()
}

// TestJoinDuringTickWaitsForPeers guards against a daemon that is ready with a lower
// revision than its peers: the store was restored from a backup, and the daemon joins the
// fleet between the reads of RecordsRead and Neighbours for one tick. It must still hear a peer
// before it is ready.
func TestJoinDuringTickWaitsForPeers(t *testing.T) {
	store, f := memory.New(), &fleet{receivers: map[member.ID]*Receiver{}, chunkCalls: map[member.ID]int{}}
	publish(t, store, 1)
	restored := store.Backup()
	publish(t, store, 2)
	old := f.start(t, "vm-1", store, true)
	old.await(t, 2)
	store.Restore(restored)
	j := &joiner{fleetView: &fleetView{fleet: f, id: "vm-2"}}
	n := &node{view: j.fleetView, changes: make(chan snapshot.Snapshot, 100)}
	n.Follower = New(unsignedVerifier{}, j, j, store, WithOnChange(func(s snapshot.Snapshot) { n.changes <- s }))
	t.Cleanup(n.Close)
	n.await(t, 1)
	if err := n.Ready(time.Now()); err == nil && n.Current().Revision < 2 {
		t.Errorf("ready at revision %d before a peer was heard", n.Current().Revision)
	}
	j.heard(2, "vm-1")
	n.await(t, 2)
}

func (v *fleetView) Call(_ context.Context, to member.ID, method string, args, reply any) error {
	v.fleet.mu.Lock()
	r := v.fleet.receivers[to]
	if method == chunkMethod {
		v.fleet.chunkCalls[v.id]++
	}
	v.fleet.mu.Unlock()
	switch method {
	case noticeMethod:
		return r.Notice(args.(Notice), reply.(*Notice))
	case manifestMethod:
		return r.Manifest(args.(Request), reply.(*Document))
	default:
		return r.Chunk(args.(Request), reply.(*Chunk))
	}
}

// node is a follower in a fleet.
type node struct {
	*Follower
	view    *fleetView
	changes chan snapshot.Snapshot
	// inForce holds the revisions put in force, in order, as far as they were read from changes.
	inForce []uint64
}

// start adds a daemon to the fleet and starts its follower.
func (f *fleet) start(t *testing.T, id member.ID, store Store, watches bool) *node {
	t.Helper()
	n := &node{view: &fleetView{fleet: f, id: id, watches: watches}, changes: make(chan snapshot.Snapshot, 100)}
	n.Follower = New(unsignedVerifier{}, n.view, n.view, store, WithOnChange(func(s snapshot.Snapshot) { n.changes <- s }))
	f.mu.Lock()
	f.receivers[id] = n.Receiver()
	f.mu.Unlock()
	t.Cleanup(n.Close)
	return n
}

// await reads changes until the given revision or a higher one is in force.
func (n *node) await(t *testing.T, revision uint64) {
	t.Helper()
	deadline := time.After(testTimeout)
	for len(n.inForce) == 0 || n.inForce[len(n.inForce)-1] < revision {
		select {
		case s := <-n.changes:
			n.inForce = append(n.inForce, s.Revision)
		case <-deadline:
			t.Fatalf("%s at revision %d, want %d", n.view.id, n.Current().Revision, revision)
		}
	}
}

// TestRevisionSpreadsFromDaemonThatReadsStore checks that a daemon which can't reach the
// store gets revisions from its peer, and only the chunks that it lacks.
func TestRevisionSpreadsFromDaemonThatReadsStore(t *testing.T) {
	store, unreachable := memory.New(), memory.New()
	unreachable.SetFaults(memory.Faults{Unavailable: true})
	f := &fleet{receivers: map[member.ID]*Receiver{}, chunkCalls: map[member.ID]int{}}
	publish(t, store, 1, "a", "b", "c")
	first := f.start(t, "vm-1", store, true)
	first.await(t, 1)
	second := f.start(t, "vm-2", unreachable, false)
	second.view.heard(1, "vm-1")
	second.await(t, 1)
	publish(t, store, 2, "a", "b", "d")
	first.await(t, 2)
	var reply Notice
	_ = second.Receiver().Notice(Notice{Revision: 2, From: "vm-1"}, &reply)
	second.await(t, 2)
	if _, known := second.Current().Organisations["d"]; !known {
		t.Error("organisation d of revision 2 is missing")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.chunkCalls["vm-2"] != 4 {
		t.Errorf("%d chunks fetched, want 4: three, then the one that changed", f.chunkCalls["vm-2"])
	}
}

// TestLowerRevisionInStoreIsIgnored checks that a daemon doesn't go back to a lower
// revision after the store was restored from a backup.
func TestLowerRevisionInStoreIsIgnored(t *testing.T) {
	store := memory.New()
	f := &fleet{receivers: map[member.ID]*Receiver{}, chunkCalls: map[member.ID]int{}}
	publish(t, store, 3, "a")
	backup := store.Backup()
	publish(t, store, 5, "a", "b")
	n := f.start(t, "vm-1", store, true)
	n.await(t, 5)
	store.Restore(backup)
	publish(t, store, 4, "c")
	publish(t, store, 6, "d")
	n.await(t, 6)
	n.Close()
	for len(n.changes) > 0 {
		s := <-n.changes
		n.inForce = append(n.inForce, s.Revision)
	}
	if !slices.Equal(n.inForce, []uint64{5, 6}) {
		t.Errorf("revisions %v were put in force, want 5 and 6", n.inForce)
	}
}

func TestReadyReportsReason(t *testing.T) {
	store := memory.New()
	f := &fleet{receivers: map[member.ID]*Receiver{}, chunkCalls: map[member.ID]int{}}
	n := f.start(t, "vm-1", store, true)
	if err := n.Ready(time.Now()); !errors.Is(err, ErrNoConfiguration) {
		t.Errorf("without configuration: %v, want ErrNoConfiguration", err)
	}
	publish(t, store, 1, "a")
	n.await(t, 1)
	n.view.isolated = true
	// A fleet of one daemon has no peers to hear: it is caught up once the store has answered.
	if err := n.Ready(time.Now()); !errors.Is(err, ErrIsolated) {
		t.Errorf("isolated: %v, want ErrIsolated", err)
	}
	n.view.isolated = false
	if err := n.Ready(time.Now()); err != nil {
		t.Error(err)
	}
}
