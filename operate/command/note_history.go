package command

import (
	"encoding/hex"
	"io"
)

// noteHistory implements "berylpass note history".
type noteHistory struct {
	root *Command
	outputFlags
	storeFlags
	Limit int `long:"limit" value-name:"N" default:"20" description:"maximum number of revisions to list"`
}

type pastRevision struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	Title    string `json:"title"`
}

type pastRevisions []pastRevision

// digestColumnWidth is the number of leading hex digits of a digest that the table shows.
const digestColumnWidth = 12

func (r pastRevisions) writeText(w io.Writer) {
	printf(w, "REVISION  MANIFEST      TITLE\n")
	for _, p := range r {
		printf(w, "%8d  %s  %s\n", p.Revision, p.Digest[:digestColumnWidth], p.Title)
	}
}

// Execute runs the command.
func (c *noteHistory) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	d, ctx, cancel, err := c.open(c.root)
	if err != nil {
		return err
	}
	defer cancel()
	past, err := d.archive.History(ctx)
	if err != nil {
		return err
	}
	r := pastRevisions{}
	for _, m := range past[:min(max(c.Limit, 0), len(past))] {
		title, err := d.title(ctx, m)
		if err != nil {
			return err
		}
		digest := m.Digest()
		r = append(r, pastRevision{Revision: m.Revision, Digest: hex.EncodeToString(digest[:]), Title: title})
	}
	return c.print(c.root.environment.Stdout, r)
}
