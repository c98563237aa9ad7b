// Package chooser runs the picker of an ingress: it passes it the state of the fleet and the outcomes of
// attempts, ticks it periodically and carries out its actions.
//
// # Usage
//
//	c := chooser.New(chooser.Options{Self: self, Seed: seed, Clock: time.Now, Observer: o, Prober: p})
//	defer c.Close()
//	c.SetConfiguration(snapshot)
//	c.SetBackend(b, guard)
//	target, err := c.Pick(picker.Request{Service: "rounds"}) // errors.Is(err, picker.ErrNoBackend)
//	c.AttemptStarted(attempt, target, class.Transfer)
//	c.AttemptEnded(picker.AttemptEnded{Attempt: attempt, Backend: target.Backend.ID, Verdict: verdict.OK})
package chooser

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/picker"
	"berylpass/choice/report"
	"berylpass/choice/spill"
	"berylpass/choice/verdict"
	"berylpass/config/class"
	"berylpass/config/snapshot"
	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

const (
	// tickInterval is the time between two ticks of the picker.
	tickInterval = 100 * time.Millisecond
	// probeTimeout is the longest wait for a probe. The guard ends the probe within a second and then sends its
	// report.
	probeTimeout = 2 * time.Second
)

// Target is a backend server and the daemon on its VM.
type Target struct {
	Backend backend.Backend
	Guard   member.Member
	// Forced reports whether the backend server receives regular traffic although its breaker is not closed.
	Forced bool
	// TrialOnly reports whether the backend server receives trial requests only.
	TrialOnly bool
	// HasOther reports whether another backend server could receive the request.
	HasOther bool
}

// Observer is notified of ejections and restorations. Its methods must not block.
type Observer interface {
	Ejected(e picker.Ejected)
	Restored(r picker.Restored)
}

// Prober queries guards about their backend servers.
type Prober interface {
	// Probe makes the guard send a safe request to its backend server.
	Probe(ctx context.Context, target Target) (verdict.Verdict, *report.Report)
	// FetchReport fetches the guard's report. It returns verdict.Shed if the guard answered, else verdict.PathFailure.
	FetchReport(ctx context.Context, target Target) (verdict.Verdict, *report.Report)
}

// query is one of the methods of Prober.
type query func(ctx context.Context, target Target) (verdict.Verdict, *report.Report)

// Options configure a Chooser. Clock, Observer and Prober must not be nil.
type Options struct {
	Self     member.Member
	Seed     uint64
	Clock    func() time.Time
	Observer Observer
	Prober   Prober
	// Picker lists the options of the picker.
	Picker []picker.Option
	// Versions decides which versions may be used; nil if all may.
	Versions Versions
}

// Chooser chooses backend servers for one ingress. It is safe for concurrent use.
type Chooser struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu       sync.Mutex
	picker   *picker.Picker
	snapshot snapshot.Snapshot
	targets  map[backend.ID]Target
	trials   trials
}

// New returns a running Chooser without backend servers. The caller must call Close.
func New(options Options) *Chooser {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Chooser{
		options:  options,
		ctx:      ctx,
		cancel:   cancel,
		picker:   picker.New(options.Seed, options.Picker...),
		snapshot: snapshot.New(0),
		targets:  map[backend.ID]Target{},
		trials:   newTrials(options.Seed),
	}
	c.wait.Go(func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				c.update(picker.Tick{})
			case <-ctx.Done():
				return
			}
		}
	})
	return c
}

// Close stops the goroutines of c and waits for them.
func (c *Chooser) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.wait.Wait()
}

// SetConfiguration applies the services and data centres of a snapshot.
func (c *Chooser) SetConfiguration(s snapshot.Snapshot) {
	now := c.options.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot = s
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		c.picker.Update(now, picker.ServiceUpdated{Service: s.Services[name]})
	}
	for _, known := range slices.Sorted(maps.Keys(c.targets)) {
		c.updateTarget(now, c.targets[known])
	}
}

// SetBackend adds or updates a backend server and the daemon on its VM. A backend server in state backend.Gone
// is removed.
func (c *Chooser) SetBackend(b backend.Backend, guard member.Member) {
	now := c.options.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.State == backend.Gone {
		delete(c.targets, b.ID)
		c.trials.remove(b.ID)
		c.picker.Update(now, picker.BackendRemoved{ID: b.ID})
		return
	}
	c.targets[b.ID] = Target{Backend: b, Guard: guard}
	c.updateTarget(now, c.targets[b.ID])
}

// SetGuard updates a daemon for all backend servers on its VM. If it is dead, they are removed.
func (c *Chooser) SetGuard(guard member.Member) {
	now := c.options.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	var behind []backend.ID
	for known, t := range c.targets {
		if t.Guard.ID == guard.ID {
			behind = append(behind, known)
		}
	}
	slices.Sort(behind)
	for _, known := range behind {
		t := c.targets[known]
		if guard.State == member.Dead {
			delete(c.targets, known)
			c.trials.remove(known)
			c.picker.Update(now, picker.BackendRemoved{ID: known})
			continue
		}
		t.Guard = guard
		c.targets[known] = t
		c.updateTarget(now, t)
	}
}

