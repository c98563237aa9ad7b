// Command berylpass is the daemon of a fleet of reverse proxies, and the tool with which
// operators configure and inspect the fleet.
package main

import (
	"context"
	"crypto/rand"
	"os"

	"berylpass/config/archive"
	"berylpass/config/settings"
	"berylpass/monitor/burn"
	"berylpass/monitor/status"
	"berylpass/monitor/version"
	"berylpass/operate/command"
	"berylpass/operate/process"
	"berylpass/platform/client"
)

func main() {
	c := command.New(command.Environment{
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		Random:  rand.Reader,
		Store:   openStore,
		Status:  status.Fetch,
		Burn:    burn.Fetch,
		Version: version.Current(),
	})
	process.Add(c, os.Stdout, os.Stderr)
	os.Exit(c.Run(context.Background(), os.Args[1:]))
}

// openStore returns a client of the platform's store.
func openStore(p settings.Platform) archive.Store {
	return client.New(p.URL, client.WithTimeout(p.Timeout))
}
