package evidence

import (
	"testing"
	"time"
)

// TestLateReportCountsOnce lets a report arrive after a later one of the same guard: the calls that wait at a daemon
// which was paused are served at the same time once it goes on, in any order. Its answers must not count again.
func TestLateReportCountsOnce(t *testing.T) {
	now, e := time.Unix(1000, 0), New()
	first := Report{Server: "b1", Incarnation: 1, Sent: 10, Cells: cells(14, 7, 3)}
	second := Report{Server: "b1", Incarnation: 1, Sent: 11, Cells: cells(14, 8, 3)}
	e.Add(now, second, NewVersion)
	if reason := e.Verdict(); reason != None {
		t.Fatalf("before the late report: %s", reason)
	}
	e.Add(now, first, NewVersion)
	if _, ofNew := e.Answers(); ofNew != 11 {
		t.Errorf("%d answers, want 11", ofNew)
	}
	if reason := e.Verdict(); reason != None {
		t.Errorf("after the late report: %s", reason)
	}
}
