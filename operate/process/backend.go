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

// drainTime is how long a backend server stays after it has asked for no more work.
const drainTime = 3 * time.Second

// backendServer runs an emulated backend server.
type backendServer struct {
	world
	ID          string        `long:"id" required:"yes" description:"name, unique in the fleet"`
	Service     string        `long:"service" required:"yes" description:"service that it belongs to"`
	Daemon      string        `long:"daemon" required:"yes" value-name:"URL" description:"announcement port of the daemon beside it, such as http://127.0.0.1:7003"`
	Listen      string        `long:"listen" default:"127.0.0.1:0" value-name:"ADDRESS" description:"loopback address"`
	Slots       int           `long:"slots" default:"4" description:"requests at once"`
	ServiceTime time.Duration `long:"service-time" default:"10ms" description:"median time that a request takes"`
	ColdStart   time.Duration `long:"cold-start" default:"0s" description:"time after the start in which it bears one request at once"`
	SlowFactor  float64       `long:"slow-factor" default:"1" description:"be gray: multiply the service time"`
	ErrorShare  float64       `long:"error-share" default:"0" description:"be gray: share of requests, 0 to 1, answered with 500"`
	Deaf        bool          `long:"deaf" description:"be gray: take requests and never answer"`
}

// Execute runs the command.
func (c *backendServer) Execute([]string) error {
	ending, stop := signals()
	defer stop()
	e, err := emulator.New(c.Listen,
		emulator.WithSlots(c.Slots), emulator.WithServiceTime(c.ServiceTime), emulator.WithColdStart(c.ColdStart))
	if err != nil {
		return trace.Wrap(err)
	}
	defer e.Close()
	e.SetFault(emulator.Fault{SlowFactor: c.SlowFactor, ErrorShare: c.ErrorShare, Deaf: c.Deaf})
	a := announcer.New(strings.TrimSuffix(c.Daemon, "/"), c.ID, announcer.Server{
		Service: c.Service, Address: e.Address(), Slots: c.Slots, Incarnation: uint64(time.Now().UnixMilli()),
	})
	defer a.Close()
	_, _ = fmt.Fprintf(c.stdout, "backend server %s on http://%s\n", c.ID, e.Address())
	<-ending
	return c.drain(a, e)
}

// drain asks for no more work and waits until all requests are finished.
func (c *backendServer) drain(a *announcer.Announcer, e *emulator.Emulator) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
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
