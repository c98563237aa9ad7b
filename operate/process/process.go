// Package process implements the commands that run or query processes: the daemon,
// the stand-ins for backend servers and the platform, the demonstration, the load
// generator, and the status of a running daemon.
//
// # Usage
//
//	c := command.New(environment)
//	process.Add(c, os.Stdout, os.Stderr)
//	os.Exit(c.Run(ctx, os.Args[1:]))
package process

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// ErrViolation reports a demonstration in which invariants were violated.
var ErrViolation = errors.New("demonstration violated invariants")

// Root is the command line that the commands are added to; *command.Command implements it.
type Root interface {
	Add(name, short, long string, data flags.Commander)
	Context() context.Context
}

// environment holds the command line and the output streams that commands use.
type environment struct {
	root           Root
	stdout, stderr io.Writer
}

// Add adds the commands of this package to the command line.
func Add(root Root, stdout, stderr io.Writer) {
	env := environment{root: root, stdout: stdout, stderr: stderr}
	root.Add("serve", "run a daemon",
		"Run the daemon for the backend servers of one VM. SIGTERM or SIGINT shuts it down gracefully; a second signal ends it at once. SIGHUP reloads the settings.", &serve{environment: env})
	root.Add("demo", "show a fleet at work",
		"Run a whole fleet in one process on loopback for about half a minute, with a gray failure, a withdrawn key, a data centre out of service and a shutdown. The command fails if an invariant is violated.", &runDemo{environment: env})
	root.Add("status", "show the fleet as a daemon sees it",
		"Ask a daemon's operators' port for the members, data centres and backend servers that it knows, with their states and reasons.", &showStatus{environment: env})
	root.Add("load", "measure a fleet under load",
		"Send the open-loop load of a plan in INI format, or with --self send load to a fleet in this process. A plan's duration is limited, and its targets must be loopback addresses.", &runLoad{environment: env})
	root.Add("platform", "run a stand-in for the platform's object API",
		"Serve an in-memory object store over HTTP, for trials. All objects are lost when it ends.", &runPlatform{environment: env})
	root.Add("backend", "run an emulated backend server",
		"Serve requests as a backend server would, and announce it to the daemon on the same VM.", &runBackend{environment: env})
}

// terminationSignals returns a channel that receives SIGTERM and SIGINT, and a function that stops the delivery.
func terminationSignals() (<-chan os.Signal, func()) {
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	return ch, func() { signal.Stop(ch) }
}

// reloadSignals returns a channel that receives SIGHUP, which asks for a reload of the settings, and a function that
// stops the delivery.
func reloadSignals() (<-chan os.Signal, func()) {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	return ch, func() { signal.Stop(ch) }
}
