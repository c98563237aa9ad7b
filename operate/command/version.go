package command

import (
	"io"

	"berylpass/monitor/version"
)

// printVersion implements "berylpass version".
type printVersion struct {
	root *Command
	outputFlags
}

type versionResult version.Build

func (r versionResult) writeText(w io.Writer) { printf(w, "%s\n", version.Build(r)) }

// Execute runs the command.
func (c *printVersion) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	return c.print(c.root.environment.Stdout, versionResult(c.root.environment.Version))
}
