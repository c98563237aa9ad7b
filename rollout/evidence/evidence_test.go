package evidence

import (
	"fmt"
	"testing"
	"time"

	"berylpass/fleet/backend"
)

// add adds reports of n backend servers, each of which has answered as many requests with the given outcomes.
func add(e *Evidence, now time.Time, v Version, n int, of func(i int) []Cell) {
	for i := range n {
		e.Add(now, Report{Server: backend.ID(fmt.Sprintf("%d-%d", v, i)), Cells: of(i)}, v)
	}
}

// cells returns counts of good answers in a bucket and of failures.
func cells(bucket uint8, good, failed uint32) []Cell {
	return []Cell{{Route: "status", Bucket: bucket, Count: good}, {Route: "status", Failed: true, Bucket: bucket, Count: failed}}
}

func TestBuckets(t *testing.T) {
	for took, want := range map[time.Duration]uint8{
		-time.Second: 0, 0: 0, time.Millisecond: 0, 2 * time.Millisecond: 2, 3 * time.Millisecond: 3,
		1024 * time.Millisecond: 20, time.Hour: 43, 1 << 62: maxBucket,
	} {
		if got := BucketOf(took); got != want {
			t.Errorf("%s: %d, want %d", took, got, want)
		}
	}
}

func TestVerdict(t *testing.T) {
	now := time.Unix(1000, 0)
	good := func(int) []Cell { return cells(14, 100, 1) }
	for name, test := range map[string]struct {
		old, next func(i int) []Cell
		want      Reason
	}{
		"as good":                  {good, good, None},
		"fails":                    {good, func(int) []Cell { return cells(14, 12, 8) }, Failing},
		"slow":                     {good, func(int) []Cell { return cells(20, 20, 0) }, Slow},
		"both fail":                {func(int) []Cell { return cells(14, 60, 40) }, func(int) []Cell { return cells(14, 12, 8) }, None},
		"both slow":                {func(int) []Cell { return cells(20, 100, 0) }, func(int) []Cell { return cells(20, 20, 0) }, None},
		"one backend server fails": {good, func(i int) []Cell { return cells(14, 20, map[int]uint32{2: 15}[i]) }, None},
		"one fails for long":       {good, func(i int) []Cell { return cells(14, 20, map[int]uint32{2: 40}[i]) }, Failing},
	} {
		t.Run(name, func(t *testing.T) {
			e := New()
			add(e, now, OldVersion, 5, test.old)
			add(e, now, NewVersion, 4, func(int) []Cell { return nil })
			// The slow answers of a backend server that has just started don't count.
			add(e, now.Add(warmUp), OldVersion, 5, test.old)
			add(e, now.Add(warmUp), NewVersion, 4, test.next)
			if got := e.Verdict(); got != test.want {
				t.Errorf("%q, want %q; failing %+v, slow %+v", got, test.want, e.failing, e.slow)
			}
		})
	}
}

// TestRunningRequestsAreEvidence checks that requests which have run for long count before they end.
func TestRunningRequestsAreEvidence(t *testing.T) {
	now, e := time.Unix(1000, 0), New()
	add(e, now, OldVersion, 5, func(int) []Cell { return cells(14, 100, 0) })
	for i := range 3 {
		e.Add(now, Report{
			Server: backend.ID(fmt.Sprintf("new-%d", i)), Cells: cells(14, 1, 0),
			Running: []Cell{{Route: "status", Bucket: 20, Count: 3}},
		}, NewVersion)
	}
	if got := e.Verdict(); got != Slow {
		t.Errorf("%q, want %q", got, Slow)
	}
}

// TestRestartedBackendServerCountsAnew checks that counts that begin anew aren't lost, and none counts twice.
func TestRestartedBackendServerCountsAnew(t *testing.T) {
	now, e := time.Unix(1000, 0), New()
	for _, r := range []Report{
		{Server: "a", Incarnation: 1, Sent: 10, Cells: cells(14, 9, 1)},
		{Server: "a", Incarnation: 1, Sent: 10, Cells: cells(14, 9, 1)},
		{Server: "a", Incarnation: 2, Sent: 4, Cells: cells(14, 4, 0)},
		// The daemon has restarted; then reports of before come late.
		{Server: "a", Incarnation: 2, Since: 7, Sent: 3, Cells: cells(14, 3, 0)},
		{Server: "a", Incarnation: 1, Sent: 9, Cells: cells(14, 8, 1)},
		{Server: "a", Incarnation: 2, Sent: 4, Cells: cells(14, 4, 0)},
		{Server: "a", Incarnation: 2, Since: 7, Sent: 2, Cells: cells(14, 2, 0)},
		{Server: "a", Incarnation: 2, Since: 7, Sent: 3, Cells: cells(14, 3, 0)},
		{Server: "b", Incarnation: 2, Sent: 4, Cells: []Cell{{Route: "status", Bucket: 200, Count: 4}}},
	} {
		e.Add(now, r, OldVersion)
	}
	if ofOld, ofNew := e.Answers(); ofOld != 17 || ofNew != 0 {
		t.Errorf("%d and %d answers, want 17 and 0", ofOld, ofNew)
	}
}

// TestSlowStartIsNoEvidence checks that the slow answers of backend servers that have just started don't count.
func TestSlowStartIsNoEvidence(t *testing.T) {
	now, e := time.Unix(1000, 0), New()
	add(e, now, OldVersion, 5, func(int) []Cell { return cells(14, 100, 0) })
	for _, at := range []time.Duration{0, warmUp / 2} {
		add(e, now.Add(at), NewVersion, 4, func(int) []Cell { return cells(20, 10+uint32(at/time.Second), 0) })
	}
	if got := e.Verdict(); got != None {
		t.Errorf("%q", got)
	}
}
