package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms, in microseconds.
const (
	lowestUS    = 1
	highestUS   = int64(10 * time.Minute / time.Microsecond)
	significant = 3
)

// series collects what came back from one kind of target.
type series struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	outcomes map[string]int64
	byOrg    map[string]map[string]int64
}

func newSeries() *series {
	return &series{
		latency:  hdrhistogram.New(lowestUS, highestUS, significant),
		outcomes: map[string]int64{},
		byOrg:    map[string]map[string]int64{},
	}
}

func (s *series) record(organisation, outcome string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[outcome]++
	if s.byOrg[organisation] == nil {
		s.byOrg[organisation] = map[string]int64{}
	}
	s.byOrg[organisation][outcome]++
	if outcome == "answered" {
		_ = s.latency.RecordValue(max(lowestUS, took.Microseconds()))
	}
}

// Latency sums up a histogram, in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50-us"`
	P99   int64 `json:"p99-us"`
	P999  int64 `json:"p999-us"`
	Max   int64 `json:"max-us"`
}

// Result is what a run measured.
type Result struct {
	Rate     float64       `json:"rate"`
	Duration time.Duration `json:"duration-ns"`
	Fleet    Latency       `json:"fleet"`
	// Direct is the zero value if the plan names no backend server to call directly.
	Direct   Latency          `json:"direct"`
	Outcomes map[string]int64 `json:"outcomes"`
	// Organisations counts outcomes by organisation.
	Organisations map[string]map[string]int64 `json:"organisations"`
}

func newResult(p Plan, took time.Duration, fleet, direct *series) Result {
	return Result{
		Rate:          p.Rate,
		Duration:      took,
		Fleet:         summarise(fleet.latency),
		Direct:        summarise(direct.latency),
		Outcomes:      fleet.outcomes,
		Organisations: fleet.byOrg,
	}
}

func summarise(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P99:   h.ValueAtQuantile(99),
		P999:  h.ValueAtQuantile(99.9),
		Max:   h.Max(),
	}
}

// AddedP99 returns the latency that the fleet adds at the 99th percentile.
func (r Result) AddedP99() time.Duration {
	return time.Duration(r.Fleet.P99-r.Direct.P99) * time.Microsecond
}

// WriteJSON writes the result for machines.
func (r Result) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteTable writes the result for people.
func (r Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "way\tanswered\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	row(t, "fleet", r.Fleet)
	if r.Direct.Count > 0 {
		row(t, "direct", r.Direct)
		_, _ = fmt.Fprintf(t, "added\t\t%.2f\t%.2f\t%.2f\t\t\n",
			milli(r.Fleet.P50-r.Direct.P50), milli(r.Fleet.P99-r.Direct.P99), milli(r.Fleet.P999-r.Direct.P999))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\noutcomes at %g requests a second for %s:\n", r.Rate, r.Duration.Round(time.Millisecond))
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		_, err = fmt.Fprintf(w, "  %-11s %d\n", outcome, r.Outcomes[outcome])
	}
	return err
}

func row(w io.Writer, name string, l Latency) {
	_, _ = fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", name, l.Count, milli(l.P50), milli(l.P99), milli(l.P999), milli(l.Max))
}

func milli(us int64) float64 { return float64(us) / 1000 }
