package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"berylpass/monitor/burn"
	"berylpass/operate/burn/page"
	"berylpass/operate/burn/report"
)

const formatHTML = "html"

// burnCommand implements "berylpass burn", which reports how fast error budgets burn.
type burnCommand struct {
	root    *Command
	Daemons []string      `long:"daemon" short:"d" value-name:"URL" description:"URL of a daemon's operators' port, such as http://10.0.0.17:7004; repeat to combine several daemons"`
	Files   []string      `long:"file" short:"f" value-name:"FILE" description:"snapshot saved with --save; repeat to combine several snapshots"`
	Format  string        `long:"format" choice:"text" choice:"json" choice:"html" default:"text" description:"report format"`
	Out     string        `long:"out" short:"o" value-name:"FILE" description:"write the report to a file instead of standard output"`
	Save    string        `long:"save" value-name:"FILE" description:"save the snapshot that the report is based on"`
	Limit   int           `long:"limit" value-name:"N" default:"20" description:"maximum number of lines per table in the text format"`
	Timeout time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"time limit for reading the snapshots of all daemons"`
}

// Execute runs the command.
func (c *burnCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if len(c.Daemons)+len(c.Files) == 0 {
		return fmt.Errorf("%w: no snapshot given; use --daemon or --file", ErrUsage)
	}
	s, err := c.collect()
	if err != nil {
		return err
	}
	if c.Save != "" {
		if err := writeFile(c.Save, s.Encode); err != nil {
			return err
		}
	}
	if c.Out != "" {
		return writeFile(c.Out, func(w io.Writer) error { return c.write(w, s) })
	}
	return c.write(c.root.environment.Stdout, s)
}

// collect returns the merged snapshots of all daemons and files given.
func (c *burnCommand) collect() (burn.Snapshot, error) {
	ctx, cancel := context.WithTimeout(c.root.ctx, c.Timeout)
	defer cancel()
	var snapshots []burn.Snapshot
	for _, url := range c.Daemons {
		s, err := c.root.environment.Burn(ctx, strings.TrimSuffix(url, "/"))
		if err != nil {
			return burn.Snapshot{}, err
		}
		snapshots = append(snapshots, s)
	}
	for _, file := range c.Files {
		s, err := readSnapshot(file)
		if err != nil {
			return burn.Snapshot{}, fmt.Errorf("%s: %w", file, err)
		}
		snapshots = append(snapshots, s)
	}
	return burn.Merge(snapshots...), nil
}

func readSnapshot(file string) (burn.Snapshot, error) {
	f, err := os.Open(file)
	if err != nil {
		return burn.Snapshot{}, err
	}
	defer func() { _ = f.Close() }()
	return burn.Parse(f)
}

// write writes the report of s in the requested format.
func (c *burnCommand) write(w io.Writer, s burn.Snapshot) error {
	r := report.New(s)
	switch c.Format {
	case formatJSON:
		return r.WriteJSON(w)
	case formatHTML:
		return page.Write(w, r)
	}
	return r.WriteText(w, max(c.Limit, 0))
}

// writeFile creates or truncates the file and fills it by calling write. It removes the file if write fails.
func writeFile(file string, write func(io.Writer) error) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	errWrite := write(f)
	errClose := f.Close()
	if errWrite != nil {
		_ = os.Remove(file)
		return errWrite
	}
	return errClose
}
