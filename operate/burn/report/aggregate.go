package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"berylpass/monitor/burn"
)

// sumOrganisations sums the rows of each organisation, worst served first. It sorts
// by the share answered in time instead of the budget used, because routes may have
// no objective.
func sumOrganisations(rows []Row) []Organisation {
	sums, good := map[string]Organisation{}, map[string]float64{}
	for _, row := range rows {
		o := sums[row.Organisation]
		o.Name = row.Organisation
		o.Requests += row.Requests
		o.RefusedInsideRate += row.RefusedInsideRate
		o.RefusedOverRate += row.RefusedOverRate
		o.Unknown += row.Unknown
		if o.WorstRoute == "" || row.BudgetUsed > o.BudgetUsed {
			o.WorstRoute, o.BudgetUsed = row.Route, row.BudgetUsed
		}
		good[row.Organisation] += row.InTimeShare * float64(row.Requests)
		sums[row.Organisation] = o
	}
	list := make([]Organisation, 0, len(sums))
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		o := sums[name]
		o.InTimeShare = share(good[name], float64(o.Requests))
		list = append(list, o)
	}
	slices.SortStableFunc(list, func(a, b Organisation) int {
		return cmp.Or(cmp.Compare(a.InTimeShare, b.InTimeShare), cmp.Compare(b.RefusedInsideRate, a.RefusedInsideRate))
	})
	return list
}

// sumRoutes sums the series of each route in the snapshot and keeps the order of its routes.
func sumRoutes(s burn.Snapshot) []Route {
	sums := map[string]burn.Series{}
	for _, x := range s.Series {
		sum := sums[x.Route]
		sum.InTime += x.InTime
		sum.Late += x.Late
		sum.NotRun += x.NotRun
		sum.Unknown += x.Unknown
		for _, t := range []struct {
			to   *burn.Tally
			from burn.Tally
		}{{&sum.FiveMinutes, x.FiveMinutes}, {&sum.ThirtyMinutes, x.ThirtyMinutes}, {&sum.Hour, x.Hour}, {&sum.SixHours, x.SixHours}} {
			t.to.Good += t.from.Good
			t.to.Bad += t.from.Bad
		}
		sums[x.Route] = sum
	}
	list := make([]Route, 0, len(s.Routes))
	for _, r := range s.Routes {
		row := newRow(sums[r.Name], r.Objective)
		list = append(list, Route{
			Name: r.Name, Objective: r.Objective, Requests: row.Requests, InTimeShare: row.InTimeShare,
			P50: quantile(r.Latency, 0.5), P99: quantile(r.Latency, 0.99),
			Burn: row.Burn, Alarm: row.Alarm, Timeline: r.Timeline,
		})
	}
	return list
}

// quantile returns the upper limit of the bucket that contains the quantile q, or 0 if all counts are 0.
func quantile(counts []uint64, q float64) time.Duration {
	var total uint64
	for _, n := range counts {
		total += n
	}
	var seen uint64
	for i, n := range counts {
		seen += n
		if total > 0 && float64(seen) >= q*float64(total) {
			return burn.BucketUpperBound(i).Round(time.Microsecond)
		}
	}
	return 0
}

// sumDetection summarises the ejections. The median of an even number of times is the lower of the middle two.
func sumDetection(ejections []burn.Ejection) Detection {
	d := Detection{Ejections: len(ejections)}
	var times []time.Duration
	for _, e := range ejections {
		times = append(times, e.DetectionTime())
		if e.Restored.IsZero() {
			d.NotRestored++
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		d.Median, d.Worst = times[(len(times)-1)/2], times[len(times)-1]
	}
	return d
}
