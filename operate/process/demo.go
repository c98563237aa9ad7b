package process

import (
	"fmt"

	"github.com/gravitational/trace"

	"berylpass/operate/demo"
)

// runDemo runs the demonstration.
type runDemo struct{ world }

// Execute runs the command.
func (c *runDemo) Execute([]string) error {
	broken, err := demo.New(c.stdout).Run(c.root.Context())
	if err != nil {
		return trace.Wrap(err)
	}
	if len(broken) > 0 {
		return fmt.Errorf("%w: %d times", ErrBroken, len(broken))
	}
	return nil
}