// Pick returns a backend server for the request that w describes. Its error wraps picker.ErrNoBackend.
func (c *Chooser) Pick(r picker.Request) (Target, error) {
	now, trial := c.options.Clock(), c.trialOf(r.Service)
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.pickOnTrial(now, r, trial); ok {
		return t, nil
	}
	chosen, err := c.picker.PickFor(now, r)
	return c.target(r, chosen, err)
}

// PickHedge returns a backend server for a hedged request. Its error wraps picker.ErrNoBackend.
func (c *Chooser) PickHedge(r picker.Request) (Target, error) {
	now := c.options.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	chosen, err := c.picker.PickHedge(now, r)
	return c.target(r, chosen, err)
}

// HedgeDelay returns the time after which a request of a service and class is hedged. It reports false if that is
// unknown.
func (c *Chooser) HedgeDelay(service string, of class.Class) (time.Duration, bool) {
	now := c.options.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.picker.HedgeDelay(now, service, of)
}

// target returns the target of what the picker chose for r, or its error. The caller must hold c.mu.
func (c *Chooser) target(r picker.Request, chosen backend.ID, err error) (Target, error) {
	if err != nil {
		return Target{}, err
	}
	t, ok := c.targets[chosen]
	if !ok {
		return Target{}, fmt.Errorf("%w: backend server %q has just left", picker.ErrNoBackend, chosen)
	}
	t.Forced, t.TrialOnly = c.picker.Forced(chosen), c.picker.TrialOnly(chosen)
	t.HasOther = c.picker.HasOther(r, chosen)
	return t, nil
}

// AttemptStarted records that an attempt is sent to a target.
func (c *Chooser) AttemptStarted(attempt id.ID, target Target, of class.Class) {
	c.update(picker.AttemptStarted{Attempt: attempt, Backend: target.Backend.ID, Class: of})
}

// AttemptEnded records how an attempt ended.
func (c *Chooser) AttemptEnded(o picker.AttemptEnded) { c.update(o) }

// AttemptDiscarded ends an attempt whose outcome says nothing about its backend server.
func (c *Chooser) AttemptDiscarded(attempt id.ID, target Target) {
	c.update(picker.AttemptDiscarded{Attempt: attempt, Backend: target.Backend.ID})
}

// ReportReceived records a report that did not arrive with an answer to this ingress.
func (c *Chooser) ReportReceived(of backend.ID, r report.Report) {
	c.update(picker.ReportReceived{Backend: of, Report: r})
}

// Service returns the service of a backend server; empty if the backend server is unknown.
func (c *Chooser) Service(of backend.ID) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets[of].Backend.Service
}

// Status returns the state of every backend server, sorted by service and ID.
func (c *Chooser) Status() []picker.BackendStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.picker.Status(c.options.Clock())
}

// SetSpillRate sets the bytes a second that requests of this ingress may use between regions.
func (c *Chooser) SetSpillRate(bytesPerSecond float64) {
	now := c.options.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.picker.SetSpillRate(now, bytesPerSecond)
}

// Spilled returns what has left the region since the start, and the state of each service; see picker.Picker.Spilled.
func (c *Chooser) Spilled() (spill.Counts, []picker.RegionStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.picker.Spilled(c.options.Clock())
}

// updateTarget passes the state of a target to the picker. The caller must hold c.mu.
func (c *Chooser) updateTarget(now time.Time, t Target) {
	region, own := c.snapshot.Datacentres[t.Guard.Datacentre].Region, c.snapshot.Datacentres[c.options.Self.Datacentre].Region
	b, usable := c.versioned(now, t, t.Guard.State != member.Leaving && c.snapshot.InService(t.Guard.Datacentre))
	c.picker.Update(now, picker.BackendUpdated{
		Backend:        b,
		Region:         region,
		SameRegion:     region == own,
		Datacentre:     t.Guard.Datacentre,
		SameDatacentre: t.Guard.Datacentre == c.options.Self.Datacentre,
		SameVM:         t.Guard.ID == c.options.Self.ID,
		InService:      usable,
	})
}

// update passes an event to the picker and carries out the resulting actions. The caller must not hold c.mu.
func (c *Chooser) update(event decision.Event) {
	now := c.options.Clock()
	c.mu.Lock()
	actions := c.picker.Update(now, event)
	c.mu.Unlock()
	for _, action := range actions {
		switch a := action.(type) {
		case picker.Ejected:
			c.options.Observer.Ejected(a)
		case picker.Restored:
			c.options.Observer.Restored(a)
		case picker.Probe:
			c.queryGuard(a.Backend, c.options.Prober.Probe, probeTimeout)
		case picker.RequestReport:
			c.queryGuard(a.Backend, c.options.Prober.FetchReport, picker.ReportTimeout)
		}
	}
}

// queryGuard calls q in a new goroutine and passes the result to the picker.
func (c *Chooser) queryGuard(of backend.ID, q query, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.targets[of]
	if !ok || c.ctx.Err() != nil {
		return
	}
	c.wait.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		start := c.options.Clock()
		v, r := q(ctx, t)
		c.update(picker.AttemptEnded{Backend: of, Took: c.options.Clock().Sub(start), Verdict: v, Report: r})
	})
}
