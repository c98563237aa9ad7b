package daemon

import (
	"errors"
	"testing"
	"time"

	"berylpass/ingress"
)

// TestLeavingDaemonRefusesLateRequests checks that the ingress of a leaving daemon still
// takes requests, and refuses them once callers have had time to go elsewhere: the
// shutdown might cut a request that starts so late.
func TestLeavingDaemonRefusesLateRequests(t *testing.T) {
	var v configurationView
	v.leaving.Store(true)
	if err := v.Ready(time.Now()); errors.Is(err, errLeaving) {
		t.Errorf("refused as leaving before callers have had time to go: %v", err)
	}
	v.closing.Store(true)
	if err := v.Ready(time.Now()); !errors.Is(err, errLeaving) || !errors.Is(err, ingress.ErrNotReady) {
		t.Errorf("not refused as leaving after callers have had time to go: got %v", err)
	}
}
