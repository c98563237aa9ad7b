// Package report computes how fast error budgets burn.
//
// An objective of 99.9 % leaves an error budget of 0.1 % of the requests that
// count. The burn rate of a window is the share of bad requests in it divided by
// that budget: at a rate of 1 the budget lasts exactly for its period. A fast alarm
// is raised if the burn rates of the last hour and the last 5 minutes are both at
// least FastBurn, and a slow alarm if those of the last 6 hours and the last 30
// minutes are both at least SlowBurn. The short window ends the alarm soon after
// the incident ends (Site Reliability Workbook, Beyer et al., chapter 5). Requests
// over an organisation's rate don't count; refusals inside the rate count as bad.
//
// # Usage
//
//	r := report.New(snapshot)
//	r.WriteText(os.Stdout, 20)
package report

import (
	"cmp"
	"slices"
	"time"

	"berylpass/monitor/burn"
)

// Burn rates that raise an alarm. FastBurn uses 2 % of a 30-day budget in 1 hour, SlowBurn 5 % in 6 hours.
const (
	FastBurn = 14.4
	SlowBurn = 6
)

// Values of Row.Alarm and Route.Alarm.
const (
	AlarmFast = "fast"
	AlarmSlow = "slow"
	AlarmNone = "none"
)

// Row holds the figures of one organisation on one route.
type Row struct {
	Organisation string  `json:"organisation"`
	Route        string  `json:"route"`
	Objective    float64 `json:"objective"`
	Requests     uint64  `json:"requests"`
	Late         uint64  `json:"late"`
	Unknown      uint64  `json:"unknown"`
	// RefusedInsideRate and RefusedOverRate are the numbers of refusals inside and over the organisation's rate.
	RefusedInsideRate uint64 `json:"refused-inside-rate"`
	RefusedOverRate   uint64 `json:"refused-over-rate"`
	// InTimeShare is the share of requests inside the rate that were answered in time.
	InTimeShare float64 `json:"good"`
	// BudgetUsed is the share of the error budget used since the start of recording.
	// Above 1 the objective is missed. It is 0 without an objective.
	BudgetUsed float64 `json:"budget-used"`
	Burn       Burn    `json:"burn"`
	Alarm      string  `json:"alarm"`
}

// Burn holds the burn rates of the windows before the snapshot was taken.
type Burn struct {
	FiveMinutes   float64 `json:"5m"`
	ThirtyMinutes float64 `json:"30m"`
	Hour          float64 `json:"1h"`
	SixHours      float64 `json:"6h"`
}

// Organisation holds the figures of one organisation over all routes. BudgetUsed is that of WorstRoute.
type Organisation struct {
	Name              string  `json:"name"`
	Requests          uint64  `json:"requests"`
	InTimeShare       float64 `json:"good"`
	RefusedInsideRate uint64  `json:"refused-inside-rate"`
	RefusedOverRate   uint64  `json:"refused-over-rate"`
	Unknown           uint64  `json:"unknown"`
	// WorstRoute is the route on which the largest share of the budget is used.
	WorstRoute string  `json:"worst-route"`
	BudgetUsed float64 `json:"budget-used"`
}

// Route holds the figures of one route over all organisations. P50 and P99 are upper bounds of the latency
// percentiles.
type Route struct {
	Name        string        `json:"name"`
	Objective   float64       `json:"objective"`
	Requests    uint64        `json:"requests"`
	InTimeShare float64       `json:"good"`
	P50         time.Duration `json:"p50-ns"`
	P99         time.Duration `json:"p99-ns"`
	Burn        Burn          `json:"burn"`
	Alarm       string        `json:"alarm"`
	Timeline    []burn.Point  `json:"timeline"`
}

// Detection summarises the ejections and their detection times.
type Detection struct {
	Ejections int `json:"ejections"`
	// NotRestored is the number of ejections whose backend server has not been restored. A server that several
	// daemons have ejected counts once for each of them.
	NotRestored int           `json:"out"`
	Median      time.Duration `json:"median-ns"`
	Worst       time.Duration `json:"worst-ns"`
}

// Report is the burn report of one or several daemons.
type Report struct {
	Daemons []string  `json:"daemons"`
	Since   time.Time `json:"since"`
	Taken   time.Time `json:"taken"`
	// Organisations starts with the smallest share of requests answered in time, Rows with the most severe alarm.
	Organisations []Organisation  `json:"organisations"`
	Routes        []Route         `json:"routes"`
	Rows          []Row           `json:"rows"`
	Detection     Detection       `json:"detection"`
	Ejections     []burn.Ejection `json:"ejections"`
}

// New computes the report of a snapshot.
func New(s burn.Snapshot) Report {
	r := Report{Daemons: s.Daemons, Since: s.Since, Taken: s.Taken, Ejections: s.Ejections, Detection: sumDetection(s.Ejections)}
	objectives := map[string]float64{}
	for _, route := range s.Routes {
		objectives[route.Name] = route.Objective
	}
	r.Rows = make([]Row, 0, len(s.Series))
	for _, x := range s.Series {
		r.Rows = append(r.Rows, newRow(x, objectives[x.Route]))
	}
	r.Organisations = sumOrganisations(r.Rows)
	r.Routes = sumRoutes(s)
	slices.SortStableFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(severity(b.Alarm), severity(a.Alarm)), cmp.Compare(b.BudgetUsed, a.BudgetUsed),
			cmp.Compare(a.InTimeShare, b.InTimeShare), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Route, b.Route))
	})
	return r
}

func newRow(x burn.Series, objective float64) Row {
	requests := x.InTime + x.Late + x.NotRun + x.Unknown
	b := newBurn(x, objective)
	return Row{
		Organisation: x.Organisation, Route: x.Route, Objective: objective,
		Requests: requests, Late: x.Late, Unknown: x.Unknown,
		RefusedInsideRate: x.NotRun, RefusedOverRate: x.OverRate,
		InTimeShare: share(float64(x.InTime), float64(requests)),
		BudgetUsed:  burnRate(burn.Tally{Good: float64(x.InTime), Bad: float64(requests - x.InTime)}, objective),
		Burn:        b, Alarm: b.alarm(),
	}
}

func newBurn(x burn.Series, objective float64) Burn {
	return Burn{
		FiveMinutes: burnRate(x.FiveMinutes, objective), ThirtyMinutes: burnRate(x.ThirtyMinutes, objective),
		Hour: burnRate(x.Hour, objective), SixHours: burnRate(x.SixHours, objective),
	}
}

// burnRate returns the burn rate, or 0 if there are no requests or the objective is not between 0 and 1.
func burnRate(t burn.Tally, objective float64) float64 {
	if objective <= 0 || objective >= 1 || t.Good+t.Bad == 0 {
		return 0
	}
	return t.Bad / (t.Good + t.Bad) / (1 - objective)
}

// share returns part/whole, or 1 if whole is 0.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

func (b Burn) alarm() string {
	switch {
	case b.Hour >= FastBurn && b.FiveMinutes >= FastBurn:
		return AlarmFast
	case b.SixHours >= SlowBurn && b.ThirtyMinutes >= SlowBurn:
		return AlarmSlow
	}
	return AlarmNone
}

// severity returns the rank of an alarm, the greatest for the most severe.
func severity(alarm string) int {
	switch alarm {
	case AlarmFast:
		return 2
	case AlarmSlow:
		return 1
	}
	return 0
}
