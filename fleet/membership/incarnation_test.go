package membership

import (
	"context"
	"testing"
	"time"

	"berylpass/fleet/member"
	"berylpass/fleet/roster"
	"berylpass/store/memory"
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
