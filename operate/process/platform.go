package process

import (
	"fmt"

	"github.com/gravitational/trace"

	"berylpass/platform/standin"
)

// runPlatform implements "berylpass platform", which runs a stand-in for the platform's object API.
type runPlatform struct {
	environment
	Listen string `long:"listen" default:"127.0.0.1:7100" value-name:"ADDRESS" description:"address to listen on, IP:port"`
}

// Execute runs the command.
func (c *runPlatform) Execute([]string) error {
	terminate, stop := terminationSignals()
	defer stop()
	s, err := standin.New(c.Listen)
	if err != nil {
		return trace.Wrap(err)
	}
	defer s.Close()
	_, _ = fmt.Fprintf(c.stdout, "object API on http://%s\n", s.Address())
	<-terminate
	return nil
}
