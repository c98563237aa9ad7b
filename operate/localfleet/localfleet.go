// Package localfleet runs a whole fleet in one process on loopback: a stand-in for
// the platform, real daemons that communicate over sockets, and emulated backend
// servers. The demonstration, load runs and end-to-end tests use it.
//
// # Usage
//
//	f, err := localfleet.New(localfleet.WithLogger(logger))
//	defer f.Close()
//	d, err := f.StartDaemon("vm-1", "srem")
//	b, err := f.StartBackend("vm-1", "rounds-1", "rounds", emulator.WithSlots(4))
//	err = f.Publish(ctx, snapshot)
//	err = f.AwaitReady(ctx, revision)
package localfleet

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"berylpass/config/archive"
	"berylpass/config/manifest"
	"berylpass/config/settings"
	"berylpass/config/signature"
	"berylpass/config/snapshot"
	"berylpass/daemon"
	"berylpass/emulator"
	"berylpass/emulator/announcer"
	"berylpass/platform/client"
	"berylpass/platform/standin"
)

const (
	meshSecret     = "secret-of-a-local-fleet"
	anyPort        = "127.0.0.1:0"
	storeTimeout   = time.Second
	pollInterval   = 20 * time.Millisecond
	maxBody        = 16 << 20 // bytes
	maxHeader      = 64 << 10 // bytes
	maxConnections = 4096
	// RefillTime is the time that AwaitLimits waits after the limits have been split over their holders. In it, each
	// holder gains the tokens of one second of its share of the rate.
	RefillTime = time.Second
)

// ErrNotRunning reports the ID of a daemon that isn't running in the fleet.
var ErrNotRunning = errors.New("daemon is not running in the local fleet")

// Backend is an emulated backend server with the announcer that announces it to a daemon.
type Backend struct {
	*emulator.Emulator
	Announcer *announcer.Announcer
}

// LocalFleet is a running fleet. Its methods may be called concurrently.
type LocalFleet struct {
	platform *standin.Server
	owners   map[string]ed25519.PrivateKey
	verifier *signature.Verifier
	archive  *archive.Archive
	logger   zerolog.Logger

	mu       sync.Mutex
	daemons  map[string]*daemon.Daemon
	backends map[string]*Backend
}

// Option changes the setup of a fleet; it is passed to New.
type Option func(*LocalFleet)

// WithLogger sets the logger of the daemons. By default they don't log.
func WithLogger(logger zerolog.Logger) Option { return func(f *LocalFleet) { f.logger = logger } }

// New returns a fleet with a running stand-in for the platform and two owners, but no daemons yet.
func New(options ...Option) (*LocalFleet, error) {
	platform, err := standin.New(anyPort)
	if err != nil {
		return nil, err
	}
	f := &LocalFleet{
		platform: platform,
		owners:   map[string]ed25519.PrivateKey{},
		logger:   zerolog.Nop(),
		daemons:  map[string]*daemon.Daemon{},
		backends: map[string]*Backend{},
	}
	for _, option := range options {
		option(f)
	}
	public := map[string]ed25519.PublicKey{}
	for _, name := range []string{"ola", "marek"} {
		p, private, err := ed25519.GenerateKey(rand.Reader)
		if err != nil {
			return nil, err
		}
		f.owners[name], public[name] = private, p
	}
	f.verifier = signature.NewVerifier(public)
	f.archive = archive.New(client.New("http://"+platform.Address(), client.WithTimeout(storeTimeout)), f.verifier)
	return f, nil
}

// Platform returns the stand-in for the platform.
func (f *LocalFleet) Platform() *standin.Server { return f.platform }

// StartDaemon starts a daemon in a data centre. The daemons already running are its seeds.
func (f *LocalFleet) StartDaemon(id, datacentre string, changes ...DaemonOption) (*daemon.Daemon, error) {
	s := f.settings(id, datacentre)
	for _, change := range changes {
		change(&s)
	}
	d, err := daemon.New(s, f.logger.With().Str("daemon", id).Logger())
	if err != nil {
		return nil, fmt.Errorf("start daemon %s: %w", id, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[id] = d
	return d, nil
}

// StopDaemon shuts a daemon down gracefully. It returns ErrNotRunning if no daemon with that ID is running.
func (f *LocalFleet) StopDaemon(ctx context.Context, id string) error {
	f.mu.Lock()
	d, ok := f.daemons[id]
	delete(f.daemons, id)
	f.mu.Unlock()
	if !ok {
		return fmt.Errorf("%w: %s", ErrNotRunning, id)
	}
	return d.Shutdown(ctx)
}

// KillDaemon ends a daemon at once, as a crash would. It returns ErrNotRunning if no daemon with that ID is running.
func (f *LocalFleet) KillDaemon(id string) error {
	f.mu.Lock()
	d, ok := f.daemons[id]
	delete(f.daemons, id)
	f.mu.Unlock()
	if !ok {
		return fmt.Errorf("%w: %s", ErrNotRunning, id)
	}
	d.Close()
	return nil
}

// StartBackend starts an emulated backend server and announces it to the daemon with the ID daemonID. It returns
// ErrNotRunning if no such daemon is running.
func (f *LocalFleet) StartBackend(daemonID, id, service string, options ...emulator.Option) (*Backend, error) {
	f.mu.Lock()
	d, ok := f.daemons[daemonID]
	f.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrNotRunning, daemonID)
	}
	e, err := emulator.New(anyPort, options...)
	if err != nil {
		return nil, err
	}
	b := &Backend{Emulator: e, Announcer: announcer.New("http://"+d.Addresses().Backends, id, announcer.Server{
		Service: service, Address: e.Address(), Slots: e.Slots(), Incarnation: 1,
	})}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backends[id] = b
	return b, nil
}

