package ledger

import (
	"fmt"
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/decision"
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	second         = time.Second
	ownIncarnation = uint64(7)
)

// at returns the time that many seconds after the guard's start.
func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(second))) }

func attempt(n uint64) id.ID { return id.New("in-1", 1, n) }

func accept(n uint64, deadline time.Duration) Accept {
	return Accept{ID: attempt(n), Incarnation: ownIncarnation, Deadline: deadline}
}

func cancel(n uint64, deadline time.Duration) Cancel {
	return Cancel{ID: attempt(n), Incarnation: ownIncarnation, Deadline: deadline}
}

// expect applies an event and compares the returned actions, formatted without their IDs.
func expect(t *testing.T, l *Ledger, now time.Time, event decision.Event, want string) {
	t.Helper()
	got := ""
	for _, action := range l.Update(now, event) {
		switch a := action.(type) {
		case Refused:
			got += "refused:" + string(a.Reason) + " "
		case Cancelled:
			got += "cancelled:" + string(a.State) + " "
		default:
			got += fmt.Sprintf("%T ", a)
		}
	}
	if got != want {
		t.Errorf("%+v: got %q, want %q", event, got, want)
	}
}

func TestAttemptRunsOnce(t *testing.T) {
	l := New(epoch, ownIncarnation, 10)
	expect(t, l, at(1), accept(1, 5*second), "ledger.Accepted ")
	expect(t, l, at(1), accept(1, 5*second), "refused:duplicate ")
	expect(t, l, at(2), Start{attempt(1)}, "ledger.Run ")
	expect(t, l, at(2), Start{attempt(1)}, "refused:duplicate ")
	expect(t, l, at(3), cancel(1, 5*second), "ledger.Stop cancelled:started ")
	expect(t, l, at(3), Finish{attempt(1)}, "")
	expect(t, l, at(3), Discard{attempt(1)}, "")
	expect(t, l, at(4), accept(1, 5*second), "refused:duplicate ")
	expect(t, l, at(9.9), accept(1, 5*second), "refused:duplicate ")
	expect(t, l, at(9.9), cancel(1, 5*second), "cancelled:finished ")
	expect(t, l, at(10.1), accept(1, 5*second), "refused:expired ")
	expect(t, l, at(10.1), cancel(1, 5*second), "cancelled:unknown ")
}

func TestCancelledAttemptNeverRuns(t *testing.T) {
	l := New(epoch, ownIncarnation, 10)
	expect(t, l, at(1), cancel(1, 5*second), "cancelled:not-run ")
	expect(t, l, at(4.9), accept(1, 5*second), "refused:cancelled ")
	expect(t, l, at(5.1), accept(1, 5*second), "refused:cancelled ")
	expect(t, l, at(10.1), accept(1, 5*second), "refused:expired ")

	expect(t, l, at(11), accept(2, 20*second), "ledger.Accepted ")
	expect(t, l, at(12), cancel(2, 20*second), "ledger.Stop cancelled:not-run ")
	expect(t, l, at(12), Start{attempt(2)}, "refused:cancelled ")

	expect(t, l, at(12), accept(3, 20*second), "ledger.Accepted ")
	expect(t, l, at(12), Start{attempt(3)}, "ledger.Run ")
	expect(t, l, at(12), Discard{attempt(3)}, "")
	expect(t, l, at(13), cancel(3, 20*second), "cancelled:not-run ")
	expect(t, l, at(13), accept(3, 20*second), "refused:cancelled ")
}

func TestDelayedArrivalIsRefused(t *testing.T) {
	l := New(epoch, ownIncarnation, 10)
	expect(t, l, at(6), cancel(1, 5*second), "cancelled:not-run ")
	expect(t, l, at(6), accept(1, 5*second), "refused:late ")
	expect(t, l, at(6), accept(2, 10*second), "ledger.Accepted ")
	expect(t, l, at(11), Start{attempt(2)}, "refused:late ")
	expect(t, l, at(11), cancel(2, 10*second), "cancelled:not-run ")
	expect(t, l, at(16), Start{attempt(2)}, "refused:expired ")
}

