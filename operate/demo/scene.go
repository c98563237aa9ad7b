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
	leavingVM   = "vm-2"
)

// gray makes a backend server slow until it is ejected, and heals it.
func (d *Demo) gray(ctx context.Context) error {
	if err := pause(ctx, 2*time.Second); err != nil {
		return err
	}
	d.say("%s turns gray: ten times as slow, and still up", grayBackend)
	at := time.Now()
	d.backends[grayBackend].SetFault(emulator.Fault{SlowFactor: 10})
	if err := d.awaitState(ctx, detectionLimit, "ejected", "on-trial"); err != nil {
		d.broken = append(d.broken, fmt.Sprintf("%s was not ejected within %s", grayBackend, detectionLimit))
	} else {
		d.say("%s is ejected by some daemon %s after it turned gray", grayBackend, time.Since(at).Round(time.Millisecond))
	}
	if err := pause(ctx, time.Second); err != nil {
		return err
	}
	d.backends[grayBackend].SetFault(emulator.Fault{})
	d.say("%s is healed", grayBackend)
	return pause(ctx, 2*time.Second)
}

// awaitState waits until some daemon sees the gray backend server in one of the states.
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

// withdraw takes the key of an organisation away while it sends requests.
func (d *Demo) withdraw(ctx context.Context) error {
	d.say("the key of %s is withdrawn", withdrawn)
	o := d.snapshot.Organisations[withdrawn].WithoutKey("k1")
	at, err := d.change(ctx, d.snapshot.WithOrganisation(o))
	if err != nil {
		return err
	}
	if err := pause(ctx, keyGrace+time.Second); err != nil {
		return err
	}
	for _, id := range sortedKeys(d.backends) {
		d.broken = append(d.broken, checkQuiet("withdrawn key", d.backends[id].Journal(), at.Add(keyGrace), time.Now(),
			func(request string) bool { return strings.HasPrefix(request, withdrawn) })...)
	}
	return nil
}

// takeOut takes a data centre out of service and brings it back.
func (d *Demo) takeOut(ctx context.Context) error {
	d.say("data centre gniezno is taken out")
	out := d.snapshot.Datacentres["gniezno"].WithInService(false)
	at, err := d.change(ctx, d.snapshot.WithDatacentre(out))
	if err != nil {
		return err
	}
	if err := pause(ctx, datacentreGrace+time.Second); err != nil {
		return err
	}
	until := time.Now()
	for _, id := range sortedKeys(d.remote) {
		if d.remote[id] {
			d.broken = append(d.broken, checkQuiet("data centre out", d.backends[id].Journal(), at.Add(datacentreGrace), until,
				func(string) bool { return true })...)
		}
	}
	d.say("data centre gniezno is brought back")
	if _, err := d.change(ctx, d.snapshot.WithDatacentre(out.WithInService(true))); err != nil {
		return err
	}
	return pause(ctx, time.Second)
}

// leave shuts a daemon down gracefully while traffic goes on.
func (d *Demo) leave(ctx context.Context) error {
	d.say("%s is shut down gracefully", leavingVM)
	leaving := d.fleet.Daemons()[leavingVM].Addresses().Callers
	d.dropTarget(leaving)
	limited, cancel := context.WithTimeout(ctx, shutdownGrace)
	defer cancel()
	if err := d.fleet.StopDaemon(limited, leavingVM); err != nil {
		d.broken = append(d.broken, fmt.Sprintf("graceful shutdown of %s: %v", leavingVM, err))
		return nil
	}
	d.say("%s has left; its requests were finished", leavingVM)
	return pause(ctx, time.Second)
}

func (d *Demo) dropTarget(address string) {
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
