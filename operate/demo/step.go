package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"berylpass/daemon"
	"berylpass/emulator"
)

const (
	grayBackend = "rounds-2"
	stoppedVM   = "vm-2"
)

// degradeBackend makes a backend server ten times slower, waits until it is ejected, and restores its speed.
func (d *Demo) degradeBackend(ctx context.Context) error {
	if err := pause(ctx, 2*time.Second); err != nil {
		return err
	}
	d.printf("%s becomes ten times slower but keeps answering", grayBackend)
	at := time.Now()
	d.backends[grayBackend].SetFault(emulator.Fault{SlowFactor: 10})
	if err := d.awaitState(ctx, detectionLimit, "ejected", "on-trial"); err != nil {
		d.violations = append(d.violations, fmt.Sprintf("%s was not ejected within %s", grayBackend, detectionLimit))
	} else {
		d.printf("a daemon ejected %s %s after it became slow", grayBackend, time.Since(at).Round(time.Millisecond))
	}
	if err := pause(ctx, time.Second); err != nil {
		return err
	}
	d.backends[grayBackend].SetFault(emulator.Fault{})
	d.printf("%s is back at full speed", grayBackend)
	return pause(ctx, 2*time.Second)
}

// awaitState waits until any daemon reports grayBackend in one of the states. It gives up after limit, with the error
// of its context.
func (d *Demo) awaitState(ctx context.Context, limit time.Duration, states ...string) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	seen := func(m *daemon.Daemon) bool {
		for _, line := range m.Status().Backends {
			for _, state := range states {
				if string(line.Backend) == grayBackend && line.State == state {
					return true
				}
			}
		}
		return false
	}
	for {
		for _, m := range d.fleet.Daemons() {
			if seen(m) {
				return nil
			}
		}
		if err := pause(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
}

// withdrawKey withdraws an organisation's key while the organisation sends requests, and checks that none of them runs
// once keyWithdrawalLimit has passed.
func (d *Demo) withdrawKey(ctx context.Context) error {
	d.printf("withdrawing the key of %s", withdrawnOrganisation)
	o := d.snapshot.Organisations[withdrawnOrganisation].WithoutKey("k1")
	at, err := d.publishNext(ctx, d.snapshot.WithOrganisation(o))
	if err != nil {
		return err
	}
	if err := pause(ctx, keyWithdrawalLimit+time.Second); err != nil {
		return err
	}
	for _, id := range sortedKeys(d.backends) {
		d.violations = append(d.violations, checkNoRuns("withdrawn key", d.backends[id].Runs(), at.Add(keyWithdrawalLimit), time.Now(),
			func(request string) bool { return strings.HasPrefix(request, withdrawnOrganisation) })...)
	}
	return nil
}

// removeDatacentre takes a data centre out of service, checks that nothing runs there once datacentreRemovalLimit has
// passed, and puts the data centre back into service.
func (d *Demo) removeDatacentre(ctx context.Context) error {
	d.printf("taking data centre gniezno out of service")
	out := d.snapshot.Datacentres["gniezno"].WithInService(false)
	at, err := d.publishNext(ctx, d.snapshot.WithDatacentre(out))
	if err != nil {
		return err
	}
	if err := pause(ctx, datacentreRemovalLimit+time.Second); err != nil {
		return err
	}
	until := time.Now()
	for _, id := range sortedKeys(d.removed) {
		if d.removed[id] {
			d.violations = append(d.violations, checkNoRuns("data centre out of service", d.backends[id].Runs(), at.Add(datacentreRemovalLimit), until,
				func(string) bool { return true })...)
		}
	}
	d.printf("putting data centre gniezno back into service")
	if _, err := d.publishNext(ctx, d.snapshot.WithDatacentre(out.WithInService(true))); err != nil {
		return err
	}
	return pause(ctx, time.Second)
}

// stopDaemon shuts a daemon down gracefully while the other daemons receive requests.
func (d *Demo) stopDaemon(ctx context.Context) error {
	d.printf("shutting down %s gracefully", stoppedVM)
	address := d.fleet.Daemons()[stoppedVM].Addresses().Callers
	d.removeTarget(address)
	limited, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := d.fleet.StopDaemon(limited, stoppedVM); err != nil {
		d.violations = append(d.violations, fmt.Sprintf("graceful shutdown of %s: %v", stoppedVM, err))
		return nil
	}
	d.printf("%s has shut down and finished its requests", stoppedVM)
	return pause(ctx, time.Second)
}

// removeTarget stops callers from sending new requests to the address.
func (d *Demo) removeTarget(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var kept []string
	for _, t := range d.targets {
		if t != address {
			kept = append(kept, t)
		}
	}
	d.targets = kept
}
