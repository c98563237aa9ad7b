package burn

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "write golden files")

// For a longer run: go test ./monitor/burn -rapid.seed=0 -rapid.checks=20000.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "200")
	os.Exit(m.Run())
}

var start = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// exampleSnapshot returns the merged snapshots of six hours at two daemons: small-library is
// refused within its rate limit in the last hour, big-school exceeds its rate limit every ten
// minutes, and the backend server desk-3 is ejected as slow.
func exampleSnapshot() Snapshot {
	var snapshots []Snapshot
	end := start.Add(6*time.Hour + 2*time.Minute)
	for daemon := range 2 {
		r := New(start)
		for minute := range 362 {
			now := start.Add(time.Duration(minute) * time.Minute)
			for i := range 6 {
				organisation := []string{"big-school", "small-library", "reading-club"}[i%3]
				r.Record(now, Sample{Route: "reservations", Organisation: organisation, Objective: 0.99, Outcome: InTime, Latency: time.Duration(10+i) * time.Millisecond})
			}
			r.Record(now, Sample{Route: "titles", Objective: 0.9, Outcome: InTime, Latency: 5 * time.Millisecond})
			if minute >= 300 && minute%2 == daemon {
				r.Record(now, Sample{Route: "reservations", Organisation: "small-library", Objective: 0.99, Outcome: NotRun})
			}
			if minute%10 == 0 {
				r.Record(now, Sample{Route: "reservations", Organisation: "big-school", Objective: 0.99, Outcome: OverRate})
			}
			if minute%90 == 7 {
				r.Record(now, Sample{Route: "titles", Objective: 0.9, Outcome: Late, Latency: 4 * time.Second})
				r.Record(now, Sample{Route: "reservations", Organisation: "reading-club", Objective: 0.99, Outcome: Unknown})
			}
		}
		at := start.Add(time.Duration(100+daemon) * time.Minute)
		r.Eject(at, "desk-3", "catalogue-desk", "slow", at.Add(-time.Duration(2+3*daemon)*time.Second))
		if daemon == 0 {
			r.Restore(at.Add(4*time.Minute), "desk-3")
		}
		snapshots = append(snapshots, r.Snapshot(end).WithDaemon(fmt.Sprintf("vm-%d", daemon+1)))
	}
	return Merge(snapshots...)
}

// Guards against changes of the JSON form of snapshots, and against a Parse that loses a part of it.
func TestSnapshotMatchesGoldenFile(t *testing.T) {
	var b bytes.Buffer
	if err := exampleSnapshot().Encode(&b); err != nil {
		t.Fatal(err)
	}
	const file = "testdata/morning.json"
	if *update {
		if err := os.WriteFile(file, b.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if b.String() != string(want) {
		t.Errorf("%s differs (-update rewrites it); got:\n%s", file, b.String())
	}
	parsed, err := Parse(bytes.NewReader(want))
	if err != nil {
		t.Fatal(err)
	}
	var again bytes.Buffer
	if err := parsed.Encode(&again); err != nil || again.String() != string(want) {
		t.Errorf("the parsed snapshot differs: %v", err)
	}
}

// Compares the windows with a list of all samples. At the start of a slot the count
// must be exact; elsewhere it must lie between the count without the oldest slot, of
// which the window covers only a part, and the count with all of it.
func TestWindowsMatchAListOfSamples(t *testing.T) {
	windows := []struct {
		width time.Duration
		n     int64
		of    func(Series) Tally
	}{
		{shortSlotWidth, 1, func(s Series) Tally { return s.FiveMinutes }},
		{shortSlotWidth, 6, func(s Series) Tally { return s.ThirtyMinutes }},
		{shortSlotWidth, 12, func(s Series) Tally { return s.Hour }},
		{longSlotWidth, 12, func(s Series) Tally { return s.SixHours }},
	}
	rapid.Check(t, func(t *rapid.T) {
		r, now := New(start), start
		var times []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "pause")) * time.Second)
			outcome := rapid.SampledFrom([]Outcome{InTime, Late, NotRun, OverRate, Unknown}).Draw(t, "outcome")
			r.Record(now, Sample{Route: "a", Organisation: "b", Outcome: outcome})
			if outcome != OverRate {
				times = append(times, now)
			}
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 30000).Draw(t, "later")) * time.Second)
		if rapid.Bool().Draw(t, "at the start of a slot") {
			now = now.Truncate(longSlotWidth).Add(longSlotWidth)
		}
		s := r.Snapshot(now).Series[0]
		for _, w := range windows {
			slot := now.Truncate(w.width)
			var lower, upper float64
			for _, at := range times {
				if !at.Before(slot.Add(-w.width * time.Duration(w.n-1))) {
					lower++
				}
				if !at.Before(slot.Add(-w.width * time.Duration(w.n))) {
					upper++
				}
			}
			got := w.of(s).Good + w.of(s).Bad
			if got < lower-0.01 || got > upper+0.01 || now.Equal(slot) && math.Abs(got-upper) > 0.01 {
				t.Fatalf("%d times %s at %s: got %g, want from %g to %g", w.n, w.width, now, got, lower, upper)
			}
		}
	})
}

