// Package load measures a fleet, or a single backend server, under open-loop load.
//
// Arrivals follow a Poisson process and do not wait for responses. Latency is
// measured from the time at which a request was due, so that a stall shows in the
// latency of every request that it delays. A plan may name backend servers to be
// called directly in the same run with the same arrivals; the difference is the
// latency that the fleet adds.
//
// # Usage
//
//	plan, err := load.ParsePlan("load.ini", text)
//	result, err := load.New(plan).Run(ctx)
//	result.WriteTable(os.Stdout)
package load

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"sort"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Limits and defaults of a plan. Rates are in requests per second and MaxBody is in bytes.
const (
	MaxRate            = 100_000.0
	MaxDuration        = 10 * time.Minute
	MaxBody            = 32 << 20
	defaultRate        = 125.0
	defaultDuration    = 10 * time.Second
	defaultOutstanding = 4096
	defaultTimeout     = 10 * time.Second
)

// ErrPlan reports a mistake in a plan. The error text names the file, the section, the key and what is required.
var ErrPlan = errors.New("invalid load plan")

// Plan is the load to send, and the servers to send it to.
type Plan struct {
	// Targets are the base URLs of daemons, used in turn.
	Targets []string
	// Direct are the base URLs of backend servers. If there are any, each request is also sent to one of them, in turn.
	Direct []string
	// Rate is the mean arrival rate in requests per second.
	Rate float64
	// Duration is the time during which requests are counted.
	Duration time.Duration
	// WarmUp is the time during which requests are sent before they are counted.
	WarmUp time.Duration
	// Timeout is the time limit of one request.
	Timeout time.Duration
	// Outstanding is the maximum number of requests that wait for a response. An
	// arrival beyond it is counted as not sent.
	Outstanding int
	// Skew makes organisations unequal, as in a Zipf distribution: each weight is divided by the organisation's rank by
	// name to the power of Skew. 0 keeps the weights.
	Skew float64
	// Seed seeds the random arrivals, organisations and routes.
	Seed          uint64
	Organisations []Organisation
	Routes        []Route
}

// Organisation is a caller. A request's organisation is drawn by Weight.
type Organisation struct {
	Name   string
	Key    string
	Weight float64
}

// Route is a kind of request. A request's route is drawn by Weight.
type Route struct {
	Name   string
	Method string
	Path   string
	Weight float64
	// Body is the size of the request's body in bytes.
	Body int
}

// ParsePlan reads a plan from INI text. The file name is used in errors only. All
// mistakes are reported at once, and the error wraps ErrPlan.
func ParsePlan(file string, text []byte) (Plan, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true}, text)
	if err != nil {
		return Plan{}, fmt.Errorf("%w: %s: %w", ErrPlan, file, err)
	}
	p := &planReader{file: file}
	plan := p.loadSection(parsed.Section("load"))
	for _, section := range parsed.Sections() {
		kind, name := sectionName(section.Name())
		switch kind {
		case "load", ini.DefaultSection:
		case "organisation":
			plan.Organisations = append(plan.Organisations, p.organisation(section, name))
		case "route":
			plan.Routes = append(plan.Routes, p.route(section, name))
		default:
			p.mistake(section.Name(), "", `unknown section; use [load], [organisation "name"] or [route "name"]`)
		}
	}
	if len(plan.Routes) == 0 {
		p.mistake("route", "", "at least one is required")
	}
	if len(plan.Organisations) == 0 {
		plan.Organisations = []Organisation{{Name: "none", Weight: 1}}
	}
	sort.Slice(plan.Organisations, func(i, j int) bool { return plan.Organisations[i].Name < plan.Organisations[j].Name })
	return plan, errors.Join(p.mistakes...)
}

// planReader reads the sections of a plan and collects the mistakes in them.
type planReader struct {
	file     string
	mistakes []error
}

// mistake records a mistake in a section or, if key is not empty, in a key of it.
func (p *planReader) mistake(section, key, requirement string) {
	where := "[" + section + "]"
	if key != "" {
		where += " " + key
	}
	p.mistakes = append(p.mistakes, fmt.Errorf("%w: %s: %s: %s", ErrPlan, p.file, where, requirement))
}

// loadSection reads the section load.
func (p *planReader) loadSection(s *ini.Section) Plan {
	plan := Plan{
		Targets:     p.urls(s, "targets"),
		Direct:      p.urls(s, "direct"),
		Rate:        s.Key("rate").MustFloat64(defaultRate),
		Duration:    s.Key("duration").MustDuration(defaultDuration),
		WarmUp:      s.Key("warm-up").MustDuration(0),
		Timeout:     s.Key("timeout").MustDuration(defaultTimeout),
		Outstanding: s.Key("outstanding").MustInt(defaultOutstanding),
		Skew:        s.Key("skew").MustFloat64(0),
		Seed:        s.Key("seed").MustUint64(1),
	}
	if plan.Rate <= 0 || plan.Rate > MaxRate {
		p.mistake("load", "rate", fmt.Sprintf("must be more than 0 and at most %g requests per second", MaxRate))
	}
	if plan.Duration <= 0 || plan.Duration > MaxDuration {
		p.mistake("load", "duration", fmt.Sprintf("must be more than 0 and at most %s", MaxDuration))
	}
	if plan.WarmUp < 0 || plan.WarmUp > MaxDuration {
		p.mistake("load", "warm-up", fmt.Sprintf("must be from 0 to %s", MaxDuration))
	}
	if len(plan.Targets) == 0 {
		p.mistake("load", "targets", "must be one or more base URLs, separated by commas")
	}
	return plan
}

// urls reads a comma-separated list of URLs. Only loopback addresses are allowed.
func (p *planReader) urls(s *ini.Section, key string) []string {
	urls := s.Key(key).Strings(",")
	for _, text := range urls {
		u, err := url.Parse(text)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || !isLoopback(u.Hostname()) {
			p.mistake("load", key, fmt.Sprintf("%q must be an http or https URL with a loopback IP address", text))
		}
	}
	return urls
}

func (p *planReader) organisation(s *ini.Section, name string) Organisation {
	return Organisation{Name: name, Key: s.Key("key").String(), Weight: p.weight(s)}
}

func (p *planReader) route(s *ini.Section, name string) Route {
	r := Route{
		Name:   name,
		Method: s.Key("method").MustString("GET"),
		Path:   s.Key("path").MustString("/"),
		Weight: p.weight(s),
		Body:   s.Key("body").MustInt(0),
	}
	if !strings.HasPrefix(r.Path, "/") {
		p.mistake(s.Name(), "path", "must start with /")
	}
	if r.Body < 0 || r.Body > MaxBody {
		p.mistake(s.Name(), "body", fmt.Sprintf("must be from 0 to %d bytes", MaxBody))
	}
	return r
}

func (p *planReader) weight(s *ini.Section) float64 {
	w := s.Key("weight").MustFloat64(1)
	if w <= 0 {
		p.mistake(s.Name(), "weight", "must be more than 0")
	}
	return w
}

// sectionName splits the name of a section into its kind and the quoted name after it.
func sectionName(text string) (kind, name string) {
	kind, rest, _ := strings.Cut(text, " ")
	return kind, strings.Trim(rest, `"`)
}

// isLoopback reports whether host is a loopback IP address. Names are not resolved.
func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
