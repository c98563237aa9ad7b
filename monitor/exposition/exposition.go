// Package exposition writes a go-metrics registry in the Prometheus text format,
// version 0.0.4, which common scrapers read.
//
// In the registry a metric's name is in kebab case, followed by its labels, if any,
// in braces: `requests{outcome="answered"}`. It is exposed with the prefix
// berylpass_ and underscores. Counters and meters become counters, gauges become
// gauges, and histograms and timers become summaries; a timer's values are in seconds.
//
// # Usage
//
//	metrics.GetOrRegisterCounter(`requests{outcome="answered"}`, registry).Inc(1)
//	http.Handle("/metrics", exposition.New(registry))
package exposition

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// namespace starts the names of all exposed metrics.
const namespace = "berylpass_"

// quantiles are the quantiles of each summary.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Handler is an HTTP handler that serves the metrics of a registry.
type Handler struct {
	registry metrics.Registry
}

// New returns a handler that exposes the registry.
func New(registry metrics.Registry) *Handler { return &Handler{registry: registry} }

// ServeHTTP answers with all metrics.
func (h *Handler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	var text strings.Builder
	h.Write(&text)
	_, _ = io.WriteString(w, text.String())
}

// Write writes all metrics, sorted by name.
func (h *Handler) Write(w io.Writer) {
	all := map[string]any{}
	h.registry.Each(func(name string, metric any) { all[name] = metric })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	previous := ""
	for _, name := range names {
		family, labels := splitName(name)
		kind := kindOf(all[name])
		if family != previous {
			_, _ = fmt.Fprintf(w, "# TYPE %s %s\n", family, kind)
		}
		previous = family
		writeMetric(w, family, labels, all[name])
	}
}

// splitName splits a metric's name in the registry into the exposed name and the labels without their braces.
func splitName(name string) (family, labels string) {
	base, rest, _ := strings.Cut(name, "{")
	return namespace + strings.ReplaceAll(base, "-", "_"), strings.TrimSuffix(rest, "}")
}

// kindOf returns the Prometheus type of the metric.
func kindOf(metric any) string {
	switch metric.(type) {
	case metrics.Counter, metrics.Meter:
		return "counter"
	case metrics.Histogram, metrics.Timer:
		return "summary"
	}
	return "gauge"
}

// writeMetric writes the samples of one metric.
func writeMetric(w io.Writer, family, labels string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		writeSample(w, family, labels, float64(m.Count()))
	case metrics.Meter:
		writeSample(w, family, labels, float64(m.Count()))
	case metrics.Gauge:
		writeSample(w, family, labels, float64(m.Value()))
	case metrics.GaugeFloat64:
		writeSample(w, family, labels, m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, family, labels, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1)
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, family, labels, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), time.Second.Seconds()/float64(time.Second))
	}
}

// writeSummary writes the samples of a summary. It multiplies values and sum by scale.
func writeSummary(w io.Writer, family, labels string, values []float64, sum float64, count int64, scale float64) {
	for i, q := range quantiles {
		writeSample(w, family, joinLabels(labels, fmt.Sprintf("quantile=%q", fmt.Sprint(q))), values[i]*scale)
	}
	writeSample(w, family+"_sum", labels, sum*scale)
	writeSample(w, family+"_count", labels, float64(count))
}

func joinLabels(labels, more string) string {
	if labels == "" {
		return more
	}
	return labels + "," + more
}

func writeSample(w io.Writer, name, labels string, value float64) {
	if labels != "" {
		name += "{" + labels + "}"
	}
	_, _ = fmt.Fprintf(w, "%s %g\n", name, value)
}
