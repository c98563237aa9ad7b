package membership

import (
	"context"
	"testing"
	"time"

	"berylpass/platform/client"
	"berylpass/platform/standin"
)

// TestRecordIsWrittenAgain checks that a daemon writes its record again which the store has lost, and not if the store has it.
func TestRecordIsWrittenAgain(t *testing.T) {
	s, err := standin.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.Store().SetEra(1)
	copied := s.Store().Backup()
	store := client.New("http://" + s.Address())
	defer store.Close()
	d := startDaemon(t, "vm-1", store)
	stored := func() bool {
		_, err := store.Get(context.Background(), recordKey("vm-1"))
		return err == nil
	}
	for deadline := time.Now().Add(testTimeout); !stored(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the record was not written")
		}
	}
	version := s.Store().Version()
	s.RestartFrom(s.Store().Backup())
	if !stored() {
		t.Fatal("the copy lacks the record")
	}
	d.RewriteRecord()
	if err := d.waitForRecords(t.Context()); err != nil || s.Store().Version() != version {
		t.Errorf("the record that the store has was written again: %v", err)
	}
	s.RestartFrom(copied)
	if stored() {
		t.Fatal("the copy has the record")
	}
	d.RewriteRecord()
	if err := d.waitForRecords(t.Context()); err != nil || !stored() {
		t.Errorf("the record was not written again: %v", err)
	}
}
