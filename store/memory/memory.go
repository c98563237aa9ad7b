// Package memory implements an object store in memory, for tests and the demo.
//
// A Store has the versions, conditional writes, lists by prefix and long-poll
// watches of the platform's store. It counts calls and simulates faults: it can be
// unavailable, answer slowly, lose the answer to a write that took effect, or be
// restored from an old backup. Once it has an era, the era rises with each restart from a
// backup. It is safe for concurrent use.
//
// # Usage
//
//	store := memory.New()
//	o, err := store.Put(ctx, "members/vm-17", value, 0)
//	store.SetFaults(memory.Faults{Unavailable: true})
//	backup := store.Backup()
//	store.Restore(backup)
//	store.SetEra(1)
//	store.RestartFrom(backup) // era 2
package memory

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"berylpass/store/object"
)

// maxValueBytes is the largest value in bytes.
const maxValueBytes = 1 << 20

// DefaultWatchTimeout is the default time after which a watch without changes returns.
const DefaultWatchTimeout = 10 * time.Second

// ErrHistoryGone reports a watch from a version that a store with an era doesn't have.
var ErrHistoryGone = errors.New("store has no history from this version")

// Faults are the current faults of a store.
type Faults struct {
	// Unavailable makes every call fail with object.ErrUnavailable, including watches that wait.
	Unavailable bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is the number of next writes that take effect and return object.ErrUnknown.
	LoseAnswers int
}

// Counts is the number of calls of each kind since the start.
type Counts struct {
	Gets, Lists, Puts, Deletes, Watches uint64
}

// Total returns the number of calls of all kinds.
func (c Counts) Total() uint64 { return c.Gets + c.Lists + c.Puts + c.Deletes + c.Watches }

// Backup is a copy of a store's content.
type Backup struct {
	// records holds the last object of each key, or its tombstone with Deleted set.
	records map[string]object.Object
	version uint64
}

// Store is an object store in memory.
type Store struct {
	mu sync.Mutex
	// records holds the last object of each key, or its tombstone with Deleted set.
	records map[string]object.Object
	version uint64
	// era is 0 for a store without eras.
	era    uint64
	faults Faults
	counts Counts
	// changed is closed, and replaced, at each change of the content or the faults.
	changed   chan struct{}
	watchWait time.Duration
}

// New returns an empty store.
func New() *Store {
	return &Store{records: map[string]object.Object{}, changed: make(chan struct{}), watchWait: DefaultWatchTimeout}
}

// SetFaults replaces the faults. Watches that wait see them at once.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// SetWatchWait sets the time after which a watch without changes returns.
func (s *Store) SetWatchWait(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchWait = d
}

// Counts returns the numbers of calls so far, including those that failed.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Version returns the store's current version.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Backup returns a copy of the content.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{records: cloneRecords(s.records), version: s.version}
}

// Restore replaces the content and the version by those of the backup.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records, s.version = cloneRecords(b.records), b.version
	s.wakeWatches()
}

// SetEra sets the era, 0 for a store without eras.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
	s.wakeWatches()
}

// Era returns the era, 0 for a store without eras.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// RestartFrom replaces the content and the version by those of the backup and raises the
// era by one. It ends the watches that wait.
func (s *Store) RestartFrom(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records, s.version = cloneRecords(b.records), b.version
	s.era++
	s.wakeWatches()
}

// Get returns the object at the key. Errors: object.ErrNotFound and object.ErrUnavailable.
func (s *Store) Get(ctx context.Context, key string) (object.Object, error) {
	if err := s.begin(ctx, func(c *Counts) { c.Gets++ }); err != nil {
		return object.Object{}, err
	}
	defer s.mu.Unlock()
	o, ok := s.records[key]
	if !ok || o.Deleted {
		return object.Object{}, object.ErrNotFound
	}
	return clone(o), nil
}

// List returns the objects whose keys start with the prefix, sorted by key.
func (s *Store) List(ctx context.Context, prefix string) ([]object.Object, error) {
	if err := s.begin(ctx, func(c *Counts) { c.Lists++ }); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.objectsAfter(prefix, 0), func(o object.Object) bool { return o.Deleted }), nil
}

