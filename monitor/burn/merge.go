package burn

import (
	"cmp"
	"slices"
)

// Merge returns the sums of the snapshots of several daemons. Its Since is the
// latest of theirs, and so is its Taken.
func Merge(snapshots ...Snapshot) Snapshot {
	m := Snapshot{Daemons: []string{}, Routes: []Route{}, Series: []Series{}, Ejections: []Ejection{}}
	routes, merged := map[string]Route{}, map[seriesKey]Series{}
	for _, s := range snapshots {
		m.Daemons = append(m.Daemons, s.Daemons...)
		m.Ejections = append(m.Ejections, s.Ejections...)
		if s.Since.After(m.Since) {
			m.Since = s.Since
		}
		if s.Taken.After(m.Taken) {
			m.Taken = s.Taken
		}
		for _, r := range s.Routes {
			routes[r.Name] = routes[r.Name].plus(r)
		}
		for _, x := range s.Series {
			key := seriesKey{route: x.Route, organisation: x.Organisation}
			merged[key] = merged[key].plus(x)
		}
	}
	for _, r := range routes {
		m.Routes = append(m.Routes, r)
	}
	for _, x := range merged {
		m.Series = append(m.Series, x)
	}
	slices.Sort(m.Daemons)
	slices.SortFunc(m.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(m.Series, compareSeries)
	slices.SortStableFunc(m.Ejections, func(a, b Ejection) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Backend, b.Backend))
	})
	return m
}

// plus returns the sum of the figures of one route on two daemons.
func (r Route) plus(other Route) Route {
	sum := Route{Name: other.Name, Objective: max(r.Objective, other.Objective), Latency: slices.Clone(r.Latency), Timeline: slices.Clone(r.Timeline)}
	for i, n := range other.Latency {
		if i >= len(sum.Latency) {
			sum.Latency = append(sum.Latency, 0)
		}
		sum.Latency[i] += n
	}
	for _, p := range other.Timeline {
		i, found := slices.BinarySearchFunc(sum.Timeline, p, func(a, b Point) int { return a.Start.Compare(b.Start) })
		if !found {
			sum.Timeline = slices.Insert(sum.Timeline, i, p)
			continue
		}
		sum.Timeline[i].Good += p.Good
		sum.Timeline[i].Bad += p.Bad
		sum.Timeline[i].OverRate += p.OverRate
	}
	return sum
}

// plus returns the sum of the figures of one series on two daemons.
func (x Series) plus(other Series) Series {
	return Series{
		Route: other.Route, Organisation: other.Organisation,
		InTime: x.InTime + other.InTime, Late: x.Late + other.Late, NotRun: x.NotRun + other.NotRun,
		OverRate: x.OverRate + other.OverRate, Unknown: x.Unknown + other.Unknown,
		FiveMinutes:   x.FiveMinutes.plus(other.FiveMinutes),
		ThirtyMinutes: x.ThirtyMinutes.plus(other.ThirtyMinutes),
		Hour:          x.Hour.plus(other.Hour),
		SixHours:      x.SixHours.plus(other.SixHours),
	}
}

func (t Tally) plus(other Tally) Tally {
	return Tally{Good: t.Good + other.Good, Bad: t.Bad + other.Bad}
}
