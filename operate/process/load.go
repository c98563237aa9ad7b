package process

import (
	"context"
	"fmt"
	"os"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"berylpass/config/datacentre"
	"berylpass/config/key"
	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/service"
	"berylpass/config/snapshot"
	"berylpass/emulator"
	"berylpass/operate/command"
	"berylpass/operate/load"
	"berylpass/operate/localfleet"
)

// errPlanOrSelf reports a load command with neither or both of a plan and --self.
var errPlanOrSelf = fmt.Errorf("%w: load needs either a plan FILE or --self, not both", command.ErrUsage)

// runLoad implements "berylpass load", which measures a fleet under load.
type runLoad struct {
	environment
	Format        string        `long:"format" choice:"text" choice:"json" default:"text" description:"output format"`
	Self          bool          `long:"self" description:"start a fleet in this process and compare it with direct calls of backend servers"`
	Rate          float64       `long:"rate" default:"125" description:"with --self: requests per second"`
	Duration      time.Duration `long:"duration" default:"10s" description:"with --self: time during which requests are counted"`
	WarmUp        time.Duration `long:"warm-up" default:"3s" description:"with --self: time during which requests are sent before they are counted"`
	Daemons       int           `long:"daemons" default:"2" description:"with --self: number of daemons"`
	Backends      int           `long:"backends" default:"8" description:"with --self: number of backend servers"`
	Slots         int           `long:"slots" default:"64" description:"with --self: number of concurrent requests per backend server"`
	ServiceTime   time.Duration `long:"service-time" default:"5ms" description:"with --self: median service time of a request"`
	Organisations int           `long:"organisations" default:"8" description:"with --self: number of organisations"`
	Profile       string        `long:"cpu-profile" value-name:"FILE" description:"with --self: write a CPU profile of the whole process to this file"`
	Body          int           `long:"body" default:"0" description:"with --self: size of each request's body in bytes"`
	Arguments     struct {
		File string `positional-arg-name:"FILE" description:"load plan, in INI format"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (c *runLoad) Execute([]string) error {
	if c.Self == (c.Arguments.File != "") {
		return errPlanOrSelf
	}
	if c.Self {
		return c.measureLocalFleet(c.root.Context())
	}
	text, err := os.ReadFile(c.Arguments.File)
	if err != nil {
		return trace.Wrap(err)
	}
	plan, err := load.ParsePlan(c.Arguments.File, text)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.measure(c.root.Context(), plan)
}

// measure runs the plan and prints the result.
func (c *runLoad) measure(ctx context.Context, plan load.Plan) error {
	result, err := load.New(plan).Run(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.Format == "json" {
		return result.WriteJSON(c.stdout)
	}
	return result.WriteTable(c.stdout)
}

// measureLocalFleet starts a local fleet and measures it, with a CPU profile if one was asked for. The profile leaves
// out the start of the fleet.
func (c *runLoad) measureLocalFleet(ctx context.Context) error {
	f, err := localfleet.New()
	if err != nil {
		return trace.Wrap(err)
	}
	defer f.Close()
	plan, err := c.startLocalFleet(ctx, f)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.Profile == "" {
		return c.measure(ctx, plan)
	}
	file, err := os.Create(c.Profile)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = file.Close() }()
	if err := pprof.StartCPUProfile(file); err != nil {
		return trace.Wrap(err)
	}
	defer pprof.StopCPUProfile()
	return c.measure(ctx, plan)
}

// startLocalFleet starts the fleet and returns the plan that measures it. The
// backend servers called directly have the same options as the fleet's, but are
// separate servers, so that the two loads don't compete for slots.
func (c *runLoad) startLocalFleet(ctx context.Context, f *localfleet.LocalFleet) (load.Plan, error) {
	plan := load.Plan{
		Rate: c.Rate, Duration: c.Duration, WarmUp: c.WarmUp, Timeout: 10 * time.Second, Outstanding: 8192, Seed: 1,
		Routes: []load.Route{{Name: "lookups", Method: "GET", Path: "/fields", Weight: 1, Body: c.Body}},
	}
	for n := range c.Daemons {
		d, err := f.StartDaemon(fmt.Sprintf("vm-%d", n+1), fmt.Sprintf("dc-%d", n%2+1))
		if err != nil {
			return plan, err
		}
		plan.Targets = append(plan.Targets, "http://"+d.Addresses().Callers)
	}
	options := []emulator.Option{emulator.WithSlots(c.Slots), emulator.WithServiceTime(c.ServiceTime), emulator.WithTailShare(0)}
	for n := range c.Backends {
		if _, err := f.StartBackend(fmt.Sprintf("vm-%d", n%c.Daemons+1), fmt.Sprintf("rounds-%d", n+1), "rounds", options...); err != nil {
			return plan, err
		}
		e, err := emulator.New("127.0.0.1:0", options...)
		if err != nil {
			return plan, err
		}
		plan.Direct = append(plan.Direct, "http://"+e.Address())
	}
	s := c.localFleetSnapshot(&plan)
	if err := f.Publish(ctx, s); err != nil {
		return plan, err
	}
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	if err := f.AwaitReady(ctx, s.Revision); err != nil {
		return plan, err
	}
	return plan, f.AwaitLimits(ctx)
}

// localFleetSnapshot returns the configuration of the local fleet and adds its organisations to the plan. Each
// organisation's limit is twice its share of the total rate, with a burst of at least 10.
func (c *runLoad) localFleetSnapshot(plan *load.Plan) snapshot.Snapshot {
	s := snapshot.New(1).
		WithDatacentre(datacentre.New("dc-1", "local")).
		WithDatacentre(datacentre.New("dc-2", "local")).
		WithService(service.New("rounds").WithRamp(time.Second)).
		WithRoute(route.New("lookups", "rounds").WithMatch("", "/fields").WithRepeatable(true))
	share := 2 * c.Rate / float64(c.Organisations)
	for n := range c.Organisations {
		name := fmt.Sprintf("organisation-%d", n+1)
		secret := strings.Repeat("k", 16) + name
		plan.Organisations = append(plan.Organisations, load.Organisation{Name: name, Key: secret, Weight: 1})
		s = s.WithOrganisation(organisation.New(name).WithLimit(share, max(10, int(share))).WithKey(key.New("k1", key.DigestOf(secret))))
	}
	return s.Index()
}
