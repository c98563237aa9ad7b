package archive

import (
	"crypto/ed25519"
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"berylpass/config/manifest"
	"berylpass/config/organisation"
	"berylpass/config/signature"
	"berylpass/config/snapshot"
	"berylpass/store/object"
)

// TestMain fixes the seed and the number of rapid's checks. For a longer run:
// go test ./config/archive -rapid.seed=0 -rapid.checks=5000.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "100")
	os.Exit(m.Run())
}

// private returns a private key derived from a name.
func private(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

// newArchive returns an archive with two owners that keeps two revisions and cleans at each.
func newArchive(s Store) *Archive {
	owners := map[string]ed25519.PublicKey{}
	for _, name := range []string{"ola", "marek"} {
		owners[name] = private(name).Public().(ed25519.PublicKey)
	}
	a := New(s, signature.NewVerifier(owners))
	a.keepRevisions, a.cleanInterval = 2, 1
	return a
}

// revision returns a signed revision on head that sets the limit of one organisation.
// Callers use few names and limits, so that chunks of earlier revisions recur.
func revision(head Head, current snapshot.Snapshot, name string, burst int) Publication {
	next := current.WithRevision(current.Revision + 1).WithOrganisation(organisation.New(name).WithLimit(1, burst))
	note := []byte(fmt.Sprintf("%s %d on %d", name, burst, current.Revision))
	m, chunks, err := manifest.New(next, head.Base(), note)
	if err != nil {
		panic(err)
	}
	e := signature.NewEnvelope(m.Encode()).
		With(signature.Sign("ola", private("ola"), m.Digest())).
		With(signature.Sign("marek", private("marek"), m.Digest()))
	return Publication{Envelope: e, Chunks: chunks, Note: note}
}

// racingOperators simulates operators who publish on one store. Any call to the store may
// fail, lose its answer, or be preceded by a whole publication of another operator.
type racingOperators struct {
	t       *rapid.T
	store   *memory
	archive *Archive
	// depth is the number of publications under way, each within a call of the one before.
	depth int
	// noFaults turns faults and races off.
	noFaults bool
	// published holds the digests of the revisions for which Publish succeeded, refused those
	// for which it returned ErrConflict.
	published, refused map[manifest.Digest]bool
}

// before is the hook of the store: it draws a fault or a concurrent publication.
func (o *racingOperators) before(call, _ string) (error, bool) {
	if o.noFaults {
		return nil, true
	}
	if o.depth < 2 && rapid.IntRange(0, 9).Draw(o.t, "overtaken") == 0 {
		o.publish()
	}
	switch rapid.IntRange(0, 19).Draw(o.t, "fault") {
	case 0:
		return object.ErrUnavailable, false
	case 1:
		if call == "put" || call == "delete" {
			return object.ErrUnknown, false
		}
	case 2:
		if call == "put" || call == "delete" {
			return object.ErrUnknown, true
		}
	}
	return nil, true
}

// publish publishes a random revision on the head twice and records what Publish returned.
func (o *racingOperators) publish() {
	o.depth++
	defer func() { o.depth-- }()
	ctx := o.t.Context()
	head, err := o.archive.Head(ctx)
	if err != nil {
		return
	}
	current, err := o.archive.Load(ctx, head)
	if err != nil {
		// The head may have been replaced, and its chunks removed, since it was read.
		return
	}
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(o.t, "organisation")
	r := revision(head, current, name, rapid.IntRange(1, 2).Draw(o.t, "burst"))
	m, _ := manifest.Parse(r.Envelope.Manifest)
	for range 2 {
		err = o.archive.Publish(ctx, head, r)
		switch {
		case err == nil:
			o.published[m.Digest()] = true
		case errors.Is(err, ErrConflict):
			o.refused[m.Digest()] = true
		}
	}
}

// checkChain extends the chain of the digests of all revisions put in force, by the history
// in the store, and compares it with what Publish returned to the operators.
func (o *racingOperators) checkChain(chain []manifest.Digest) []manifest.Digest {
	o.noFaults = true
	defer func() { o.noFaults = false }()
	head, err := o.archive.Head(o.t.Context())
	if err != nil {
		o.t.Fatal(err)
	}
	if _, err := o.archive.Load(o.t.Context(), head); err != nil {
		o.t.Fatalf("load the revision in force: %v", err)
	}
	past, err := o.archive.History(o.t.Context())
	if err != nil {
		o.t.Fatal(err)
	}
	for i := len(past) - 1; i >= 0; i-- {
		if past[i].Revision == uint64(len(chain)+1) {
			chain = append(chain, past[i].Digest())
		}
	}
	if uint64(len(chain)) < head.Manifest.Revision {
		o.t.Fatalf("revision %d is in force, but the history ends at revision %d", head.Manifest.Revision, len(chain))
	}
	inChain := map[manifest.Digest]bool{}
	for _, d := range chain {
		inChain[d] = true
		if o.refused[d] {
			o.t.Fatal("a revision for which Publish returned ErrConflict was published")
		}
	}
	for d := range o.published {
		if !inChain[d] {
			o.t.Fatal("a revision for which Publish succeeded is not in the chain")
		}
	}
	return chain
}

// TestConcurrentPublishOnFaultyStore checks that concurrent publications with faults of the
// store leave one chain of complete revisions, and that Publish reports truthfully which
// revisions are in it.
func TestConcurrentPublishOnFaultyStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &racingOperators{t: t, store: newMemory(), published: map[manifest.Digest]bool{}, refused: map[manifest.Digest]bool{}}
		o.archive = newArchive(o.store)
		// All revisions stay in the history, so that the chain can be read from it.
		o.archive.keepRevisions = 1000
		if rapid.Bool().Draw(t, "clean") {
			o.archive.keepRevisions = 3
		}
		o.store.before = o.before
		var chain []manifest.Digest
		for range rapid.IntRange(1, 8).Draw(t, "publications") {
			o.publish()
			if o.archive.keepRevisions == 1000 {
				chain = o.checkChain(chain)
				continue
			}
			o.checkComplete()
		}
	})
}

