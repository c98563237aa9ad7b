package command

import (
	"encoding/json"
	"fmt"
	"io"
)

const formatJSON = "json"

// outputFlags are the flags of commands that print a result.
type outputFlags struct {
	Format string `long:"format" choice:"text" choice:"json" default:"text" description:"output format"`
}

// result is the output of a command. It is printed as JSON or by writeText.
type result interface {
	writeText(w io.Writer)
}

func (o outputFlags) print(w io.Writer, r result) error {
	if o.Format != formatJSON {
		r.writeText(w)
		return nil
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// noArguments returns an error that wraps ErrUsage if the parser left positional arguments over.
func noArguments(args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("%w: unexpected argument %q", ErrUsage, args[0])
	}
	return nil
}

func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
