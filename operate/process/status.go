package process

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"berylpass/monitor/status"
)

// statusTimeout is the time limit for reading a daemon's status.
const statusTimeout = 5 * time.Second

// showStatus implements "berylpass status".
type showStatus struct {
	environment
	Format    string `long:"format" choice:"text" choice:"json" default:"text" description:"output format"`
	Arguments struct {
		URL string `positional-arg-name:"URL" description:"URL of a daemon's operators' port, such as http://10.0.0.17:7004"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *showStatus) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.root.Context(), statusTimeout)
	defer cancel()
	s, err := status.Fetch(ctx, strings.TrimSuffix(c.Arguments.URL, "/"))
	if err != nil {
		return trace.Wrap(err)
	}
	if c.Format == "json" {
		return json.NewEncoder(c.stdout).Encode(s)
	}
	return s.WriteTable(c.stdout)
}
