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

// Range of the latency histograms in microseconds, and their precision in significant decimal digits.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// recorder counts the outcomes of requests to one kind of target and keeps the latencies of those answered.
type recorder struct {
	mu             sync.Mutex
	latency        *hdrhistogram.Histogram
	outcomes       map[string]int64
	byOrganisation map[string]map[string]int64
}

func newRecorder() *recorder {
	return &recorder{
		latency:        hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		outcomes:       map[string]int64{},
		byOrganisation: map[string]map[string]int64{},
	}
}

// record counts an outcome and, if the request was answered, records its latency.
func (r *recorder) record(organisation, outcome string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
	if r.byOrganisation[organisation] == nil {
		r.byOrganisation[organisation] = map[string]int64{}
	}
	r.byOrganisation[organisation][outcome]++
	if outcome == "answered" {
		_ = r.latency.RecordValue(max(lowestMicros, took.Microseconds()))
	}
}

// Latency summarises the latencies of answered requests, in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50-us"`
	P99   int64 `json:"p99-us"`
	P999  int64 `json:"p999-us"`
	Max   int64 `json:"max-us"`
}

// Result is the result of a run, without the warm-up.
type Result struct {
	Rate float64 `json:"rate"`
	// Duration is the time from the end of the warm-up to the end of the run, when all responses have arrived.
	Duration time.Duration `json:"duration-ns"`
	Fleet    Latency       `json:"fleet"`
	// Direct is the latency of direct calls of backend servers. It is zero if the plan names none.
	Direct   Latency          `json:"direct"`
	Outcomes map[string]int64 `json:"outcomes"`
	// Organisations counts the outcomes of requests to the fleet by organisation.
	Organisations map[string]map[string]int64 `json:"organisations"`
}

func newResult(p Plan, took time.Duration, fleet, direct *recorder) Result {
	return Result{
		Rate:          p.Rate,
		Duration:      took,
		Fleet:         summarise(fleet.latency),
		Direct:        summarise(direct.latency),
		Outcomes:      fleet.outcomes,
		Organisations: fleet.byOrganisation,
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

// AddedP99 returns the difference between the 99th percentiles of calls through the fleet and of direct calls.
func (r Result) AddedP99() time.Duration {
	return time.Duration(r.Fleet.P99-r.Direct.P99) * time.Microsecond
}

// WriteJSON writes the result as indented JSON.
func (r Result) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteTable writes the result as a text table, followed by the number of requests by outcome.
func (r Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "target\tanswered\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	writeRow(t, "fleet", r.Fleet)
	if r.Direct.Count > 0 {
		writeRow(t, "direct", r.Direct)
		_, _ = fmt.Fprintf(t, "added\t\t%.2f\t%.2f\t%.2f\t\t\n",
			milliseconds(r.Fleet.P50-r.Direct.P50), milliseconds(r.Fleet.P99-r.Direct.P99), milliseconds(r.Fleet.P999-r.Direct.P999))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\noutcomes at %g requests per second for %s:\n", r.Rate, r.Duration.Round(time.Millisecond))
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		_, err = fmt.Fprintf(w, "  %-11s %d\n", outcome, r.Outcomes[outcome])
	}
	return err
}

func writeRow(w io.Writer, name string, l Latency) {
	_, _ = fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", name, l.Count, milliseconds(l.P50), milliseconds(l.P99), milliseconds(l.P999), milliseconds(l.Max))
}

// milliseconds converts microseconds to milliseconds.
func milliseconds(us int64) float64 { return float64(us) / 1000 }
