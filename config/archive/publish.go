package archive

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"berylpass/config/chunk"
	"berylpass/config/manifest"
	"berylpass/config/signature"
	"berylpass/store/object"
)

// maxTries is the number of times that a write is tried if its outcome is unknown or its
// version conflicts.
const maxTries = 5

// Publication is a revision to publish.
type Publication struct {
	// Envelope holds the manifest and its signatures.
	Envelope signature.Envelope
	// Chunks holds all chunks of the manifest.
	Chunks []chunk.Chunk
	// Note is the text of the release note.
	Note []byte
}

// Publish puts a revision in force that was made on head. Publish is idempotent: it
// succeeds if the revision has been published already. Its error wraps ErrConflict if
// another revision was published on the same base, signature.ErrNotSigned, or an error of
// the store. After object.ErrUnknown the revision may have been published; publish it
// again to find out.
func (a *Archive) Publish(ctx context.Context, head Head, r Publication) error {
	envelope := r.Envelope.Encode()
	m, err := a.verifier.Manifest(envelope)
	if err != nil {
		return err
	}
	if done, err := a.published(ctx, head, m); done || err != nil {
		return err
	}
	if err := a.putParts(ctx, head, m, r); err != nil {
		return err
	}
	if err := a.ensureHistory(ctx, head); err != nil {
		return err
	}
	return a.replaceCurrent(ctx, head, m, envelope)
}

// published reports whether m has been published: it is head, or in the history of head.
// Otherwise the error is nil if m can be published on head, and wraps ErrConflict if not.
func (a *Archive) published(ctx context.Context, head Head, m manifest.Manifest) (bool, error) {
	if head.Base() == m.Digest() {
		return true, nil
	}
	if head.Base() == m.Base && m.Revision == head.Manifest.Revision+1 {
		return false, nil
	}
	conflict := fmt.Errorf("%w: the note makes revision %d, but revision %d is in force", ErrConflict, m.Revision, head.Manifest.Revision)
	if m.Revision >= head.Manifest.Revision {
		return false, conflict
	}
	// Publish records its base in the history before it replaces it, so m is there if it was
	// published.
	o, err := a.store.Get(ctx, historyKey(m.Revision))
	if errors.Is(err, object.ErrNotFound) {
		return false, conflict
	}
	if err != nil {
		return false, fmt.Errorf("read the history: %w", err)
	}
	past, err := a.verifier.Manifest(o.Value)
	if err != nil || past.Digest() != m.Digest() {
		return false, conflict
	}
	return true, nil
}

// putParts writes the note, and the chunks that the head doesn't reference.
func (a *Archive) putParts(ctx context.Context, head Head, m manifest.Manifest, r Publication) error {
	held := map[chunk.Digest]bool{}
	for _, reference := range head.Manifest.References {
		held[reference.Digest] = true
	}
	for _, c := range r.Chunks {
		if held[c.Digest()] {
			continue
		}
		if err := a.putPart(ctx, chunk.Key(c.Digest()), c.Value); err != nil {
			return err
		}
	}
	return a.putPart(ctx, noteKey(m.Note), r.Note)
}

// putPart writes a value even if the store holds it already: its version then rises above
// that of the head, so that a concurrent cleaning doesn't remove it.
func (a *Archive) putPart(ctx context.Context, key string, value []byte) error {
	var version uint64
	var err error
	for range maxTries {
		_, err = a.store.Put(ctx, key, value, version)
		if !errors.Is(err, object.ErrConflict) && !errors.Is(err, object.ErrUnknown) {
			break
		}
		o, errGet := a.store.Get(ctx, key)
		switch {
		case errors.Is(errGet, object.ErrNotFound):
			version = 0
		case errGet != nil:
			return fmt.Errorf("read back %s: %w", key, errGet)
		default:
			version = o.Version
		}
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	return nil
}

// ensureHistory records the head in the history unless it is there already. Usually it is,
// since the publication of the head has recorded it.
func (a *Archive) ensureHistory(ctx context.Context, head Head) error {
	if head.Manifest.Revision == 0 {
		return nil
	}
	o, err := a.store.Get(ctx, historyKey(head.Manifest.Revision))
	if err == nil && bytes.Equal(o.Value, head.envelope) {
		return nil
	}
	return a.putHistory(ctx, head)
}

// putHistory records the head in the history, so that it can be found after it is replaced.
func (a *Archive) putHistory(ctx context.Context, head Head) error {
	if head.Manifest.Revision == 0 {
		return nil
	}
	key := historyKey(head.Manifest.Revision)
	var version uint64
	for range maxTries {
		_, err := a.store.Put(ctx, key, head.envelope, version)
		if err == nil {
			return nil
		}
		if !errors.Is(err, object.ErrConflict) && !errors.Is(err, object.ErrUnknown) {
			return fmt.Errorf("write the history: %w", err)
		}
		o, err := a.store.Get(ctx, key)
		switch {
		case errors.Is(err, object.ErrNotFound):
			version = 0
		case err != nil:
			return fmt.Errorf("read back the history: %w", err)
		case bytes.Equal(o.Value, head.envelope):
			return nil
		default:
			version = o.Version
		}
	}
	return fmt.Errorf("write the history: %w", object.ErrUnknown)
}

// replaceCurrent replaces the manifest in force by a conditional write on the version of
// head. This single write decides which of several concurrent publications succeeds. If
// its outcome is unknown or it conflicts, replaceCurrent reads the head to find out.
func (a *Archive) replaceCurrent(ctx context.Context, head Head, m manifest.Manifest, envelope []byte) error {
	for range maxTries {
		o, err := a.store.Put(ctx, CurrentKey, envelope, head.Version)
		if err == nil {
			a.recordAndClean(ctx, Head{Manifest: m, Version: o.Version, envelope: envelope})
			return nil
		}
		if !errors.Is(err, object.ErrConflict) && !errors.Is(err, object.ErrUnknown) {
			return fmt.Errorf("write the revision: %w", err)
		}
		now, errGet := a.Head(ctx)
		if errGet != nil {
			return fmt.Errorf("%w: publish again to find out whether the revision is in force: %w", object.ErrUnknown, errGet)
		}
		if now.Version == head.Version {
			continue
		}
		done, err := a.published(ctx, now, m)
		if done {
			a.recordAndClean(ctx, now)
			return nil
		}
		if err == nil {
			// The version has changed, yet m could be published on the head: another program
			// than berylpass has rewritten the manifest in force.
			err = ErrConflict
		}
		return err
	}
	return fmt.Errorf("write the revision: %w: publish again to find out whether it is in force", object.ErrUnknown)
}