// Guards against unbounded memory when requests name ever more organisations: beyond
// MaxSeries all are counted in one series, and idle series are dropped.
func TestMemoryIsBounded(t *testing.T) {
	r := New(start)
	for i := range MaxSeries + 1000 {
		r.Record(start, Sample{Route: "a", Organisation: strconv.Itoa(i), Outcome: InTime})
	}
	s := r.Snapshot(start)
	if len(s.Series) != MaxSeries+1 {
		t.Errorf("%d series, want %d and one for Overflow", len(s.Series), MaxSeries)
	}
	var total uint64
	for _, x := range s.Series {
		total += x.InTime
	}
	if total != MaxSeries+1000 {
		t.Errorf("%d requests counted, want %d", total, MaxSeries+1000)
	}
	later := start.Add(7 * time.Hour)
	r.Record(later, Sample{Route: "a", Organisation: "new", Outcome: InTime})
	if s := r.Snapshot(later); len(s.Series) != 1 {
		t.Errorf("%d series after seven idle hours, want 1", len(s.Series))
	}
}

// A request that ends after the clock went back is counted in the latest slot, not lost.
func TestClockThatJumpsBack(t *testing.T) {
	r := New(start)
	for _, now := range []time.Time{start, start.Add(-48 * time.Hour), {}} {
		r.Record(now, Sample{Route: "a", Outcome: InTime})
	}
	if got := r.Snapshot(start.Add(time.Minute)).Series[0].SixHours.Good; got != 3 {
		t.Errorf("%g requests in six hours, want 3", got)
	}
}

func TestParseRefusesMalformedSnapshots(t *testing.T) {
	for _, text := range []string{"", "{}", "[]", `{"taken":"2026-01-01T00:00:00Z","since":"2027-01-01T00:00:00Z"}`, strings.Repeat(" ", maxSnapshotBytes+1)} {
		if _, err := Parse(strings.NewReader(text)); !errors.Is(err, ErrMalformed) {
			t.Errorf("got %v, want ErrMalformed", err)
		}
	}
}

// BenchmarkMemory reports the heap bytes that one series takes.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{4200, 14000, 42000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			names := make([]string, n)
			for i := range names {
				names[i] = "organisation-" + strconv.Itoa(i)
			}
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				r := New(start)
				for i, name := range names {
					r.Record(start, Sample{Route: names[i%3], Organisation: name, Outcome: InTime})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/series")
				runtime.KeepAlive(r)
			}
		})
	}
}

// BenchmarkSnapshot measures the making and encoding of one snapshot, as for a request of /burn.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{4200, 14000, 42000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			r := New(start)
			for i := range n {
				r.Record(start, Sample{Route: "route-" + strconv.Itoa(i%2500), Organisation: "organisation-" + strconv.Itoa(i/3), Outcome: InTime})
			}
			var text bytes.Buffer
			for b.Loop() {
				text.Reset()
				r.Snapshot(start).Encode(&text)
			}
			b.ReportMetric(float64(text.Len())/float64(n), "B/series")
		})
	}
}

func BenchmarkRecord(b *testing.B) {
	r := New(start)
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		r.Record(now, Sample{Route: "a", Organisation: "b", Objective: 0.99, Outcome: InTime, Latency: time.Millisecond})
	}
}
