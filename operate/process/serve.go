package process

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"berylpass/config/settings"
	"berylpass/daemon"
	"berylpass/operate/event"
)

// errEnded reports a daemon that a second signal ended with work in flight.
var errEnded = errors.New("ended by a second signal")

// errSuperseded reports a daemon that ended since a later one has its ID.
var errSuperseded = errors.New("another process with the same daemon id has started later")

// serve runs a daemon.
type serve struct {
	world
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"settings of the daemon, in INI"`
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
		return fmt.Errorf("log level: %w", err)
	}
	logger := zerolog.New(c.stderr).Level(level).With().Timestamp().Str("daemon", s.Daemon.ID).Logger()
	ending, stop := signals()
	defer stop()
	d, err := daemon.New(s, logger)
	if err != nil {
		event.Failed.Log(&logger).Err(err).Str("trace", trace.DebugReport(err)).Send()
		return trace.Wrap(err)
	}
	select {
	case <-ending:
		return shutDown(d, s, ending)
	case <-d.Ended():
		return errSuperseded
	}
}

// shutDown ends a daemon within the grace period, or at once at a second signal.
func shutDown(d *daemon.Daemon, s settings.Settings, again <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.Shutdown.Grace)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- d.Shutdown(ctx) }()
	select {
	case err := <-done:
		return trace.Wrap(err)
	case <-again:
		return errEnded
	}
}