func TestAttemptsForAnEarlierIncarnationAreUnknown(t *testing.T) {
	l := New(epoch, ownIncarnation, 10)
	expect(t, l, at(1), Accept{ID: attempt(1), Incarnation: ownIncarnation - 1, Deadline: 5 * second}, "refused:wrong-incarnation ")
	expect(t, l, at(1), Cancel{ID: attempt(1), Incarnation: ownIncarnation - 1, Deadline: 5 * second}, "cancelled:unknown ")
}

func TestRaisedIncarnationKeepsAcceptedAttempts(t *testing.T) {
	l := New(epoch, ownIncarnation, 10)
	expect(t, l, at(1), accept(1, 5*second), "ledger.Accepted ")
	l.RaiseIncarnation(ownIncarnation + 7)
	expect(t, l, at(1), accept(1, 5*second), "refused:duplicate ")
	expect(t, l, at(1), accept(2, 5*second), "refused:wrong-incarnation ")
	expect(t, l, at(1), Accept{ID: attempt(3), Incarnation: ownIncarnation + 7, Deadline: 5 * second}, "ledger.Accepted ")
	expect(t, l, at(2), Start{attempt(1)}, "ledger.Run ")
	expect(t, l, at(2), cancel(1, 5*second), "ledger.Stop cancelled:started ")
	l.RaiseIncarnation(ownIncarnation)
	expect(t, l, at(2), cancel(4, 5*second), "cancelled:unknown ")
}

func TestFullLedgerRefusesAndKeepsTombstones(t *testing.T) {
	l := New(epoch, ownIncarnation, 4)
	for n := range uint64(3) {
		expect(t, l, at(1), accept(n, 5*second), "ledger.Accepted ")
	}
	expect(t, l, at(1), cancel(10, 6*second), "cancelled:not-run ")
	expect(t, l, at(1), accept(11, 6*second), "refused:ledger-full ")
	expect(t, l, at(1), accept(12, 6*second), "refused:ledger-overflow ")
	expect(t, l, at(1), cancel(13, 6*second), "cancelled:unknown ")
	expect(t, l, at(10.5), accept(20, 12*second), "ledger.Accepted ")
	expect(t, l, at(10.5), accept(10, 6*second), "refused:cancelled ")
	expect(t, l, at(10.5), accept(11, 6*second), "refused:cancelled ")
	if l.Len() != 3 {
		t.Errorf("%d entries, want 3", l.Len())
	}
}

func TestDeadlineTooFarIsRefused(t *testing.T) {
	l := New(epoch, ownIncarnation, 4)
	expect(t, l, at(1), accept(1, MaxLifetime+2*second), "refused:deadline-too-far ")
	expect(t, l, at(1), cancel(1, MaxLifetime+2*second), "cancelled:unknown ")
}

// BenchmarkAttempt measures Accept, Start and Finish of one attempt, at a rate that keeps
// the number of entries at about held.
func BenchmarkAttempt(b *testing.B) {
	for _, held := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("held-%d", held), func(b *testing.B) {
			l := New(epoch, ownIncarnation, 2*held)
			lifetime := 10 * second
			step := (lifetime + Grace) / time.Duration(held)
			now := epoch
			next := uint64(0)
			runAttempt := func() {
				now = now.Add(step)
				next++
				a := attempt(next)
				l.Update(now, Accept{ID: a, Incarnation: ownIncarnation, Deadline: l.Clock(now) + lifetime})
				l.Update(now, Start{a})
				l.Update(now, Finish{a})
			}
			for range held {
				runAttempt()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				runAttempt()
			}
			b.ReportMetric(float64(l.Len()), "entries")
		})
	}
}