// Publish signs a snapshot with both owners' keys and publishes it on top of the revision in force.
func (f *LocalFleet) Publish(ctx context.Context, s snapshot.Snapshot) error {
	head, err := f.archive.Head(ctx)
	if err != nil {
		return err
	}
	const note = "published by a local fleet"
	m, chunks, err := manifest.New(s, head.Base(), []byte(note))
	if err != nil {
		return err
	}
	envelope := signature.NewEnvelope(m.Encode())
	for name, private := range f.owners {
		envelope = envelope.With(signature.Sign(name, private, m.Digest()))
	}
	return f.archive.Publish(ctx, head, archive.Publication{Envelope: envelope, Chunks: chunks, Note: []byte(note)})
}

// Daemons returns a copy of the map of running daemons by ID.
func (f *LocalFleet) Daemons() map[string]*daemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]*daemon.Daemon, len(f.daemons))
	for id, d := range f.daemons {
		out[id] = d
	}
	return out
}

// AwaitReady waits until all daemons are ready, have the revision or a later one in force
// and know as many backend servers as the fleet has. Its error is that of ctx.
func (f *LocalFleet) AwaitReady(ctx context.Context, revision uint64) error {
	return f.AwaitAll(ctx, func(d *daemon.Daemon) bool {
		s := d.Status()
		return s.Ready == "ready" && s.Revision >= revision && len(s.Backends) == f.backendCount()
	})
}

// AwaitAll waits until the condition holds for all daemons. Its error is that of ctx.
func (f *LocalFleet) AwaitAll(ctx context.Context, holds func(d *daemon.Daemon) bool) error {
	return f.poll(ctx, func() bool {
		for _, d := range f.Daemons() {
			if !holds(d) {
				return false
			}
		}
		return true
	})
}

// poll waits until the condition holds. Its error is that of ctx.
func (f *LocalFleet) poll(ctx context.Context, holds func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close ends all backend servers, daemons and the platform at once.
func (f *LocalFleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.backends {
		b.Announcer.Close()
		b.Close()
	}
	for _, d := range f.daemons {
		d.Close()
	}
	f.platform.Close()
}

// AwaitLimits waits until all daemons know each other, so that each limit is split
// over its holders only once, and then for RefillTime, so that the holders have
// tokens. Its error is that of ctx.
func (f *LocalFleet) AwaitLimits(ctx context.Context) error {
	err := f.AwaitAll(ctx, func(d *daemon.Daemon) bool { return len(d.Status().Members) >= len(f.Daemons()) })
	if err != nil {
		return err
	}
	timer := time.NewTimer(RefillTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// backendCount returns the number of backend servers that were started.
func (f *LocalFleet) backendCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.backends)
}

// settings returns the settings of a new daemon, with all daemons already running as seeds.
func (f *LocalFleet) settings(id, datacentre string) settings.Settings {
	s := settings.Settings{
		Daemon:   settings.Daemon{ID: id, Datacentre: datacentre, Region: "local"},
		Listen:   settings.Listen{Callers: anyPort, Control: anyPort, Data: anyPort, Backends: anyPort, Operators: anyPort},
		Mesh:     settings.Mesh{Secret: meshSecret},
		Platform: settings.Platform{URL: "http://" + f.platform.Address(), Timeout: storeTimeout},
		Owners:   map[string]ed25519.PublicKey{},
		Limits: settings.Limits{
			MaxBody: maxBody, MaxHeader: maxHeader, QueuePerBackend: 100,
			CallerConnections: maxConnections, RetryShare: 0.1, RetrySlack: 100,
		},
		Shutdown: settings.Shutdown{Grace: 10 * time.Second},
	}
	for name, private := range f.owners {
		s.Owners[name] = private.Public().(ed25519.PublicKey)
	}
	for _, d := range f.Daemons() {
		s.Mesh.Seeds = append(s.Mesh.Seeds, d.Addresses().Control)
	}
	return s
}
