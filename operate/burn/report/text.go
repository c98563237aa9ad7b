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

// WriteJSON writes the whole report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report as text tables with at most limit rows each. The ejections shown are the last ones.
func (r Report) WriteText(w io.Writer, limit int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	line("Service-level burn at %s UTC, recorded since %s UTC", r.Taken.UTC().Format(timeFormat), r.Since.UTC().Format(timeFormat))
	line("Daemons: %s", strings.Join(r.Daemons, ", "))
	line("\nORGANISATION (WORST SERVED FIRST)\tREQUESTS\tIN TIME\tREFUSED INSIDE RATE\tREFUSED OVER RATE\tUNKNOWN\tWORST ROUTE\tBUDGET USED")
	for _, o := range r.Organisations[:min(limit, len(r.Organisations))] {
		line("%s\t%d\t%s\t%d\t%d\t%d\t%s\t%s", OrganisationName(o.Name), o.Requests, FormatPercent(o.InTimeShare), o.RefusedInsideRate, o.RefusedOverRate, o.Unknown, o.WorstRoute, FormatPercent(o.BudgetUsed))
	}
	writeOmitted(line, len(r.Organisations)-limit)
	line("\nROUTE\tOBJECTIVE\tREQUESTS\tIN TIME\tP50\tP99\tBURN 5m\tBURN 1h\tBURN 30m\tBURN 6h\tALARM")
	for _, x := range r.Routes[:min(limit, len(r.Routes))] {
		line("%s\t%s\t%d\t%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%s", x.Name, formatObjective(x.Objective), x.Requests, FormatPercent(x.InTimeShare),
			FormatDuration(x.P50), FormatDuration(x.P99), x.Burn.FiveMinutes, x.Burn.Hour, x.Burn.ThirtyMinutes, x.Burn.SixHours, x.Alarm)
	}
	writeOmitted(line, len(r.Routes)-limit)
	line("\nORGANISATION\tROUTE\tOBJECTIVE\tREQUESTS\tIN TIME\tLATE\tUNKNOWN\tREFUSED INSIDE RATE\tBUDGET USED\tBURN 5m\tBURN 1h\tBURN 30m\tBURN 6h\tALARM")
	for _, x := range r.Rows[:min(limit, len(r.Rows))] {
		line("%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%s", OrganisationName(x.Organisation), x.Route, formatObjective(x.Objective), x.Requests, FormatPercent(x.InTimeShare),
			x.Late, x.Unknown, x.RefusedInsideRate, FormatPercent(x.BudgetUsed), x.Burn.FiveMinutes, x.Burn.Hour, x.Burn.ThirtyMinutes, x.Burn.SixHours, x.Alarm)
	}
	writeOmitted(line, len(r.Rows)-limit)
	line("\n%d ejections, %d not yet restored; detection time: median %s, maximum %s",
		r.Detection.Ejections, r.Detection.NotRestored, FormatDuration(r.Detection.Median), FormatDuration(r.Detection.Worst))
	if len(r.Ejections) > 0 {
		line("\nBACKEND\tSERVICE\tREASON\tEJECTED\tDETECTION TIME\tRESTORED")
	}
	for _, e := range r.Ejections[max(0, len(r.Ejections)-limit):] {
		line("%s\t%s\t%s\t%s\t%s\t%s", e.Backend, e.Service, e.Reason, e.At.UTC().Format(timeFormat), FormatDuration(e.DetectionTime()), FormatRestored(e.Restored))
	}
	return t.Flush()
}

// writeOmitted writes the number n of rows that a table omits, if there are any.
func writeOmitted(line func(string, ...any), n int) {
	if n > 0 {
		line("(%d more)", n)
	}
}

// OrganisationName returns the name of an organisation, or "(open to all)" for the empty name, which
// stands for requests on routes that need no key.
func OrganisationName(organisation string) string {
	if organisation == "" {
		return "(open to all)"
	}
	return organisation
}

// FormatPercent formats a share, 1 being the whole, as a percentage with two decimals.
func FormatPercent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

// FormatDuration formats a duration rounded to milliseconds or, from one minute, to seconds.
func FormatDuration(d time.Duration) string {
	if d >= time.Minute {
		return d.Round(time.Second).String()
	}
	return d.Round(time.Millisecond).String()
}

// FormatRestored formats the time in UTC at which a backend server was restored, or returns "not yet" for the zero
// time.
func FormatRestored(t time.Time) string {
	if t.IsZero() {
		return "not yet"
	}
	return t.UTC().Format(timeFormat)
}

// formatObjective formats an objective as a percentage, or returns "none" for 0.
func formatObjective(share float64) string {
	if share == 0 {
		return "none"
	}
	return fmt.Sprintf("%.5g%%", 100*share)
}
