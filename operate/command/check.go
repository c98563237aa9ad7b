package command

import (
	"io"

	"berylpass/config/settings"
)

// check checks a settings file.
type check struct {
	root *Command
	output
	Operator  bool `long:"operator" description:"check an operator's file, which needs the sections platform and owners only"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"settings of a daemon, in INI"`
	} `positional-args:"yes" required:"yes"`
}

type checked struct {
	File       string `json:"file"`
	Daemon     string `json:"daemon,omitempty"`
	Datacentre string `json:"datacentre,omitempty"`
	Owners     int    `json:"owners"`
}

func (r checked) writeText(w io.Writer) {
	if r.Daemon == "" {
		printf(w, "%s: no mistakes: for operators, %d owners\n", r.File, r.Owners)
		return
	}
	printf(w, "%s: no mistakes: daemon %s in data centre %s, %d owners\n", r.File, r.Daemon, r.Datacentre, r.Owners)
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
	return c.print(c.root.environment.Stdout, checked{
		File: c.Arguments.File, Daemon: s.Daemon.ID, Datacentre: s.Daemon.Datacentre, Owners: len(s.Owners),
	})
}
