package departure

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"berylpass/store/memory"
	"berylpass/store/object"
)

// TestRewriteStoresWhatTheStoreLost checks that a list which the store has gone back to an older state of, or has lost, is
// written again with all that it had acknowledged, before or with the next departure, and that nothing else costs calls.
func TestRewriteStoresWhatTheStoreLost(t *testing.T) {
	ctx := context.Background()
	for name, add := range map[string]bool{"rewritten": false, "next departure": true} {
		for _, stored := range []int{0, 1} {
			now := time.Unix(1_700_000_000, 0)
			inner := memory.New()
			store := &countingStore{Store: inner}
			l := New(store, "vm-1", func() time.Time { return now })
			if err := l.Rewrite(ctx); err != nil || store.calls != 0 {
				t.Errorf("%s: rewriting an empty list: %v, %d calls", name, err, store.calls)
			}
			var copied memory.Backup
			for n := range 3 {
				if n == stored {
					copied = inner.Backup()
				}
				if err := l.Add(ctx, Process{ID: "i-1", Incarnation: uint64(n + 1)}); err != nil {
					t.Fatal(err)
				}
			}
			store.calls = 0
			if err := l.Rewrite(ctx); err != nil || store.calls != 1 {
				t.Errorf("%s: rewriting a list that the store has: %v, %d calls", name, err, store.calls)
			}
			inner.RestartFrom(copied)
			want := 3
			if add {
				want = 4
				if err := l.Add(ctx, Process{ID: "i-1", Incarnation: 4}); err != nil {
					t.Fatal(err)
				}
			} else if err := l.Rewrite(ctx); err != nil {
				t.Fatal(err)
			}
			if known, err := New(inner, "vm-1", time.Now).Load(ctx); err != nil || len(known) != want {
				t.Errorf("%s, %d in the copy: the store has %v, %v; want %d", name, stored, known, err, want)
			}
		}
	}
}

// TestRewriteAfterAFailure checks that a rewrite that has failed can be repeated, and that processes that no longer matter are
// not written again.
func TestRewriteAfterAFailure(t *testing.T) {
	ctx, now := context.Background(), time.Unix(1_700_000_000, 0)
	inner := memory.New()
	copied := inner.Backup()
	store := &countingStore{Store: inner}
	l := New(store, "vm-1", func() time.Time { return now })
	for n := range 2 {
		if err := l.Add(ctx, Process{ID: "i-1", Incarnation: uint64(n + 1)}); err != nil {
			t.Fatal(err)
		}
		now = now.Add(MaxAge * 2 / 3)
	}
	inner.RestartFrom(copied)
	store.err = fmt.Errorf("%w: away", object.ErrUnavailable)
	if err := l.Rewrite(ctx); !errors.Is(err, object.ErrUnavailable) {
		t.Errorf("while the store is away: %v", err)
	}
	store.err = nil
	if err := l.Rewrite(ctx); err != nil {
		t.Fatal(err)
	}
	if known, err := New(inner, "vm-1", time.Now).Load(ctx); err != nil || len(known) != 1 || known[0].Incarnation != 2 {
		t.Errorf("the store has %v, %v; want only the younger departure", known, err)
	}
}
