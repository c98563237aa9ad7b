package command

import (
	"errors"
	"fmt"
	"io"
	"time"

	"berylpass/config/mistake"
	"berylpass/config/note"
	"berylpass/config/snapshot"
)

// noteCheck implements "berylpass note check".
type noteCheck struct {
	root *Command
	outputFlags
	Settings  string        `long:"settings" short:"s" value-name:"FILE" description:"settings file with the platform's address; checks the first note against the revision in force"`
	Timeout   time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"time limit for the whole command"`
	Arguments struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"release notes, in INI format"`
	} `positional-args:"yes" required:"yes"`
}

// checkedNote is the result for one note.
type checkedNote struct {
	File     string `json:"file"`
	Title    string `json:"title"`
	Revision uint64 `json:"revision"`
	// Applied reports whether the note was checked against its base.
	Applied bool     `json:"applied"`
	Changes []change `json:"changes"`
}

type checkedNotes []checkedNote

func (r checkedNotes) writeText(w io.Writer) {
	for _, n := range r {
		printf(w, "%s: valid; creates revision %d, %q\n", n.File, n.Revision, n.Title)
		for _, c := range n.Changes {
			printf(w, "%s\n", c.line)
		}
		if !n.Applied {
			printf(w, "  not checked against its base, revision %d; use --settings to check against the revision in force\n", n.Revision-1)
		}
	}
}

// Execute runs the command.
func (c *noteCheck) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	var notes []note.Note
	var found mistake.List
	for _, file := range c.Arguments.Files {
		n, _, err := readNote(file)
		var mistakes mistake.List
		if err != nil && !errors.As(err, &mistakes) {
			return err
		}
		found = append(found, mistakes...)
		notes = append(notes, n)
	}
	if len(found) > 0 {
		return found
	}
	current, known, err := c.base(notes[0])
	if err != nil {
		return err
	}
	return c.checkChain(notes, current, known)
}

// base returns the configuration that the first note is checked against, and false if it is unknown.
func (c *noteCheck) base(first note.Note) (snapshot.Snapshot, bool, error) {
	if c.Settings == "" {
		return snapshot.New(0), first.Base == 0, nil
	}
	d, ctx, cancel, err := storeFlags{Settings: c.Settings, Timeout: c.Timeout}.open(c.root)
	if err != nil {
		return snapshot.Snapshot{}, false, err
	}
	defer cancel()
	_, current, err := d.inForce(ctx)
	return current, true, err
}

// checkChain checks each note against the result of the one before, starting with current, and prints the results. If
// current is not known, it prints the parsed notes without applying them.
func (c *noteCheck) checkChain(notes []note.Note, current snapshot.Snapshot, known bool) error {
	var r checkedNotes
	for _, n := range notes {
		if known {
			next, err := n.Apply(current)
			if errors.Is(err, note.ErrBase) {
				return fmt.Errorf("%s: %w", n.File, err)
			}
			if err != nil {
				return err
			}
			current = next
		}
		r = append(r, checkedNote{File: n.File, Title: n.Title, Revision: n.Base + 1, Applied: known, Changes: changes(n)})
	}
	return c.print(c.root.environment.Stdout, r)
}
