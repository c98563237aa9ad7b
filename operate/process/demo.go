package process

import (
	"fmt"

	"github.com/gravitational/trace"

	"berylpass/operate/demo"
)

// runDemo implements "berylpass demo".
type runDemo struct{ environment }

// Execute runs the command.
func (c *runDemo) Execute([]string) error {
	violations, err := demo.New(c.stdout).Run(c.root.Context())
	if err != nil {
		return trace.Wrap(err)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%w: %d violations", ErrViolation, len(violations))
	}
	return nil
}
