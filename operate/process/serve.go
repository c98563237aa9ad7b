package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"berylpass/config/settings"
	"berylpass/daemon"
	"berylpass/monitor/event"
	"berylpass/monitor/logstream"
)

// errSecondSignal reports that a second signal ended the daemon with requests in flight.
var errSecondSignal = errors.New("second signal ended the daemon with requests in flight")

// errSuperseded reports that the daemon ended because a process started later uses the same daemon ID.
var errSuperseded = errors.New("another process with the same daemon ID has started later; give each daemon its own ID")

// serve implements "berylpass serve", which runs a daemon.
type serve struct {
	environment
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"settings file of the daemon, in INI format"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *serve) Execute([]string) error {
	s, err := settings.Load(c.Arguments.File)
	if err != nil {
		return trace.Wrap(err)
	}
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return fmt.Errorf("parse log level: %w", err)
	}
	zerolog.SetGlobalLevel(level)
	lines := logstream.New(c.stdout, time.Now)
	defer lines.Close()
	logger := zerolog.New(lines).With().Timestamp().Str("daemon", s.Daemon.ID).Logger()
	terminate, stop := terminationSignals()
	defer stop()
	hangup, stopHangups := reloadSignals()
	defer stopHangups()
	debug.SetMemoryLimit(daemon.MemoryParts(s.Limits).Runtime)
	d, err := daemon.New(s, logger)
	if err != nil {
		event.Failed.Log(&logger).Err(err).Str("trace", trace.DebugReport(err)).Send()
		return trace.Wrap(err)
	}
	file := watchFile(c.Arguments.File)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-terminate:
			return shutDown(d, s, terminate)
		case <-d.Ended():
			return errSuperseded
		case <-hangup:
			file.changed()
			c.reload(d)
		case <-ticker.C:
			if file.changed() {
				c.reload(d)
			}
		}
	}
}

// reload reads the settings again and applies those that can change while the daemon
// runs. Invalid settings change nothing.
func (c *serve) reload(d *daemon.Daemon) {
	s, err := settings.Load(c.Arguments.File)
	if err != nil {
		d.LogReloadFailure(err)
		return
	}
	if level, err := zerolog.ParseLevel(s.Log.Level); err == nil {
		zerolog.SetGlobalLevel(level)
	}
	d.Reload(s)
}

// settingsPollInterval is the time between checks whether the settings file has changed, since it may change without a
// SIGHUP.
const settingsPollInterval = time.Second

// watchedFile detects that a file was replaced or written, by its modification time and size.
type watchedFile struct {
	name string
	last os.FileInfo
}

// watchFile returns a watchedFile that starts with the file's present state.
func watchFile(name string) *watchedFile {
	f := &watchedFile{name: name}
	f.changed()
	return f
}

// changed reports whether the file's modification time or size differs from that at the last call. A file that can't be
// read counts as unchanged.
func (f *watchedFile) changed() bool {
	now, err := os.Stat(f.name)
	if err != nil {
		return false
	}
	last := f.last
	f.last = now
	return last != nil && (!now.ModTime().Equal(last.ModTime()) || now.Size() != last.Size())
}

// shutDown shuts a daemon down within the grace period of s, or returns errSecondSignal at once if a second signal
// arrives.
func shutDown(d *daemon.Daemon, s settings.Settings, secondSignal <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.Shutdown.Time())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- d.Shutdown(ctx) }()
	select {
	case err := <-done:
		return trace.Wrap(err)
	case <-secondSignal:
		return errSecondSignal
	}
}
