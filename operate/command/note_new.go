package command

import (
	"io"
	"os"

	"berylpass/config/note"
)

// noteNew implements "berylpass note new".
type noteNew struct {
	root *Command
	storeFlags
	Title     string `long:"title" value-name:"TEXT" default:"Untitled" description:"what the note is about"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"new file to write; standard output if absent"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (c *noteNew) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	d, ctx, cancel, err := c.open(c.root)
	if err != nil {
		return err
	}
	defer cancel()
	head, err := d.archive.Head(ctx)
	if err != nil {
		return err
	}
	text := note.Draft(head.Manifest.Revision, c.Title)
	// Reject a title that would not parse as a single value in INI.
	if _, err := note.Parse("--title", []byte(text)); err != nil {
		return err
	}
	out := c.root.environment.Stdout
	if c.Arguments.File == "" {
		_, err = io.WriteString(out, text)
		return err
	}
	f, err := os.OpenFile(c.Arguments.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return err
	}
	_, errWrite := io.WriteString(f, text)
	if err := f.Close(); err != nil {
		return err
	}
	printf(out, "%s: draft based on revision %d\n", c.Arguments.File, head.Manifest.Revision)
	return errWrite
}
