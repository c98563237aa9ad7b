// Package load measures a fleet, or a single backend server, under open-loop load.
//
// Arrivals follow a Poisson process and do not wait for answers; latency counts
// from the time at which a request was due, so that stalls show in full. A plan
// may name a backend server to be called directly in the same run, with the same
// arrivals, which gives the latency that the fleet adds.
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

// Bounds and defaults of a plan.
const (
	MaxRate            = 100_000.0
	MaxDuration        = 10 * time.Minute
	MaxBody            = 32 << 20
	defaultRate        = 125.0
	defaultDuration    = 10 * time.Second
	defaultOutstanding = 4096
	defaultTimeout     = 10 * time.Second
)

// ErrPlan reports a mistake in a plan; the text names section, key and what is allowed.
var ErrPlan = errors.New("load plan")

// Plan says what to send where.
type Plan struct {
	// Targets are base URLs of daemons, used in turn.
	Targets []string
	// Direct are base URLs of backend servers, called besides if there are any.
	Direct []string
	// Rate is in requests per second.
	Rate     float64
	Duration time.Duration
	// WarmUp is how long requests are sent before they are counted.
	WarmUp  time.Duration
	Timeout time.Duration
	// Outstanding bounds the requests that wait for an answer; beyond it an
	// arrival is counted as not sent.
	Outstanding int
	// Skew is the exponent by which organisations' weights fall with their rank; 0 for even.
	Skew          float64
	Seed          uint64
	Organisations []Organisation
	Routes        []Route
}

// Organisation is a caller.
type Organisation struct {
	Name   string
	Key    string
	Weight float64
}

// Route is a kind of request.
type Route struct {
	Name   string
	Method string
	Path   string
	Weight float64
	// Body is the size of the request's body in bytes.
	Body int
}

// ParsePlan reads a plan from INI text; file names it in errors. All mistakes
// are reported at once; the error wraps ErrPlan.
func ParsePlan(file string, text []byte) (Plan, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true}, text)
	if err != nil {
		return Plan{}, fmt.Errorf("%w: %s: %w", ErrPlan, file, err)
	}
	p := &planReader{file: file}
	plan := p.general(parsed.Section("load"))
	for _, section := range parsed.Sections() {
		kind, name := sectionName(section.Name())
		switch kind {
		case "load", ini.DefaultSection:
		case "organisation":
			plan.Organisations = append(plan.Organisations, p.organisation(section, name))
		case "route":
			plan.Routes = append(plan.Routes, p.route(section, name))
		default:
			p.mistake(section.Name(), "", `allowed are [load], [organisation "name"], [route "name"]`)
		}
	}
	if len(plan.Routes) == 0 {
		p.mistake("route", "", "want at least one")
	}
	if len(plan.Organisations) == 0 {
		plan.Organisations = []Organisation{{Name: "none", Weight: 1}}
	}
	sort.Slice(plan.Organisations, func(i, j int) bool { return plan.Organisations[i].Name < plan.Organisations[j].Name })
	return plan, errors.Join(p.mistakes...)
}

type planReader struct {
	file     string
	mistakes []error
}

func (p *planReader) mistake(section, key, allowed string) {
	where := "[" + section + "]"
	if key != "" {
		where += " " + key
	}
	p.mistakes = append(p.mistakes, fmt.Errorf("%w: %s: %s: %s", ErrPlan, p.file, where, allowed))
}

func (p *planReader) general(s *ini.Section) Plan {
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
		p.mistake("load", "rate", fmt.Sprintf("allowed is more than 0 up to %g requests a second", MaxRate))
	}
	if plan.Duration <= 0 || plan.Duration > MaxDuration {
		p.mistake("load", "duration", fmt.Sprintf("allowed is more than 0 up to %s", MaxDuration))
	}
	if plan.WarmUp < 0 || plan.WarmUp > MaxDuration {
		p.mistake("load", "warm-up", fmt.Sprintf("allowed is 0 up to %s", MaxDuration))
	}
	if len(plan.Targets) == 0 {
		p.mistake("load", "targets", "want base URLs, parted by commas")
	}
	return plan
}

func (p *planReader) urls(s *ini.Section, key string) []string {
	urls := s.Key(key).Strings(",")
	for _, text := range urls {
		u, err := url.Parse(text)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || !loopback(u.Hostname()) {
			p.mistake("load", key, fmt.Sprintf("%q: allowed are http or https URLs with a loopback IP number", text))
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
		p.mistake(s.Name(), "path", "want a path that starts with /")
	}
	if r.Body < 0 || r.Body > MaxBody {
		p.mistake(s.Name(), "body", fmt.Sprintf("allowed are 0 to %d bytes", MaxBody))
	}
	return r
}

func (p *planReader) weight(s *ini.Section) float64 {
	w := s.Key("weight").MustFloat64(1)
	if w <= 0 {
		p.mistake(s.Name(), "weight", "want more than 0")
	}
	return w
}

func sectionName(text string) (kind, name string) {
	kind, rest, _ := strings.Cut(text, " ")
	return kind, strings.Trim(rest, `"`)
}

func loopback(host string) bool {
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
