package burn

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"time"
)

// maxSnapshotBytes bounds the size of an encoded snapshot.
const maxSnapshotBytes = 64 << 20

// ErrMalformed reports text that is no valid snapshot.
var ErrMalformed = errors.New("malformed burn snapshot")

// Snapshot is a copy of the figures of one recorder, or the sums of several.
type Snapshot struct {
	// Daemons are the names of the daemons whose figures are in the snapshot.
	Daemons []string `json:"daemons"`
	// Since is the start of the recorder, or the latest start of several: from then on the figures are complete.
	Since time.Time `json:"since"`
	// Taken is when the snapshot was made.
	Taken     time.Time  `json:"taken"`
	Routes    []Route    `json:"routes"`
	Series    []Series   `json:"series"`
	Ejections []Ejection `json:"ejections"`
}

// Route holds the figures of a route over all organisations.
type Route struct {
	Name string `json:"name"`
	// Objective is the share of good requests that the route aims at, from 0 to 1; 0 for none.
	Objective float64 `json:"objective"`
	// Latency counts answered requests by bucket; see BucketUpperBound. Empty buckets at the end are left out.
	Latency []uint64 `json:"latency"`
	// Timeline holds the last six hours, in order of time; slots without requests are left out.
	Timeline []Point `json:"timeline"`
}

// Point counts the requests of a route in five minutes from Start on.
type Point struct {
	Start    time.Time `json:"start"`
	Good     uint64    `json:"good"`
	Bad      uint64    `json:"bad"`
	OverRate uint64    `json:"over-rate"`
}

// Series holds the figures of one organisation on one route.
type Series struct {
	Route        string `json:"route"`
	Organisation string `json:"organisation"`
	// The totals by outcome, since the recorder's start or since the series was last dropped as idle.
	InTime   uint64 `json:"in-time"`
	Late     uint64 `json:"late"`
	NotRun   uint64 `json:"not-run"`
	OverRate uint64 `json:"over-rate"`
	Unknown  uint64 `json:"unknown"`
	// The counts of the time windows that end at Taken.
	FiveMinutes   Tally `json:"5m"`
	ThirtyMinutes Tally `json:"30m"`
	Hour          Tally `json:"1h"`
	SixHours      Tally `json:"6h"`
}

// Snapshot returns a copy of the recorder's figures at now. Routes and series are
// sorted by name, ejections by time.
func (r *Recorder) Snapshot(now time.Time) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Snapshot{Daemons: []string{}, Since: r.start, Taken: now, Routes: []Route{}, Series: []Series{}}
	for _, name := range slices.Sorted(maps.Keys(r.routes)) {
		s.Routes = append(s.Routes, r.routes[name].read(name, now))
	}
	for key, counts := range r.series {
		s.Series = append(s.Series, counts.read(key, now))
	}
	slices.SortFunc(s.Series, compareSeries)
	s.Ejections = append([]Ejection{}, r.ejections...)
	return s
}

// compareSeries orders series by route and organisation.
func compareSeries(a, b Series) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Organisation, b.Organisation))
}

// read returns the figures of the series at now.
func (s *series) read(key seriesKey, now time.Time) Series {
	return Series{
		Route: key.route, Organisation: key.organisation,
		InTime: s.totals[InTime], Late: s.totals[Late], NotRun: s.totals[NotRun],
		OverRate: s.totals[OverRate], Unknown: s.totals[Unknown],
		FiveMinutes:   s.shortSlots.window(now, shortSlotWidth, 1).round(),
		ThirtyMinutes: s.shortSlots.window(now, shortSlotWidth, 6).round(),
		Hour:          s.shortSlots.window(now, shortSlotWidth, 12).round(),
		SixHours:      s.longSlots.window(now, longSlotWidth, 12).round(),
	}
}

// round rounds to three decimals; a weighted slot needs no more.
func (t Tally) round() Tally {
	return Tally{Good: math.Round(t.Good*1000) / 1000, Bad: math.Round(t.Bad*1000) / 1000}
}

// read returns the figures of the route at now.
func (r *routeSeries) read(name string, now time.Time) Route {
	route := Route{Name: name, Objective: r.objective, Latency: []uint64{}, Timeline: []Point{}}
	for i, n := range r.latency {
		if n > 0 {
			route.Latency = append(route.Latency, make([]uint64, i+1-len(route.Latency))...)
			route.Latency[i] = uint64(n)
		}
	}
	number := slotOf(now, shortSlotWidth)
	for i := max(number-timelineSlots+1, r.last-timelineSlots+1, 0); i <= min(number, r.last); i++ {
		p := r.timeline[i%timelineSlots]
		start := time.Unix(0, i*int64(shortSlotWidth)).UTC()
		if p != (point{}) {
			route.Timeline = append(route.Timeline, Point{Start: start, Good: uint64(p.good), Bad: uint64(p.bad), OverRate: uint64(p.overRate)})
		}
	}
	return route
}

// WithDaemon returns a copy whose Daemons is the given name alone.
func (s Snapshot) WithDaemon(name string) Snapshot {
	s.Daemons = []string{name}
	return s
}

// Encode writes the snapshot as JSON.
func (s Snapshot) Encode(w io.Writer) error { return json.NewEncoder(w).Encode(s) }

// Parse reads a snapshot that Encode wrote. Its error wraps ErrMalformed.
func Parse(r io.Reader) (Snapshot, error) {
	text, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes+1))
	if err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(text) > maxSnapshotBytes {
		return Snapshot{}, fmt.Errorf("%w: more than %d bytes", ErrMalformed, maxSnapshotBytes)
	}
	var s Snapshot
	if err := json.Unmarshal(text, &s); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if s.Taken.IsZero() || s.Taken.Before(s.Since) {
		return Snapshot{}, fmt.Errorf("%w: taken at %s, must be at or after its start %s", ErrMalformed, s.Taken, s.Since)
	}
	return s, nil
}
