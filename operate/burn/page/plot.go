package page

import (
	"bytes"
	"cmp"
	"html/template"
	"image/color"
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"berylpass/operate/burn/report"
)

// Sizes and limits of the plots.
const (
	plotWidth      = 24 * vg.Centimeter
	plotHeight     = 9 * vg.Centimeter
	barWidthPoints = 14
	// maxBars is the maximum number of organisations in a bar chart, maxLines that of routes in the timeline and
	// maxTicks that of intervals between the ticks of its time axis.
	maxBars  = 10
	maxLines = 7
	maxTicks = 12
	// headroom is the ratio of the upper end of the y axis to the greatest value.
	headroom = 1.1
)

var (
	red  = color.RGBA{R: 200, G: 60, B: 50, A: 255}
	grey = color.RGBA{R: 150, G: 150, B: 150, A: 255}
)

// drawPlots draws all plots of the page.
func drawPlots(r report.Report) (plots, error) {
	var p plots
	for _, d := range []struct {
		to   *template.HTML
		plot func(report.Report) (*plot.Plot, error)
	}{{&p.Timeline, plotTimeline}, {&p.Organisations, plotWorstServed}, {&p.Refusals, plotRefusals}} {
		drawn, err := d.plot(r)
		if err != nil {
			return plots{}, err
		}
		if *d.to, err = encodeSVG(drawn); err != nil {
			return plots{}, err
		}
	}
	return p, nil
}

// newPlot returns an empty plot with a title, a label on the y axis and sans-serif text.
func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, y
	for _, style := range []*font.Font{&p.Title.TextStyle.Font, &p.X.Label.TextStyle.Font, &p.Y.Label.TextStyle.Font,
		&p.X.Tick.Label.Font, &p.Y.Tick.Label.Font, &p.Legend.TextStyle.Font} {
		style.Variant = "Sans"
	}
	p.Legend.Top = true
	return p
}

// encodeSVG returns a plot as an SVG element.
func encodeSVG(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	// Add a generic font family, and cut off the XML prologue, which is not allowed inside an HTML page.
	text := bytes.ReplaceAll(b.Bytes(), []byte("font-family:Liberation Sans"), []byte("font-family:Liberation Sans, sans-serif"))
	return template.HTML(text[max(0, bytes.Index(text, []byte("<svg"))):]), nil
}

// plotTimeline plots the percentage of requests not answered in time over the last six hours, for the maxLines routes
// with the lowest share answered in time.
func plotTimeline(r report.Report) (*plot.Plot, error) {
	p := newPlot("Requests inside the rate that were not answered in time", "percent")
	p.X.Tick.Marker = plot.TickerFunc(hourTicks)
	list := slices.Clone(r.Routes)
	slices.SortStableFunc(list, func(a, b report.Route) int { return cmp.Compare(a.InTimeShare, b.InTimeShare) })
	for i, route := range list[:min(maxLines, len(list))] {
		points := missedPercent(route)
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(route.Name, line)
	}
	p.Y.Min = 0
	p.Y.Max = max(headroom*p.Y.Max, 1)
	if len(list) == 0 {
		p.X.Min, p.X.Max = float64(r.Taken.Add(-time.Hour).Unix()), float64(r.Taken.Unix())
	}
	return p, nil
}

// hourTicks returns ticks at whole hours in UTC between low and high, which are in Unix seconds. The interval between
// ticks is the smallest number of hours that needs at most maxTicks intervals.
func hourTicks(low, high float64) []plot.Tick {
	const hour = 3600
	step := hour * math.Ceil(max(high-low, 1)/(maxTicks*hour))
	var ticks []plot.Tick
	for i := range maxTicks + 1 {
		at := (math.Ceil(low/step) + float64(i)) * step
		if at <= high {
			ticks = append(ticks, plot.Tick{Value: at, Label: time.Unix(int64(at), 0).UTC().Format("15:04")})
		}
	}
	return ticks
}

// missedPercent returns the percentage of requests not answered in time over Unix time, without intervals that had no
// requests.
func missedPercent(route report.Route) plotter.XYs {
	var points plotter.XYs
	for _, t := range route.Timeline {
		if total := t.Good + t.Bad; total > 0 {
			points = append(points, plotter.XY{X: float64(t.Start.Unix()), Y: 100 * float64(t.Bad) / float64(total)})
		}
	}
	return points
}

// plotWorstServed plots the percentage of requests not answered in time for the worst-served organisations.
func plotWorstServed(r report.Report) (*plot.Plot, error) {
	list := r.Organisations[:min(maxBars, len(r.Organisations))]
	var values plotter.Values
	for _, o := range list {
		values = append(values, 100*(1-o.InTimeShare))
	}
	p := newPlot("Requests not answered in time, worst-served organisations", "percent")
	return p, addBars(p, list, []barSeries{{"not in time", red, values}})
}

// plotRefusals plots the refusals of the organisations with the most refusals inside their rates.
func plotRefusals(r report.Report) (*plot.Plot, error) {
	list := slices.Clone(r.Organisations)
	slices.SortStableFunc(list, func(a, b report.Organisation) int {
		return cmp.Or(cmp.Compare(b.RefusedInsideRate, a.RefusedInsideRate), cmp.Compare(b.RefusedOverRate, a.RefusedOverRate))
	})
	list = list[:min(maxBars, len(list))]
	var inside, over plotter.Values
	for _, o := range list {
		inside, over = append(inside, float64(o.RefusedInsideRate)), append(over, float64(o.RefusedOverRate))
	}
	p := newPlot("Refusals inside and over the rate", "requests")
	return p, addBars(p, list, []barSeries{{"inside the rate", red, inside}, {"over the rate", grey, over}})
}

// barSeries is one bar for each organisation, all in the same colour.
type barSeries struct {
	label  string
	color  color.Color
	values plotter.Values
}

// addBars adds a group of bars for each organisation in the list, with one bar from each element of groups.
func addBars(p *plot.Plot, list []report.Organisation, groups []barSeries) error {
	p.Y.Min = 0
	if len(list) == 0 {
		p.X.Min, p.X.Max, p.Y.Max = 0, 1, 1
		return nil
	}
	for i, g := range groups {
		chart, err := plotter.NewBarChart(g.values, vg.Points(barWidthPoints))
		if err != nil {
			return err
		}
		chart.Color, chart.LineStyle.Width = g.color, 0
		chart.Offset = vg.Points(barWidthPoints) * vg.Length(2*i-len(groups)+1) / 2
		p.Add(chart)
		p.Legend.Add(g.label, chart)
	}
	names := make([]string, len(list))
	for i, o := range list {
		names[i] = report.OrganisationName(o.Name)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = labelAngleRadians
	p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = draw.XRight, draw.YCenter
	p.Y.Max = max(headroom*p.Y.Max, 1)
	return nil
}

// labelAngleRadians is the angle at which the organisations' names are printed below the x axis.
const labelAngleRadians = 0.4
