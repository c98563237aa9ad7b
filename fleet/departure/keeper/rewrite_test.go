package keeper

import (
	"context"
	"testing"
	"time"
)

// TestRewriteAfterAnOlderCopy checks that a departure which the store has lost is stored again, also if the store is away at
// first.
func TestRewriteAfterAnOlderCopy(t *testing.T) {
	f := newNetwork(t, 1)
	copied := f.store.Backup()
	k := f.keepers[vm(1)]
	if err := k.Add("i-1", 7); err != nil {
		t.Fatal(err)
	}
	f.store.RestartFrom(copied)
	k.Rewrite()
	deadline := time.Now().Add(10 * time.Second)
	for {
		stored, err := f.start("vm-1").Load(context.Background())
		if err == nil && len(stored) == 1 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the store has %v, %v", stored, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
