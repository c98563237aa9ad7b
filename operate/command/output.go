package command

import (
	"encoding/json"
	"fmt"
	"io"
)

const formatJSON = "json"

// output is the flags of a command that prints a result.
type output struct {
	Format string `long:"format" choice:"text" choice:"json" default:"text" description:"format of the output"`
}

// result is what a command prints: its JSON form, or text for people.
type result interface {
	writeText(w io.Writer)
}

func (o output) print(w io.Writer, r result) error {
	if o.Format != formatJSON {
		r.writeText(w)
		return nil
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// noArguments refuses arguments that no flag or position takes.
func noArguments(args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("%w: unexpected argument %q", ErrUsage, args[0])
	}
	return nil
}

func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
