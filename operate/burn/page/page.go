// Package page writes the burn report as one HTML page that loads nothing from outside.
//
// Plots are inline SVG, styles are in the page, and there is no script.
//
// # Usage
//
//	err := page.Write(file, report.New(snapshot))
package page

import (
	_ "embed" // for the template
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"berylpass/operate/burn/report"
)

// maxRows bounds the lines of a table.
const maxRows = 50

//go:embed page.html
var source string

var tmpl = template.Must(template.New("page").Funcs(template.FuncMap{
	"name":     report.Name,
	"percent":  report.Percent,
	"ms":       report.Milliseconds,
	"restored": report.Restored,
	"time":     func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05") },
	"burn":     func(x float64) string { return fmt.Sprintf("%.1f", x) },
	"join":     func(names []string) string { return strings.Join(names, ", ") },
}).Parse(source))

type plots struct {
	Timeline, Organisations, Refusals template.HTML
}

type data struct {
	report.Report
	Plots plots
	// Hidden are the numbers of lines that the tables leave out.
	HiddenOrganisations, HiddenRows int
}

// Write writes the page.
func Write(w io.Writer, r report.Report) error {
	p, err := drawPlots(r)
	if err != nil {
		return fmt.Errorf("draw the plots: %w", err)
	}
	d := data{
		Report: r, Plots: p,
		HiddenOrganisations: max(0, len(r.Organisations)-maxRows),
		HiddenRows:          max(0, len(r.Rows)-maxRows),
	}
	d.Organisations = d.Organisations[:min(maxRows, len(d.Organisations))]
	d.Rows = d.Rows[:min(maxRows, len(d.Rows))]
	return tmpl.Execute(w, d)
}
