package membership

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"berylpass/fleet/directory"
	"berylpass/fleet/member"
	"berylpass/fleet/roster"
	"berylpass/store/memory"
	"berylpass/store/object"
)

// TestIncarnationRisesWhenTheClockJumpsBack checks that a daemon whose clock has jumped
// back since its last start still gets a higher incarnation, from its record in the
// store, and that the incarnation is unconfirmed if the store doesn't answer.
func TestIncarnationRisesWhenTheClockJumpsBack(t *testing.T) {
	ctx := context.Background()
	store := memory.New()
	now := time.UnixMilli(1_700_000_000_000)
	initial := NewStart(ctx, store, "vm-1", now)
	first := initial.Incarnation
	if !initial.Confirmed || initial.RecordVersion != 0 {
		t.Error("without a record in the store: the incarnation is not confirmed, or the start has a record")
	}
	value, err := encodeRecord(roster.Record{Member: member.New("vm-1", "srem").WithIncarnation(first), Version: 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(ctx, recordKey("vm-1"), value, 0); err != nil {
		t.Fatal(err)
	}
	if restarted := NewStart(ctx, store, "vm-1", now.Add(-3*time.Second)); restarted.Incarnation <= first || !restarted.Confirmed || restarted.RecordVersion == 0 {
		t.Errorf("after a restart: %+v, want confirmed, a record and an incarnation above %d", restarted, first)
	}
	store.SetFaults(memory.Faults{Unavailable: true})
	if unconfirmed := NewStart(ctx, store, "vm-1", now); unconfirmed.Incarnation != first || unconfirmed.Confirmed {
		t.Errorf("without the store: %+v, want the time %d, not confirmed", unconfirmed, first)
	}
}

// countedStore is a Store that counts the reads.
type countedStore struct {
	*memory.Store
	gets, lists atomic.Int64
}

func (s *countedStore) Get(ctx context.Context, key string) (object.Object, error) {
	s.gets.Add(1)
	return s.Store.Get(ctx, key)
}

func (s *countedStore) Watch(ctx context.Context, prefix string, after uint64) ([]object.Object, uint64, error) {
	if after == 0 {
		s.lists.Add(1)
	}
	return s.Store.Watch(ctx, prefix, after)
}

// unreachable is a Caller whose calls all fail.
type unreachable struct{}

var errUnreachable = errors.New("unreachable")

func (unreachable) Call(context.Context, member.ID, string, any, any) error { return errUnreachable }

func (unreachable) CallAddress(context.Context, string, string, any, any) error {
	return errUnreachable
}

// TestStartReadsTheRecordsOnce checks that a daemon learns its earlier incarnation and the other members from one call.
func TestStartReadsTheRecordsOnce(t *testing.T) {
	ctx, now := context.Background(), time.UnixMilli(1_700_000_000_000)
	store := &countedStore{Store: memory.New()}
	other := member.New("vm-2", "srem").WithAddresses("127.0.0.1:1", "127.0.0.1:2").WithIncarnation(7)
	value, err := encodeRecord(roster.Record{Member: other, Version: 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(ctx, recordKey("vm-2"), value, 0); err != nil {
		t.Fatal(err)
	}
	start := NewStart(ctx, store, "vm-1", now)
	self := member.New("vm-1", "srem").WithAddresses("127.0.0.1:3", "127.0.0.1:4").WithIncarnation(start.Incarnation)
	known := make(chan member.Member, 100)
	m := New(self, unreachable{}, directory.New(), store, WithStart(start), WithoutStoreChecks(), WithOnMember(func(m member.Member) { known <- m }))
	defer m.Close()
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	select {
	case found := <-known:
		if found.ID != "vm-2" {
			t.Errorf("%s is known, want vm-2", found.ID)
		}
	case <-ctx.Done():
		t.Fatal("the other member is unknown")
	}
	for objects, version, err := store.Store.Watch(ctx, recordPrefix, 0); len(objects) < 2; {
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err = store.Store.Watch(ctx, recordPrefix, version); err == nil {
			objects, version, err = store.Store.Watch(ctx, recordPrefix, 0)
		}
	}
	if gets, lists := store.gets.Load(), store.lists.Load(); gets != 0 || lists != 1 {
		t.Errorf("%d reads of one record and %d lists, want only one list", gets, lists)
	}
}
