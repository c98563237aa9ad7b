package process

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"berylpass/emulator"
	"berylpass/emulator/announcer"
)

// drainTimeout is the time that a draining backend server has to finish its requests.
const drainTimeout = 3 * time.Second

// runBackend implements "berylpass backend", which runs an emulated backend server.
type runBackend struct {
	environment
	ID          string        `long:"id" required:"yes" description:"name of the backend server, unique in the fleet"`
	Service     string        `long:"service" required:"yes" description:"service that the backend server belongs to"`
	Daemon      string        `long:"daemon" required:"yes" value-name:"URL" description:"URL of the announcement port of the daemon on the same VM, such as http://127.0.0.1:7003"`
	Listen      string        `long:"listen" default:"127.0.0.1:0" value-name:"ADDRESS" description:"loopback address to listen on, IP:port"`
	Slots       int           `long:"slots" default:"4" description:"number of concurrent requests"`
	ServiceTime time.Duration `long:"service-time" default:"10ms" description:"median service time of a request"`
	ColdStart   time.Duration `long:"cold-start" default:"0s" description:"time after the start during which only one request runs at a time"`
	SlowFactor  float64       `long:"slow-factor" default:"1" description:"gray failure: factor that multiplies the service time"`
	ErrorShare  float64       `long:"error-share" default:"0" description:"gray failure: share of requests, 0 to 1, answered with status 500"`
	Deaf        bool          `long:"deaf" description:"gray failure: accept requests and never answer them"`
}

// Execute runs the command.
func (c *runBackend) Execute([]string) error {
	terminate, stop := terminationSignals()
	defer stop()
	e, err := emulator.New(c.Listen,
		emulator.WithSlots(c.Slots), emulator.WithServiceTime(c.ServiceTime), emulator.WithColdStart(c.ColdStart))
	if err != nil {
		return trace.Wrap(err)
	}
	defer e.Close()
	e.SetFault(emulator.Fault{SlowFactor: c.SlowFactor, ErrorShare: c.ErrorShare, NoAnswer: c.Deaf})
	a := announcer.New(strings.TrimSuffix(c.Daemon, "/"), c.ID, announcer.Server{
		Service: c.Service, Address: e.Address(), Slots: c.Slots, Incarnation: uint64(time.Now().UnixMilli()),
	})
	defer a.Close()
	_, _ = fmt.Fprintf(c.stdout, "backend server %s on http://%s\n", c.ID, e.Address())
	<-terminate
	return c.drain(a, e)
}

// drain announces that the backend server takes no more requests, and waits until all its requests are finished. It
// gives up after drainTimeout.
func (c *runBackend) drain(a *announcer.Announcer, e *emulator.Emulator) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := a.Drain(ctx); err != nil {
		return trace.Wrap(err)
	}
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if e.InUse() == 0 {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