// Put writes the value if the current version of the key is ifVersion, 0 for an
// absent key. Errors: object.ErrTooLarge, object.ErrConflict, object.ErrUnavailable,
// and object.ErrUnknown for a write that took effect but loses its answer.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (object.Object, error) {
	if err := s.begin(ctx, func(c *Counts) { c.Puts++ }); err != nil {
		return object.Object{}, err
	}
	defer s.mu.Unlock()
	if len(value) > maxValueBytes {
		return object.Object{}, object.ErrTooLarge
	}
	if s.currentVersion(key) != ifVersion {
		return object.Object{}, object.ErrConflict
	}
	s.version++
	o := object.Object{Key: key, Version: s.version, Value: slices.Clone(value)}
	s.records[key] = o
	s.wakeWatches()
	if s.loseAnswerIfDue() {
		return object.Object{}, object.ErrUnknown
	}
	return clone(o), nil
}

// Delete removes the key if its current version is ifVersion. Its errors are those of
// Put, but for object.ErrTooLarge, and object.ErrNotFound.
func (s *Store) Delete(ctx context.Context, key string, ifVersion uint64) error {
	if err := s.begin(ctx, func(c *Counts) { c.Deletes++ }); err != nil {
		return err
	}
	defer s.mu.Unlock()
	current := s.currentVersion(key)
	if current == 0 {
		return object.ErrNotFound
	}
	if current != ifVersion {
		return object.ErrConflict
	}
	s.version++
	s.records[key] = object.Object{Key: key, Version: s.version, Deleted: true}
	s.wakeWatches()
	if s.loseAnswerIfDue() {
		return object.ErrUnknown
	}
	return nil
}

// Watch waits until an object under the prefix changes after the version after, or
// the time for a watch is over. If the store's version is below after, the store was
// restored from a backup, and Watch returns all objects under the prefix at once; with an
// era, it returns ErrHistoryGone. A watch that waits while the era rises ends with
// object.ErrUnavailable.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]object.Object, uint64, error) {
	if err := s.begin(ctx, func(c *Counts) { c.Watches++ }); err != nil {
		return nil, 0, err
	}
	era := s.era
	if era > 0 && after > s.version {
		s.mu.Unlock()
		return nil, 0, ErrHistoryGone
	}
	timer := time.NewTimer(s.watchWait)
	defer timer.Stop()
	for {
		objects, version, restored := s.changesAfter(prefix, after)
		changed := s.changed
		s.mu.Unlock()
		if len(objects) > 0 || restored {
			return objects, version, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timer.C:
			return nil, version, nil
		case <-changed:
		}
		s.mu.Lock()
		if s.faults.Unavailable || s.era != era {
			s.mu.Unlock()
			return nil, 0, object.ErrUnavailable
		}
	}
}

// begin counts a call and applies the faults. If it returns nil, the caller holds m.mu
// and must unlock it.
func (s *Store) begin(ctx context.Context, count func(*Counts)) error {
	s.mu.Lock()
	count(&s.counts)
	delay := s.faults.Delay
	if delay > 0 {
		s.mu.Unlock()
		if err := sleep(ctx, delay); err != nil {
			return err
		}
		s.mu.Lock()
	}
	if s.faults.Unavailable {
		s.mu.Unlock()
		return object.ErrUnavailable
	}
	return nil
}

// changesAfter returns the objects under the prefix that changed after a version and
// the store's version. If that is below after, the store was restored, and it returns
// all objects. The caller holds m.mu.
func (s *Store) changesAfter(prefix string, after uint64) (objects []object.Object, version uint64, restored bool) {
	if s.version < after {
		return s.objectsAfter(prefix, 0), s.version, true
	}
	return s.objectsAfter(prefix, after), s.version, false
}

// objectsAfter returns the objects and tombstones under the prefix with a version above
// after, sorted by key. The caller holds m.mu.
func (s *Store) objectsAfter(prefix string, after uint64) []object.Object {
	var found []object.Object
	for key, o := range s.records {
		if strings.HasPrefix(key, prefix) && o.Version > after {
			found = append(found, clone(o))
		}
	}
	slices.SortFunc(found, func(a, b object.Object) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// currentVersion returns the version of the key, 0 if it is absent. The caller holds m.mu.
func (s *Store) currentVersion(key string) uint64 {
	o := s.records[key]
	if o.Deleted {
		return 0
	}
	return o.Version
}

// loseAnswerIfDue reports whether the answer to a write is to be lost, and counts it.
// The caller holds m.mu.
func (s *Store) loseAnswerIfDue() bool {
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// wakeWatches wakes all watches that wait. The caller holds m.mu.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// sleep waits for d, or returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func clone(o object.Object) object.Object {
	o.Value = slices.Clone(o.Value)
	return o
}

func cloneRecords(records map[string]object.Object) map[string]object.Object {
	copied := make(map[string]object.Object, len(records))
	for key, o := range records {
		copied[key] = clone(o)
	}
	return copied
}
