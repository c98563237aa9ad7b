package revision

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"

	"berylpass/config/spread"
	"berylpass/fleet/member"
	"berylpass/store/object"
)

// errInvalidSource reports a daemon or a store that returned no configuration that passes
// verification.
var errInvalidSource = errors.New("source returned no valid configuration")

// pull fetches a revision and reports the outcome to spread.
func (f *Follower) pull(a spread.Pull) {
	ctx, cancel := context.WithTimeout(f.ctx, pullTimeout)
	defer cancel()
	next, err := f.fetch(ctx, a.From)
	if err != nil {
		if errors.Is(err, errInvalidSource) {
			f.refused(a.From, err)
		}
		f.update(spread.FetchFailed{
			Number: a.Number, Empty: errors.Is(err, object.ErrNotFound), Invalid: errors.Is(err, errInvalidSource),
		})
		return
	}
	if isOlder(next.snapshot, f.Current()) {
		f.refuseOlder(next.snapshot)
		f.update(spread.FetchFailed{Number: a.Number})
		return
	}
	if a.From == "" && next.snapshot.Revision < f.Current().Revision {
		f.refused(a.From, ErrBehind)
	}
	f.mu.Lock()
	f.pulled[a.Number] = next
	f.mu.Unlock()
	f.update(spread.Fetched{Number: a.Number, Revision: next.snapshot.Revision})
}

// fetch fetches and verifies the configuration of a daemon, or of the store if from is
// empty. Its error wraps errInvalidSource if the daemon has no manifest, or if the manifest or
// its chunks fail verification, but not if bytes can't be unpacked; and object.ErrNotFound if
// the store holds none.
func (f *Follower) fetch(ctx context.Context, from member.ID) (*verifiedRevision, error) {
	manifest, err := f.fetchManifest(ctx, from)
	if err != nil {
		return nil, err
	}
	held := f.applied.Load()
	if string(manifest) == string(held.signedManifest) {
		return held, nil
	}
	next := &verifiedRevision{signedManifest: manifest, chunks: map[[32]byte][]byte{}}
	complete := true
	next.snapshot, err = f.verifier.Open(ctx, manifest, func(ctx context.Context, digest [32]byte) ([]byte, error) {
		chunk, err := f.fetchChunk(ctx, from, held, digest)
		if err != nil {
			complete = false
			return nil, err
		}
		next.chunks[digest] = chunk
		return chunk, nil
	})
	switch {
	case err == nil:
		return next, nil
	case complete:
		return nil, fmt.Errorf("%w: %w", errInvalidSource, err)
	default:
		// The error isn't wrapped: a missing chunk must not look like an empty store.
		return nil, fmt.Errorf("fetch a chunk: %s", err.Error())
	}
}

// fetchManifest fetches the signed manifest of a daemon, or of the store if from is empty.
func (f *Follower) fetchManifest(ctx context.Context, from member.ID) ([]byte, error) {
	if from == "" && f.proof != nil {
		o, err := f.lastStored()
		return o.Value, err
	}
	if from == "" {
		o, err := f.store.Get(ctx, CurrentKey)
		return o.Value, err
	}
	held := f.applied.Load()
	var reply Document
	if err := f.caller.Call(ctx, from, manifestMethod, Request{Held: held.digest()}, &reply); err != nil {
		return nil, err
	}
	if reply.Revision == 0 {
		return nil, errInvalidSource
	}
	if reply.Relative {
		return unpack(reply.Packed, held.signedManifest)
	}
	return unpack(reply.Packed, nil)
}

// fetchChunk returns a chunk from the revision held, else from the daemon that the manifest
// came from, else from the store.
func (f *Follower) fetchChunk(ctx context.Context, from member.ID, held *verifiedRevision, digest [32]byte) ([]byte, error) {
	if chunk, ok := held.chunks[digest]; ok {
		return chunk, nil
	}
	if from != "" {
		chunk, err := f.askChunk(ctx, from, held, digest)
		if err == nil && sha256.Sum256(chunk) == digest {
			return chunk, nil
		}
	}
	o, err := f.store.Get(ctx, ChunkPrefix+hex.EncodeToString(digest[:]))
	return o.Value, err
}

// askChunk fetches a chunk from a daemon. The caller checks its digest.
func (f *Follower) askChunk(ctx context.Context, from member.ID, held *verifiedRevision, digest [32]byte) ([]byte, error) {
	var reply Chunk
	err := f.caller.Call(ctx, from, chunkMethod, Request{Chunk: digest, Held: held.digest()}, &reply)
	if err != nil {
		return nil, err
	}
	if !reply.Found {
		return nil, object.ErrNotFound
	}
	dictionary, err := held.dictionary(reply.Dictionary)
	if err != nil {
		return nil, err
	}
	return unpack(reply.Packed, dictionary)
}

// currentAndPrevious returns the revision in force and the one before.
func (f *Follower) currentAndPrevious() (current, previous *verifiedRevision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied.Load(), f.previous
}

// Chunks returns the chunks of the configuration in force, by digest.
func (f *Follower) Chunks() map[[32]byte][]byte { return maps.Clone(f.applied.Load().chunks) }
