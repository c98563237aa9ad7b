package command

import (
	"io"

	"berylpass/config/settings"
)

// check implements "berylpass check", which validates a settings file.
type check struct {
	root *Command
	outputFlags
	Operator  bool `long:"operator" description:"check an operator's settings, which need only the sections platform and owners"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"settings file, in INI format"`
	} `positional-args:"yes" required:"yes"`
}

type checkResult struct {
	File       string `json:"file"`
	Daemon     string `json:"daemon,omitempty"`
	Datacentre string `json:"datacentre,omitempty"`
	Owners     int    `json:"owners"`
}

func (r checkResult) writeText(w io.Writer) {
	if r.Daemon == "" {
		printf(w, "%s: valid operator settings, %d owners\n", r.File, r.Owners)
		return
	}
	printf(w, "%s: valid settings for daemon %s in data centre %s, %d owners\n", r.File, r.Daemon, r.Datacentre, r.Owners)
}

// Execute runs the command.
func (c *check) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	load := settings.Load
	if c.Operator {
		load = settings.LoadOperator
	}
	s, err := load(c.Arguments.File)
	if err != nil {
		return err
	}
	return c.print(c.root.environment.Stdout, checkResult{
		File: c.Arguments.File, Daemon: s.Daemon.ID, Datacentre: s.Daemon.Datacentre, Owners: len(s.Owners),
	})
}
