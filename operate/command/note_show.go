package command

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"berylpass/config/manifest"
)

// noteShow implements "berylpass note show".
type noteShow struct {
	root *Command
	outputFlags
	storeFlags
	Arguments struct {
		Revision uint64 `positional-arg-name:"REVISION" description:"revision number (default: the revision in force)"`
	} `positional-args:"yes"`
}

type showResult struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	Base     string `json:"base"`
	Chunks   int    `json:"chunks"`
	Note     string `json:"note"`
}

func (r showResult) writeText(w io.Writer) {
	printf(w, "# revision %d, manifest %s, %d chunks\n%s\n", r.Revision, r.Digest, r.Chunks, strings.TrimRight(r.Note, "\n"))
}

// Execute runs the command.
func (c *noteShow) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	d, ctx, cancel, err := c.open(c.root)
	if err != nil {
		return err
	}
	defer cancel()
	m, err := c.manifest(ctx, d)
	if err != nil {
		return err
	}
	text, err := d.archive.Note(ctx, m)
	if err != nil {
		return err
	}
	digest := m.Digest()
	return c.print(c.root.environment.Stdout, showResult{
		Revision: m.Revision, Digest: hex.EncodeToString(digest[:]), Base: hex.EncodeToString(m.Base[:]),
		Chunks: len(m.References), Note: string(text),
	})
}

// manifest returns the manifest of the requested revision, or of the one in force.
func (c *noteShow) manifest(ctx context.Context, d deployment) (manifest.Manifest, error) {
	if c.Arguments.Revision > 0 {
		return d.archive.Revision(ctx, c.Arguments.Revision)
	}
	head, err := d.archive.Head(ctx)
	if err == nil && head.Manifest.Revision == 0 {
		err = fmt.Errorf("no revision has been published yet")
	}
	return head.Manifest, err
}
