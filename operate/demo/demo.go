// Package demo demonstrates a fleet in one process on loopback: real daemons that
// communicate over sockets, a stand-in for the platform and emulated backend
// servers. While several organisations send requests, a backend server slows down, a
// key is withdrawn, a data centre is taken out of service and restored, and a daemon
// is shut down. At the end the outcomes reported to callers are compared with the
// requests that the backend servers ran.
//
// # Usage
//
//	violations, err := demo.New(os.Stdout).Run(ctx)
//
// A run takes about half a minute. The result describes each violated invariant and
// is empty if all invariants held.
package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"berylpass/config/class"
	"berylpass/config/datacentre"
	"berylpass/config/key"
	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/service"
	"berylpass/config/snapshot"
	"berylpass/daemon"
	"berylpass/emulator"
	"berylpass/operate/localfleet"
)

// Time limits of the demonstration.
const (
	// keyWithdrawalLimit and datacentreRemovalLimit are the times after the publication of the change from which on no
	// request may run with the withdrawn key, or in the data centre taken out of service. detectionLimit is the time in
	// which a slow backend server must be ejected.
	keyWithdrawalLimit     = 2 * time.Second
	datacentreRemovalLimit = 3 * time.Second
	detectionLimit         = 5 * time.Second
	// readyTimeout is the time limit for the start of the fleet, and for a revision to be in force on all daemons.
	readyTimeout = 15 * time.Second
	// shutdownTimeout is the time limit of the daemon's graceful shutdown. It is longer than the deadline of any request.
	shutdownTimeout = 5 * time.Second
)

const serviceName = "rounds"

var callers = []caller{
	{organisation: "kowalski-orchards", secret: "key-of-kowalski-orchards", rate: 40, burst: 40, sendRate: 20},
	{organisation: "saint-lawrence-parish", secret: "key-of-saint-lawrence-parish", rate: 40, burst: 40, sendRate: 15},
	{organisation: "warta-football-club", secret: "key-of-warta-football-club", rate: 20, burst: 20, sendRate: 60},
}

// withdrawnOrganisation is the organisation whose key is withdrawn.
const withdrawnOrganisation = "saint-lawrence-parish"

// Demo is one run of the demonstration.
type Demo struct {
	out      io.Writer
	fleet    *localfleet.LocalFleet
	backends map[string]*localfleet.Backend
	// removed reports for each backend server whether it is in the data centre that is taken out of service.
	removed    map[string]bool
	snapshot   snapshot.Snapshot
	started    time.Time
	violations []string

	mu      sync.Mutex
	targets []string
}

// New returns a demonstration that writes its progress and results to out.
func New(out io.Writer) *Demo {
	return &Demo{out: out, backends: map[string]*localfleet.Backend{}, removed: map[string]bool{}}
}

// Run runs the demonstration and returns the violated invariants. It may be called once.
func (d *Demo) Run(ctx context.Context) ([]string, error) {
	d.started = time.Now()
	fleet, err := localfleet.New(localfleet.WithLogger(zerolog.Nop()))
	if err != nil {
		return nil, err
	}
	d.fleet = fleet
	defer fleet.Close()
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	t := newTraffic(d.currentTargets)
	for n, c := range callers {
		t.send(c, uint64(n))
	}
	for _, step := range []func(context.Context) error{d.degradeBackend, d.withdrawKey, d.removeDatacentre, d.stopDaemon} {
		if err := step(ctx); err != nil {
			t.stopAndWait()
			return d.violations, err
		}
	}
	t.stopAndWait()
	d.checkInvariants(t)
	return d.violations, nil
}

// printf prints a line that starts with the seconds since the start of the run.
func (d *Demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the daemons and backend servers, publishes the first revision and waits until the fleet is ready.
func (d *Demo) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, place := range [][2]string{{"vm-1", "srem"}, {"vm-2", "srem"}, {"vm-3", "gniezno"}} {
		if _, err := d.fleet.StartDaemon(place[0], place[1]); err != nil {
			return err
		}
	}
	secrets := make([]string, 0, len(callers))
	for _, c := range callers {
		secrets = append(secrets, c.secret)
	}
	for n := range 6 {
		vm := fmt.Sprintf("vm-%d", n/2+1)
		id := fmt.Sprintf("rounds-%d", n+1)
		b, err := d.fleet.StartBackend(vm, id, serviceName,
			emulator.WithSlots(4), emulator.WithServiceTime(15*time.Millisecond), emulator.WithSecrets(secrets...))
		if err != nil {
			return err
		}
		d.backends[id], d.removed[id] = b, vm == "vm-3"
	}
	d.snapshot = firstSnapshot()
	if err := d.fleet.Publish(ctx, d.snapshot); err != nil {
		return err
	}
	if err := d.fleet.AwaitReady(ctx, d.snapshot.Revision); err != nil {
		return fmt.Errorf("wait until the fleet is ready: %w", err)
	}
	if err := d.fleet.AwaitLimits(ctx); err != nil {
		return fmt.Errorf("wait until the limits are split over the daemons: %w", err)
	}
	d.refreshTargets()
	d.printf("3 daemons in 2 data centres and 6 backend servers are ready; %d organisations send requests", len(callers))
	return nil
}

// firstSnapshot returns the configuration that the demonstration starts with.
func firstSnapshot() snapshot.Snapshot {
	s := snapshot.New(1).
		WithDatacentre(datacentre.New("srem", "wielkopolska")).
		WithDatacentre(datacentre.New("gniezno", "wielkopolska")).
		WithService(service.New(serviceName).WithRamp(time.Second)).
		WithRoute(route.New("lookups", serviceName).WithMatch("", "/fields", "GET").WithRepeatable(true).WithDeadline(3 * time.Second)).
		WithRoute(route.New("visits", serviceName).WithMatch("", "/visits", "POST").WithClass(class.Reservation).WithDeadline(3 * time.Second))
	for _, c := range callers {
		s = s.WithOrganisation(organisation.New(c.organisation).WithLimit(c.rate, c.burst).WithKey(key.New("k1", key.DigestOf(c.secret))))
	}
	return s.Index()
}

// currentTargets returns the addresses of the daemons that callers send requests to.
func (d *Demo) currentTargets() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targets
}

// refreshTargets sets the targets to the addresses of all running daemons.
func (d *Demo) refreshTargets() {
	targets := []string{}
	daemons := d.fleet.Daemons()
	for _, id := range sortedKeys(daemons) {
		targets = append(targets, daemons[id].Addresses().Callers)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets = targets
}

// publishNext publishes s as the next revision and waits until it is in force on all daemons. It returns the time just
// before the publication.
func (d *Demo) publishNext(ctx context.Context, s snapshot.Snapshot) (time.Time, error) {
	s = s.WithRevision(d.snapshot.Revision + 1).Index()
	at := time.Now()
	if err := d.fleet.Publish(ctx, s); err != nil {
		return at, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	d.snapshot = s
	err := d.fleet.AwaitAll(ctx, func(m *daemon.Daemon) bool { return m.Status().Revision >= s.Revision })
	d.printf("revision %d is in force on all daemons after %s", s.Revision, time.Since(at).Round(time.Millisecond))
	return at, err
}

// pause waits for d, or until ctx ends, and then returns the error of ctx.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
