package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

const timeFormat = "2006-01-02 15:04:05"

// WriteJSON writes the whole report.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report for people, with at most limit lines a table.
func (r Report) WriteText(w io.Writer, limit int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	line("Service-level burn at %s, recorded since %s", r.Taken.UTC().Format(timeFormat), r.Since.UTC().Format(timeFormat))
	line("by %s", strings.Join(r.Daemons, ", "))
	line("\nORGANISATION, WORST SERVED FIRST\tREQUESTS\tIN TIME\tREFUSED INSIDE RATE\tREFUSED OVER RATE\tUNKNOWN\tWORST ROUTE\tBUDGET USED")
	for _, o := range r.Organisations[:min(limit, len(r.Organisations))] {
		line("%s\t%d\t%s\t%d\t%d\t%d\t%s\t%s", Name(o.Name), o.Requests, Percent(o.Good), o.RefusedInside, o.RefusedOver, o.Unknown, o.WorstRoute, Percent(o.BudgetUsed))
	}
	rest(line, len(r.Organisations)-limit)
	line("\nROUTE\tOBJECTIVE\tREQUESTS\tIN TIME\tP50\tP99\tBURN 5m\t1h\t30m\t6h\tALARM")
	for _, x := range r.Routes[:min(limit, len(r.Routes))] {
		line("%s\t%s\t%d\t%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%s", x.Name, objective(x.Objective), x.Requests, Percent(x.Good),
			Milliseconds(x.P50), Milliseconds(x.P99), x.Burn.FiveMinutes, x.Burn.Hour, x.Burn.ThirtyMinutes, x.Burn.SixHours, x.Alarm)
	}
	rest(line, len(r.Routes)-limit)
	line("\nORGANISATION ON ROUTE\t\tOBJECTIVE\tREQUESTS\tIN TIME\tLATE\tUNKNOWN\tREFUSED INSIDE\tBUDGET USED\tBURN 5m\t1h\t30m\t6h\tALARM")
	for _, x := range r.Rows[:min(limit, len(r.Rows))] {
		line("%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%s", Name(x.Organisation), x.Route, objective(x.Objective), x.Requests, Percent(x.Good),
			x.Late, x.Unknown, x.RefusedInside, Percent(x.BudgetUsed), x.Burn.FiveMinutes, x.Burn.Hour, x.Burn.ThirtyMinutes, x.Burn.SixHours, x.Alarm)
	}
	rest(line, len(r.Rows)-limit)
	line("\n%d ejections, %d backend servers out at present, detected in %s in the median and %s at worst",
		r.Detection.Ejections, r.Detection.Out, Milliseconds(r.Detection.Median), Milliseconds(r.Detection.Worst))
	if len(r.Ejections) > 0 {
		line("\nBACKEND\tSERVICE\tREASON\tEJECTED\tDETECTED IN\tRESTORED")
	}
	for _, e := range r.Ejections[max(0, len(r.Ejections)-limit):] {
		line("%s\t%s\t%s\t%s\t%s\t%s", e.Backend, e.Service, e.Reason, e.At.UTC().Format(timeFormat), Milliseconds(e.Detection()), Restored(e.Restored))
	}
	return t.Flush()
}

func rest(line func(string, ...any), n int) {
	if n > 0 {
		line("(%d more)", n)
	}
}

// Name returns the name of an organisation, or what stands for none.
func Name(organisation string) string {
	if organisation == "" {
		return "(open to all)"
	}
	return organisation
}

// Percent returns a share in per cent.
func Percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

// Milliseconds returns a duration in whole milliseconds or, from a minute, in seconds.
func Milliseconds(d time.Duration) string {
	if d >= time.Minute {
		return d.Round(time.Second).String()
	}
	return d.Round(time.Millisecond).String()
}

// Restored returns when a backend server was restored.
func Restored(t time.Time) string {
	if t.IsZero() {
		return "still out"
	}
	return t.UTC().Format(timeFormat)
}

func objective(share float64) string {
	if share == 0 {
		return "none"
	}
	return fmt.Sprintf("%.5g%%", 100*share)
}
