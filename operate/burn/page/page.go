// Package page writes the burn report as one HTML page that loads no external resources.
//
// Plots and styles are inline, and the page contains no scripts.
//
// # Usage
//
//	err := page.Write(file, report.New(snapshot))
package page

import (
	_ "embed" // embeds page.html
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"berylpass/operate/burn/report"
)

// maxRows is the maximum number of rows per table.
const maxRows = 50

//go:embed page.html
var templateText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"name":     report.OrganisationName,
	"percent":  report.FormatPercent,
	"ms":       report.FormatDuration,
	"restored": report.FormatRestored,
	"time":     func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05") },
	"burn":     func(x float64) string { return fmt.Sprintf("%.1f", x) },
	"join":     func(names []string) string { return strings.Join(names, ", ") },
}).Parse(templateText))

// plots are the plots of a page as SVG elements.
type plots struct {
	Timeline, Organisations, Refusals template.HTML
}

// pageData is the input of the template.
type pageData struct {
	report.Report
	Plots plots
	// HiddenOrganisations and HiddenRows are the numbers of rows beyond maxRows, which the tables omit.
	HiddenOrganisations, HiddenRows int
}

// Write writes the report as an HTML page. Each table holds at most 50 rows.
func Write(w io.Writer, r report.Report) error {
	p, err := drawPlots(r)
	if err != nil {
		return fmt.Errorf("draw plots: %w", err)
	}
	d := pageData{
		Report: r, Plots: p,
		HiddenOrganisations: max(0, len(r.Organisations)-maxRows),
		HiddenRows:          max(0, len(r.Rows)-maxRows),
	}
	d.Organisations = d.Organisations[:min(maxRows, len(d.Organisations))]
	d.Rows = d.Rows[:min(maxRows, len(d.Rows))]
	return pageTemplate.Execute(w, d)
}
