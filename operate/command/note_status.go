package command

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"berylpass/monitor/status"
)

// noteStatus implements "berylpass note status".
type noteStatus struct {
	root *Command
	outputFlags
	storeFlags
	Daemons   []string `long:"daemon" short:"d" value-name:"URL" required:"yes" description:"URL of a daemon's operators' port, such as http://10.0.0.17:7004; repeat to ask several daemons"`
	Arguments struct {
		Revision uint64 `positional-arg-name:"REVISION" description:"revision number (default: the revision in force according to the store)"`
	} `positional-args:"yes"`
}

// rollout is the progress of one revision through the fleet.
type rollout struct {
	Revision uint64 `json:"revision"`
	// InForce names the daemons that have the revision or a later one in force; Behind names the others.
	InForce []string `json:"in-force"`
	Behind  []string `json:"behind"`
	// Unreachable holds the URLs of the daemons that could not be asked.
	Unreachable []string `json:"unreachable"`
}

func (r rollout) writeText(w io.Writer) {
	printf(w, "revision %d is in force on %d of %d daemons\n", r.Revision, len(r.InForce), len(r.InForce)+len(r.Behind))
	if len(r.Behind) > 0 {
		printf(w, "not yet on %s\n", strings.Join(r.Behind, ", "))
	}
	if len(r.Unreachable) > 0 {
		printf(w, "no answer from %s\n", strings.Join(r.Unreachable, ", "))
	}
}

// Execute runs the command.
func (c *noteStatus) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	d, ctx, cancel, err := c.open(c.root)
	if err != nil {
		return err
	}
	defer cancel()
	r := rollout{Revision: c.Arguments.Revision, InForce: []string{}, Behind: []string{}, Unreachable: []string{}}
	if r.Revision == 0 {
		head, err := d.archive.Head(ctx)
		if err != nil {
			return fmt.Errorf("%w; give a REVISION to run without the store", err)
		}
		r.Revision = head.Manifest.Revision
	}
	revisions := map[string]uint64{}
	for _, url := range c.Daemons {
		s, err := c.root.environment.Status(ctx, strings.TrimSuffix(url, "/"))
		if err != nil {
			r.Unreachable = append(r.Unreachable, url)
			continue
		}
		addRevisions(revisions, s)
	}
	for _, name := range slices.Sorted(maps.Keys(revisions)) {
		if revisions[name] >= r.Revision {
			r.InForce = append(r.InForce, name)
		} else {
			r.Behind = append(r.Behind, name)
		}
	}
	if err := c.print(c.root.environment.Stdout, r); err != nil {
		return err
	}
	if len(r.Behind)+len(r.Unreachable) > 0 || len(r.InForce) == 0 {
		return errReported
	}
	return nil
}

// addRevisions records the revisions of a daemon and of the members that it doesn't
// see as dead. The highest revision reported for a daemon counts, since revisions
// only rise.
func addRevisions(revisions map[string]uint64, s status.Status) {
	revisions[s.Daemon] = max(revisions[s.Daemon], s.Revision)
	for _, m := range s.Members {
		if m.State != "dead" {
			revisions[m.ID] = max(revisions[m.ID], m.Revision)
		}
	}
}
