package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"berylpass/fleet/member"
)

// unresponsiveMesh is a Mesh that gets no answer and records the timeout of the call.
type unresponsiveMesh struct{ timeout time.Duration }

func (s *unresponsiveMesh) Call(ctx context.Context, _ member.ID, _ string, _, _ any) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return errors.New("call has no deadline")
	}
	s.timeout = time.Until(deadline)
	return context.DeadlineExceeded
}

// TestClockOfUnresponsiveGuardTimesOut checks that the call for a guard's clock has its own timeout.
// Otherwise a request would spend all its time on a guard that died, instead of going to another.
func TestClockOfUnresponsiveGuardTimesOut(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	mesh := &unresponsiveMesh{}
	c := New(member.New("vm-1", "srem"), mesh, time.Now)
	if _, err := c.Clock(ctx, "vm-2"); !errors.Is(err, ErrNoClock) {
		t.Errorf("got %v, want ErrNoClock", err)
	}
	if mesh.timeout <= 0 || mesh.timeout > clockTimeout {
		t.Errorf("the call's timeout was %v, want above 0 and at most %v", mesh.timeout, clockTimeout)
	}
}
