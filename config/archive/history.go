package archive

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"berylpass/config/chunk"
	"berylpass/config/manifest"
	"berylpass/store/object"
)

// History returns the manifest in force and those in the history, the newest first.
// Manifests in the history that fail verification are left out.
func (a *Archive) History(ctx context.Context) ([]manifest.Manifest, error) {
	head, err := a.Head(ctx)
	if err != nil {
		return nil, err
	}
	records, err := a.store.List(ctx, historyPrefix)
	if err != nil {
		return nil, fmt.Errorf("read the history: %w", err)
	}
	var history []manifest.Manifest
	for _, o := range records {
		m, err := a.verifier.Manifest(o.Value)
		if err == nil && o.Key == historyKey(m.Revision) && m.Revision < head.Manifest.Revision {
			history = append(history, m)
		}
	}
	if head.Manifest.Revision > 0 {
		history = append(history, head.Manifest)
	}
	slices.SortFunc(history, func(a, b manifest.Manifest) int { return int(b.Revision) - int(a.Revision) })
	return history, nil
}

// Revision returns the manifest with the given revision number, in force or from the
// history. Its error wraps object.ErrNotFound if the store holds no such manifest.
func (a *Archive) Revision(ctx context.Context, number uint64) (manifest.Manifest, error) {
	head, err := a.Head(ctx)
	if err != nil || head.Manifest.Revision == number && number > 0 {
		return head.Manifest, err
	}
	o, err := a.store.Get(ctx, historyKey(number))
	if err != nil {
		return manifest.Manifest{}, fmt.Errorf("revision %d: %w", number, err)
	}
	return a.verifier.Manifest(o.Value)
}

// recordAndClean records the head in the history and, every cleanInterval revisions, cleans
// the store. It ignores errors: the next publication records its base if that is missing,
// and the next cleaning removes what this one has left.
func (a *Archive) recordAndClean(ctx context.Context, head Head) {
	if a.putHistory(ctx, head) == nil && head.Manifest.Revision%a.cleanInterval == 0 {
		_ = a.clean(ctx, head)
	}
}

// clean removes manifests from the history that are older than keepRevisions, and the
// chunks and notes that no remaining manifest references.
//
// A concurrent publication writes its chunks and note after it has read its head, so their
// versions are above that head's version; and it succeeds only if that head is still in
// force. So chunks and notes that are older than our head, and that neither our head nor
// a remaining manifest references, are in no manifest that can come into force.
func (a *Archive) clean(ctx context.Context, head Head) error {
	records, err := a.store.List(ctx, historyPrefix)
	if err != nil {
		return err
	}
	referenced := map[string]bool{}
	addReferences(referenced, head.Manifest)
	oldest := historyKey(head.Manifest.Revision - min(a.keepRevisions, head.Manifest.Revision))
	for _, o := range records {
		if o.Key < oldest {
			if err := a.remove(ctx, o); err != nil {
				return err
			}
			continue
		}
		if m, err := a.verifier.Manifest(o.Value); err == nil {
			addReferences(referenced, m)
		}
	}
	for _, prefix := range []string{chunkPrefix, notePrefix} {
		if err := a.removeUnreferenced(ctx, prefix, referenced, head.Version); err != nil {
			return err
		}
	}
	return nil
}

// addReferences adds the keys of the note and the chunks that a manifest references.
func addReferences(referenced map[string]bool, m manifest.Manifest) {
	referenced[noteKey(m.Note)] = true
	for _, r := range m.References {
		referenced[chunk.Key(r.Digest)] = true
	}
}

// removeUnreferenced removes the objects under a prefix that aren't referenced and whose
// version is below before.
func (a *Archive) removeUnreferenced(ctx context.Context, prefix string, referenced map[string]bool, before uint64) error {
	parts, err := a.store.List(ctx, prefix)
	if err != nil {
		return err
	}
	for _, o := range parts {
		if referenced[o.Key] || o.Version >= before || !strings.HasPrefix(o.Key, prefix) {
			continue
		}
		if err := a.remove(ctx, o); err != nil {
			return err
		}
	}
	return nil
}

// remove deletes an object unless it has changed since it was read. An unknown outcome is
// no error.
func (a *Archive) remove(ctx context.Context, o object.Object) error {
	err := a.store.Delete(ctx, o.Key, o.Version)
	if errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrNotFound) || errors.Is(err, object.ErrUnknown) {
		return nil
	}
	return err
}
