// Package departure keeps in the platform's store which backend servers of a VM have
// announced that they drain or leave. The daemon on the VM has acknowledged the departure, and
// must still know of it when it has crashed and restarted and then receives a late
// heartbeat from before the departure.
//
// # Usage
//
//	l := departure.New(store, "vm-17", clock)
//	processes, err := l.Load(ctx) // when the daemon starts
//	err = l.Add(ctx, departure.Process{ID: "rounds-3", Incarnation: 1700000000000})
//
// Errors of the store wrap those of package object. After an error of Add it is unknown
// whether the process has been stored, and Add is to be called again. A store that goes on
// from an older copy may have lost what it had acknowledged: Rewrite stores it again.
package departure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/store/object"
)

const (
	// keyPrefix is the prefix of the store keys; the daemon's ID follows it.
	keyPrefix = "departures/"
	// MaxAge is the age above which a write drops a process from the list. Heartbeats are
	// late by seconds, and a process that leaves is gone within minutes.
	MaxAge = 10 * time.Minute
	// maxProcesses is the maximum number of processes in a list, many times the number
	// of slots of a VM.
	maxProcesses = 256
	// maxWriteAttempts is the maximum number of writes of one Add. The second one is for
	// a conflict with another writer.
	maxWriteAttempts = 2
)

// Store is the part of the platform's object API that this package uses.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (object.Object, error)
}

// Process is one run of a backend server that has announced that it drains or leaves.
type Process struct {
	ID backend.ID `json:"id"`
	// Incarnation is 0 if the announcement stated none and no process of the ID had left before.
	Incarnation uint64 `json:"incarnation"`
	// StoredAt is the time of the announcement, in Unix milliseconds of the VM's clock.
	StoredAt int64 `json:"at"`
	// Unstated reports whether an announcement stated no incarnation: any process of the ID that had
	// started by StoredAt may be the one that left.
	Unstated bool `json:"unstated,omitempty"`
}

// Same reports whether p and other are the same process.
func (p Process) Same(other Process) bool {
	return p.ID == other.ID && p.Incarnation == other.Incarnation
}

// Covers reports whether a record of p also says what other does.
func (p Process) Covers(other Process) bool {
	return p.Same(other) && (!other.isUnstated() || p.isUnstated() && p.StoredAt >= other.StoredAt)
}

func (p Process) isUnstated() bool { return p.Unstated || p.Incarnation == 0 }

// merged returns the record of p together with what other, a record of the same process, says.
func (p Process) merged(other Process) Process {
	p.StoredAt, p.Unstated = max(p.StoredAt, other.StoredAt), p.Unstated || other.Unstated
	return p
}

// Merge adds records to a list in which each process has one record.
func Merge(list []Process, records ...Process) []Process {
	list = slices.Clone(list)
	for _, p := range records {
		if n := slices.IndexFunc(list, p.Same); n >= 0 {
			p = p.merged(list[n])
			list = slices.Delete(list, n, n+1)
		}
		list = append(list, p)
	}
	return list
}

// List is the list of departed processes of one VM. It is safe for concurrent use.
type List struct {
	store Store
	key   string
	clock func() time.Time

	mu        sync.Mutex
	version   uint64
	processes []Process
	// loaded reports whether version and processes are believed to be those in the store.
	loaded bool
	// known holds the processes that were in the store at some time. Each write contains them.
	known []Process
}

// New returns the list of the daemon's VM. It calls the store only in Load and Add.
func New(store Store, daemon member.ID, clock func() time.Time) *List {
	return &List{store: store, key: keyPrefix + string(daemon), clock: clock}
}

// Load reads the list from the store and returns it.
func (l *List) Load(ctx context.Context) ([]Process, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.load(ctx)
	return slices.Clone(l.processes), err
}

// Add adds a process to the list and sets its time unless it has one. It writes nothing if the list
// already says the same; of an announcement that stated no incarnation, the latest time counts.
func (l *List) Add(ctx context.Context, p Process) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.StoredAt == 0 {
		p.StoredAt = l.clock().UnixMilli()
	}
	var err error
	for range maxWriteAttempts {
		if !l.loaded {
			if err = l.load(ctx); err != nil {
				return err
			}
		}
		if l.contains(p) {
			return nil
		}
		if err = l.write(ctx, p); err == nil {
			return nil
		}
		l.loaded = false
	}
	return err
}

// Rewrite writes the list again if the store lacks a process that it had acknowledged. If there
// is none that matters, it makes no call.
func (l *List) Rewrite(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = slices.DeleteFunc(l.known, l.isOld)
	if len(l.known) == 0 {
		return nil
	}
	l.loaded = false
	if err := l.load(ctx); err != nil {
		return err
	}
	if !slices.ContainsFunc(l.known, func(p Process) bool { return !l.contains(p) }) {
		return nil
	}
	err := l.put(ctx, l.processes)
	l.loaded = err == nil
	return err
}

// contains reports whether the list says what a record says.
func (l *List) contains(p Process) bool {
	return slices.ContainsFunc(l.processes, func(k Process) bool { return k.Covers(p) })
}

// isOld reports whether a process may be dropped from the list.
func (l *List) isOld(p Process) bool { return l.clock().Sub(time.UnixMilli(p.StoredAt)) > MaxAge }

// remember adds processes to those that were in the store.
func (l *List) remember(processes []Process) {
	l.known = Merge(slices.DeleteFunc(l.known, l.isOld), processes...)
	l.known = l.known[max(0, len(l.known)-maxProcesses):]
}

func (l *List) load(ctx context.Context) error {
	found, err := l.store.Get(ctx, l.key)
	if errors.Is(err, object.ErrNotFound) {
		l.version, l.processes, l.loaded = 0, nil, true
		return nil
	}
	if err != nil {
		return fmt.Errorf("read departures at %q: %w", l.key, err)
	}
	var processes []Process
	if err := json.Unmarshal(found.Value, &processes); err != nil {
		// The next write replaces the value that can't be decoded.
		l.version, l.processes, l.loaded = found.Version, nil, true
		return fmt.Errorf("read departures at %q: %w", l.key, err)
	}
	l.version, l.processes, l.loaded = found.Version, processes, true
	l.remember(processes)
	return nil
}

// write writes the list with p.
func (l *List) write(ctx context.Context, p Process) error {
	processes := slices.DeleteFunc(slices.Clone(l.processes), func(k Process) bool { return !k.Same(p) && l.isOld(k) })
	return l.put(ctx, Merge(processes, p))
}

// put writes the processes and those that were in the store before.
func (l *List) put(ctx context.Context, processes []Process) error {
	lost := slices.DeleteFunc(slices.Clone(l.known), l.isOld)
	processes = Merge(lost, processes...)
	processes = processes[max(0, len(processes)-maxProcesses):]
	value, err := json.Marshal(processes)
	if err != nil {
		return fmt.Errorf("write departures at %q: %w", l.key, err)
	}
	written, err := l.store.Put(ctx, l.key, value, l.version)
	if err != nil {
		return fmt.Errorf("write departures at %q: %w", l.key, err)
	}
	l.version, l.processes = written.Version, processes
	l.remember(processes)
	return nil
}
