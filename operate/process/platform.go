package process

import (
	"fmt"

	"github.com/gravitational/trace"

	"berylpass/platform/standin"
)

// platform runs a stand-in of the platform's object API.
type platform struct {
	world
	Listen string `long:"listen" default:"127.0.0.1:7100" value-name:"ADDRESS" description:"address, IP:port"`
}

// Execute runs the command.
func (c *platform) Execute([]string) error {
	ending, stop := signals()
	defer stop()
	s, err := standin.New(c.Listen)
	if err != nil {
		return trace.Wrap(err)
	}
	defer s.Close()
	_, _ = fmt.Fprintf(c.stdout, "object API on http://%s\n", s.Address())
	<-ending
	return nil
}
