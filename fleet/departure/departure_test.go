package departure

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"berylpass/fleet/backend"
	"berylpass/store/memory"
	"berylpass/store/object"
)

// countingStore counts the calls of a store. They fail with err if it is set.
type countingStore struct {
	Store
	calls int
	err   error
}

func (c *countingStore) Get(ctx context.Context, key string) (object.Object, error) {
	c.calls++
	if c.err != nil {
		return object.Object{}, c.err
	}
	return c.Store.Get(ctx, key)
}

func (c *countingStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (object.Object, error) {
	c.calls++
	if c.err != nil {
		return object.Object{}, c.err
	}
	return c.Store.Put(ctx, key, value, ifVersion)
}

// TestDeparturesSurviveADaemonRestart checks that a restarted daemon reads the
// departures that an earlier run stored, that repeated departures cost no calls, and
// that a write conflict between two daemons is resolved.
func TestDeparturesSurviveADaemonRestart(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1_700_000_000, 0)
	clock := func() time.Time { return now }
	store := &countingStore{Store: memory.New()}
	first := New(store, "vm-1", clock)
	if known, err := first.Load(ctx); err != nil || len(known) != 0 {
		t.Fatalf("a new VM has %v, %v", known, err)
	}
	for range 3 {
		if err := first.Add(ctx, Process{ID: "i-1", Incarnation: 100}); err != nil {
			t.Fatal(err)
		}
	}
	if store.calls != 2 {
		t.Errorf("%d calls for one departure added three times, want 2", store.calls)
	}
	second := New(store, "vm-1", clock)
	if known, err := second.Load(ctx); err != nil || len(known) != 1 || known[0] != (Process{ID: "i-1", Incarnation: 100, StoredAt: now.UnixMilli()}) {
		t.Errorf("after a restart: %v, %v", known, err)
	}
	if known, err := New(store, "vm-2", clock).Load(ctx); err != nil || len(known) != 0 {
		t.Errorf("another VM has %v, %v", known, err)
	}
	// After the write of second, the version that first knows is outdated.
	if err := second.Add(ctx, Process{ID: "i-2", Incarnation: 200}); err != nil {
		t.Fatal(err)
	}
	if err := first.Add(ctx, Process{ID: "i-3", Incarnation: 300}); err != nil {
		t.Fatal(err)
	}
	if known, err := second.Load(ctx); err != nil || len(known) != 3 {
		t.Errorf("after writes by two daemons: %v, %v, want three processes", known, err)
	}
}

// TestAddSucceedsAfterAStoreOutage checks that a failed Add returns the store's error
// and that a later call of Add stores the process.
func TestAddSucceedsAfterAStoreOutage(t *testing.T) {
	ctx := context.Background()
	store := &countingStore{Store: memory.New(), err: object.ErrUnavailable}
	d := New(store, "vm-1", time.Now)
	if err := d.Add(ctx, Process{ID: "i-1", Incarnation: 1}); !errors.Is(err, object.ErrUnavailable) {
		t.Errorf("during an outage of the store: %v, want object.ErrUnavailable", err)
	}
	store.err = nil
	if err := d.Add(ctx, Process{ID: "i-1", Incarnation: 1}); err != nil {
		t.Error(err)
	}
}

// TestOldDeparturesAreDropped checks that the list is bounded by maxProcesses and
// MaxAge.
func TestOldDeparturesAreDropped(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1_700_000_000, 0)
	d := New(memory.New(), "vm-1", func() time.Time { return now })
	for n := range maxProcesses + 10 {
		if err := d.Add(ctx, Process{ID: backend.ID(fmt.Sprint("i-", n)), Incarnation: 1}); err != nil {
			t.Fatal(err)
		}
	}
	if known, _ := d.Load(ctx); len(known) != maxProcesses || known[0].ID != "i-10" {
		t.Errorf("%d processes, the first %v, want the last ones added", len(known), known[0])
	}
	now = now.Add(MaxAge + time.Second)
	if err := d.Add(ctx, Process{ID: "late", Incarnation: 1}); err != nil {
		t.Fatal(err)
	}
	if known, _ := d.Load(ctx); len(known) != 1 {
		t.Errorf("%d processes after %v, want 1", len(known), MaxAge)
	}
}

// TestUnstatedDepartureKeepsItsLatestTime guards against a removal that stated no incarnation and is not stored since an
// earlier process of the ID has left: after a restart the process that it concerned would serve again.
func TestUnstatedDepartureKeepsItsLatestTime(t *testing.T) {
	ctx := context.Background()
	at := time.Unix(1_700_000_000, 0)
	l := New(memory.New(), "vm-1", func() time.Time { return at })
	left := Process{ID: "i-1", Incarnation: 100, StoredAt: at.UnixMilli()}
	removed := Process{ID: "i-1", Incarnation: 100, StoredAt: at.UnixMilli() + 5000, Unstated: true}
	for _, p := range []Process{left, removed, left} {
		if err := l.Add(ctx, p); err != nil {
			t.Fatal(err)
		}
	}
	if known, err := l.Load(ctx); err != nil || len(known) != 1 || known[0] != removed {
		t.Errorf("got %v, %v; want %v", known, err, removed)
	}
}