// checkComplete checks that cleaning has left all parts of the revision in force and of
// those to keep in the history.
func (o *racingOperators) checkComplete() {
	o.noFaults = true
	defer func() { o.noFaults = false }()
	past, err := o.archive.History(o.t.Context())
	if err != nil {
		o.t.Fatal(err)
	}
	for i, m := range past {
		if uint64(i) > o.archive.keepRevisions {
			return
		}
		if _, err := o.archive.Load(o.t.Context(), Head{Manifest: m}); err != nil {
			o.t.Fatalf("load revision %d: %v", m.Revision, err)
		}
		if _, err := o.archive.Note(o.t.Context(), m); err != nil {
			o.t.Fatal(err)
		}
	}
}

// TestCleaningBoundsTheStore checks that the store doesn't grow with each revision.
func TestCleaningBoundsTheStore(t *testing.T) {
	store := newMemory()
	a := newArchive(store)
	for i := range 40 {
		head, err := a.Head(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		current, err := a.Load(t.Context(), head)
		if err != nil {
			t.Fatal(err)
		}
		if err := a.Publish(t.Context(), head, revision(head, current, "a", i+1)); err != nil {
			t.Fatal(err)
		}
	}
	// The head; and for it and each of the two revisions before it, a manifest in the history,
	// a chunk and a note.
	if n := len(store.objects); n != 10 {
		t.Errorf("store holds %d objects, want 10", n)
	}
	if m, err := a.Revision(t.Context(), 38); err != nil || m.Revision != 38 {
		t.Errorf("revision 38: %v", err)
	}
	if _, err := a.Revision(t.Context(), 37); !errors.Is(err, object.ErrNotFound) {
		t.Errorf("revision 37: got %v, want ErrNotFound", err)
	}
}

func TestPublishNeedsTwoSignatures(t *testing.T) {
	store := newMemory()
	a := newArchive(store)
	r := revision(Head{}, snapshot.New(0), "a", 1)
	r.Envelope.Signatures = r.Envelope.Signatures[:1]
	if err := a.Publish(t.Context(), Head{}, r); !errors.Is(err, signature.ErrNotSigned) || len(store.objects) > 0 {
		t.Errorf("got %v and %d objects in the store, want ErrNotSigned and 0", err, len(store.objects))
	}
}

// TestPublishNeedsFewStoreCalls checks that publishing a change of one organisation takes at
// most five calls to the store, however many organisations there are.
func TestPublishNeedsFewStoreCalls(t *testing.T) {
	for _, organisations := range []int{1400, 7000, 14000} {
		store := newMemory()
		a := New(store, newArchive(store).verifier)
		current := snapshot.New(0)
		for i := range organisations {
			name := fmt.Sprintf("organisation-%05d", i)
			current.Organisations[name] = organisation.New(name).WithLimit(1, 1)
		}
		for _, burst := range []int{2, 3} {
			head, err := a.Head(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			store.calls = 0
			if err := a.Publish(t.Context(), head, revision(head, current, "organisation-00042", burst)); err != nil {
				t.Fatal(err)
			}
			t.Logf("%d organisations, revision %d: %d calls", organisations, head.Manifest.Revision+1, store.calls)
			current = current.WithRevision(head.Manifest.Revision + 1)
		}
		// Writes of the chunk, the note, the manifest in force and its entry in the history;
		// one read of the base in the history.
		if store.calls > 5 {
			t.Errorf("%d organisations: publishing a change takes %d calls, want at most 5", organisations, store.calls)
		}
	}
}
