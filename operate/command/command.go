// Package command implements the command line of berylpass.
//
// Each command is a struct with its flags and an Execute method, in a file of its
// own. Commands report errors by returning them. Run prints the error, or one line
// for each mistake in an input file, and maps it to an exit code:
//
//	0  success
//	1  failure
//	2  invalid command line
//	3  conflict: the revision in force is not the expected one, or the signatures don't match the note
//
// # Usage
//
//	c := command.New(command.Environment{Stdout: os.Stdout, Stderr: os.Stderr, ...})
//	c.Add("serve", "run a daemon", "Run a daemon until a signal ends it.", serveCommand)
//	os.Exit(c.Run(ctx, os.Args[1:]))
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"berylpass/config/archive"
	"berylpass/config/mistake"
	"berylpass/config/note"
	"berylpass/config/settings"
	"berylpass/monitor/burn"
	"berylpass/monitor/status"
	"berylpass/monitor/version"
)

// Exit codes.
const (
	ExitSuccess  = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitConflict = 3
)

// ErrUsage reports an invalid command line.
var ErrUsage = errors.New("invalid command line")

// ErrSignatureMismatch reports signatures that were made for another base or text of a note.
var ErrSignatureMismatch = errors.New("signatures do not match the note")

// errReported makes a command fail without an error message, because its output already shows why.
var errReported = errors.New("failure already reported")

// Environment holds the commands' external dependencies, which tests replace.
type Environment struct {
	Stdout io.Writer
	Stderr io.Writer
	// Random is the source of secrets, crypto/rand.Reader except in tests.
	Random io.Reader
	// Store returns a client of the platform's object store.
	Store func(settings.Platform) archive.Store
	// Status reads a daemon's status from its operators' port.
	Status func(ctx context.Context, baseURL string) (status.Status, error)
	// Burn reads a daemon's burn snapshot from its operators' port.
	Burn    func(ctx context.Context, baseURL string) (burn.Snapshot, error)
	Version version.Build
}

// Command is the root of the command line.
type Command struct {
	environment Environment
	parser      *flags.Parser
	// ctx is the context passed to Run; commands derive theirs from it.
	ctx context.Context
}

const (
	summary = "Run and operate a reverse proxy fleet that routes around gray failures of backend servers."
	details = summary + "\n\nExit codes: 0 success, 1 failure, 2 invalid command line, 3 conflict with the revision in force or with a note's signatures."
)

// New returns the command line with the commands of this package.
func New(e Environment) *Command {
	c := &Command{environment: e, ctx: context.Background()}
	c.parser = flags.NewNamedParser("berylpass", flags.HelpFlag|flags.PassDoubleDash)
	c.parser.ShortDescription = summary
	c.parser.LongDescription = details
	c.Add("check", "check a settings file", "Check a settings file and report every mistake in it.", &check{root: c})
	c.Add("keygen", "generate a key", "Generate an owner's key pair for signing release notes or, with --caller, a key for an organisation's callers.", &keygen{root: c})
	c.Add("version", "print the version", "Print the version of this program.", &printVersion{root: c})
	c.Add("burn", "report on service-level burn", "Report how fast error budgets burn, which organisations are served worst, what was refused and which "+
		"backend servers were ejected, from daemons or saved snapshots. The HTML report loads no external resources.", &burnCommand{root: c})
	c.addNote()
	return c
}

// Add adds a command. The argument data is a pointer to a struct with go-flags tags
// and an Execute method. Add panics if the tags are invalid.
func (c *Command) Add(name, short, long string, data flags.Commander) {
	mustAdd(c.parser.AddCommand(name, short, long, data))
}

// Context returns the context that was passed to Run, or the background context before Run is called.
func (c *Command) Context() context.Context { return c.ctx }

// Run runs the command named by the arguments and returns the exit code.
func (c *Command) Run(ctx context.Context, args []string) int {
	c.ctx = ctx
	_, err := c.parser.ParseArgs(args)
	var parse *flags.Error
	if errors.As(err, &parse) && parse.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(c.environment.Stdout, parse.Message)
		return ExitSuccess
	}
	if err == nil {
		return ExitSuccess
	}
	code := exitCode(err)
	if !errors.Is(err, errReported) {
		c.report(err, code)
	}
	return code
}

func exitCode(err error) int {
	var parse *flags.Error
	switch {
	case errors.As(err, &parse), errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.Is(err, archive.ErrConflict), errors.Is(err, note.ErrBase), errors.Is(err, ErrSignatureMismatch):
		return ExitConflict
	}
	return ExitFailure
}

// jsonError is the JSON form of an error.
type jsonError struct {
	Error    string       `json:"error"`
	Mistakes mistake.List `json:"mistakes,omitempty"`
	ExitCode int          `json:"exit-code"`
}

// report prints err to standard error, as JSON if the command was called with --format json.
func (c *Command) report(err error, code int) {
	if c.wantsJSON() {
		f := jsonError{Error: err.Error(), ExitCode: code}
		if errors.As(err, &f.Mistakes) {
			f.Error = fmt.Sprintf("%d mistakes", len(f.Mistakes))
		}
		text, errJSON := json.Marshal(f)
		if errJSON == nil {
			_, _ = fmt.Fprintln(c.environment.Stderr, string(text))
			return
		}
	}
	var mistakes mistake.List
	if errors.As(err, &mistakes) {
		_, _ = fmt.Fprintln(c.environment.Stderr, mistakes.Error())
		return
	}
	_, _ = fmt.Fprintf(c.environment.Stderr, "berylpass: %v\n", err)
	if code == ExitUsage {
		_, _ = fmt.Fprintln(c.environment.Stderr, "berylpass: see berylpass --help, or berylpass COMMAND --help")
	}
}

// wantsJSON reports whether the active command was called with --format json.
func (c *Command) wantsJSON() bool {
	active := c.parser.Active
	for active != nil && active.Active != nil {
		active = active.Active
	}
	if active == nil {
		return false
	}
	option := active.FindOptionByLongName("format")
	return option != nil && option.Value() == formatJSON
}

// mustAdd returns added and panics if err is not nil.
func mustAdd(added *flags.Command, err error) *flags.Command {
	if err != nil {
		// A command's struct has invalid go-flags tags, a bug that any test of the command line finds.
		panic(err)
	}
	return added
}
