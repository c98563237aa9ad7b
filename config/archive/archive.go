// Package archive stores the configuration and its history in the platform's object store. The
// revision in force is here the one that was published last; a daemon may not have it yet.
//
// The store holds, under config/:
//
//	config/current           the signed manifest in force, changed by conditional writes only
//	config/chunk/DIGEST      the chunks of the configuration, by the digest of their content
//	config/note/DIGEST       the texts of release notes, by the digest of their content
//	config/history/REVISION  the signed manifests of the last revisions
//
// Publish writes the chunks and the note that a manifest references first and replaces
// config/current last, so all parts of a manifest in force are in the store. If operators
// publish concurrently on the same base, one succeeds; the others get ErrConflict, and
// their notes must be signed again on the new base.
//
// # Usage
//
//	a := archive.New(store, verifier)
//	head, err := a.Head(ctx)
//	current, err := a.Load(ctx, head)
//	err = a.Publish(ctx, head, archive.Publication{Envelope: e, Chunks: chunks, Note: text})
//	if errors.Is(err, archive.ErrConflict) { ... }
package archive

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"berylpass/config/chunk"
	"berylpass/config/manifest"
	"berylpass/config/signature"
	"berylpass/config/snapshot"
	"berylpass/store/object"
)

// CurrentKey is the key in the store of the signed manifest in force.
const CurrentKey = "config/current"

const (
	historyPrefix = "config/history/"
	notePrefix    = "config/note/"
	// chunkPrefix is the prefix of chunk.Key.
	chunkPrefix = "config/chunk/"
)

// ErrConflict reports that another revision was published on the same base.
var ErrConflict = errors.New("another revision was published on this base")

// Store is the part of the platform's object API that an Archive uses; package object
// describes the methods.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	List(ctx context.Context, prefix string) ([]object.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (object.Object, error)
	Delete(ctx context.Context, key string, ifVersion uint64) error
}

// Head is the revision published last, as the store holds it.
type Head struct {
	// Manifest is empty at revision 0.
	Manifest manifest.Manifest
	// Version is the store's version of CurrentKey, 0 at revision 0.
	Version uint64

	// envelope is the signed manifest as it is stored.
	envelope []byte
}

// Base returns the digest that the next manifest must have as its base: zero at revision 0.
func (h Head) Base() manifest.Digest {
	if h.Manifest.Revision == 0 {
		return manifest.Digest{}
	}
	return h.Manifest.Digest()
}

// Archive reads and publishes revisions in a store. It is safe for concurrent use if the
// store is.
type Archive struct {
	store    Store
	verifier *signature.Verifier
	// keepRevisions is the least number of revisions before the one in force that stay in
	// the store.
	keepRevisions uint64
	// cleanInterval is the number of revisions from one cleaning to the next.
	cleanInterval uint64
}

const (
	// KeepRevisions is the least number of revisions before the one in force that stay in the store.
	KeepRevisions = 128
	// CleanInterval is the number of revisions from one cleaning of the store to the next.
	CleanInterval = 16
)

// New returns the archive in a store. It accepts only manifests that pass the verifier.
func New(store Store, verifier *signature.Verifier) *Archive {
	return &Archive{store: store, verifier: verifier, keepRevisions: KeepRevisions, cleanInterval: CleanInterval}
}

// Head returns the revision in force after checking its signatures. If the store holds
// none, it returns the zero Head, revision 0.
func (a *Archive) Head(ctx context.Context) (Head, error) {
	o, err := a.store.Get(ctx, CurrentKey)
	if errors.Is(err, object.ErrNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, fmt.Errorf("read the revision in force: %w", err)
	}
	m, err := a.verifier.Manifest(o.Value)
	if err != nil {
		return Head{}, fmt.Errorf("verify the revision in force: %w", err)
	}
	return Head{Manifest: m, Version: o.Version, envelope: o.Value}, nil
}

// Load fetches the chunks of a revision, checks their digests and returns the configuration.
func (a *Archive) Load(ctx context.Context, h Head) (snapshot.Snapshot, error) {
	if h.Manifest.Revision == 0 {
		return snapshot.New(0), nil
	}
	return signature.Assemble(ctx, h.Manifest, a.FetchChunk)
}

// FetchChunk returns the bytes stored under a chunk's digest. The caller must check the digest.
func (a *Archive) FetchChunk(ctx context.Context, digest [32]byte) ([]byte, error) {
	o, err := a.store.Get(ctx, chunk.Key(digest))
	return o.Value, err
}

// Note returns the text of the release note of a revision after checking its digest. The
// error wraps signature.ErrDigest if the digest doesn't match.
func (a *Archive) Note(ctx context.Context, m manifest.Manifest) ([]byte, error) {
	o, err := a.store.Get(ctx, noteKey(m.Note))
	if err != nil {
		return nil, fmt.Errorf("note of revision %d: %w", m.Revision, err)
	}
	if sha256.Sum256(o.Value) != m.Note {
		return nil, fmt.Errorf("note of revision %d: %w", m.Revision, signature.ErrDigest)
	}
	return o.Value, nil
}

// noteKey returns the key in the store of a release note.
func noteKey(d manifest.Digest) string { return notePrefix + hex.EncodeToString(d[:]) }

// historyKey returns the key in the store of a manifest in the history. Keys sort by revision.
func historyKey(revision uint64) string { return fmt.Sprintf("%s%020d", historyPrefix, revision) }
