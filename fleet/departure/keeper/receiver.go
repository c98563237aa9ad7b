package keeper

import (
	"context"
	"slices"
	"sync"

	"berylpass/fleet/departure"
	"berylpass/fleet/departure/holder"
	"berylpass/fleet/member"
	"berylpass/mesh"
)

// Names of the net/rpc service and its methods.
const (
	// ServiceName is the name under which the Receiver is registered.
	ServiceName  = "Departure"
	keepMethod   = ServiceName + ".Keep"
	recallMethod = ServiceName + ".Recall"
)

// Copy is a departure that a daemon has taken, for another daemon to hold.
type Copy struct {
	Daemon  member.ID
	Process departure.Process
}

// Query asks for the departures at a daemon. With PassOn, the receiver asks the holders too, and
// with ReadList it also reads the list in the store, which the daemon can't read itself.
type Query struct {
	Daemon           member.ID
	PassOn, ReadList bool
}

// Copies is the answer to a Query.
type Copies struct {
	Processes []departure.Process
	// Complete reports whether enough holders were heard; see holder.Plan.Answers.
	Complete bool
}

// Receiver answers other daemons' calls by net/rpc.
type Receiver struct{ keeper *Keeper }

// Receiver returns the receiver to register under ServiceName.
func (k *Keeper) Receiver() *Receiver { return &Receiver{keeper: k} }

// Keep holds a copy of a departure and sets the reply to true.
func (r *Receiver) Keep(c Copy, kept *bool) (err error) {
	defer mesh.Recover(&err)
	k := r.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replica.Keep(k.Clock(), c.Daemon, c.Process)
	*kept = true
	return nil
}

// Recall returns the departures at a daemon of which this daemon, and with PassOn also the
// holders, have copies, and with ReadList those in the store, if it answers.
func (r *Receiver) Recall(q Query, reply *Copies) (err error) {
	defer mesh.Recover(&err)
	k := r.keeper
	k.mu.Lock()
	own := k.replica.Of(k.Clock(), q.Daemon)
	k.mu.Unlock()
	*reply = Copies{Processes: own}
	if q.PassOn {
		*reply = k.ask(q, own)
	}
	return nil
}

// ask asks the holders of a daemon's departures, and the store if that is wanted, and returns
// what they and this daemon have.
func (k *Keeper) ask(q Query, own []departure.Process) Copies {
	ctx, cancel := context.WithTimeout(k.ctx, holderTimeout)
	defer cancel()
	plan := holder.New(q.Daemon, k.Fleet.Members())
	var mu sync.Mutex
	var calls sync.WaitGroup
	found := Copies{Processes: own}
	heard := 0
	if q.ReadList {
		calls.Go(func() {
			// Without the store, the copies are all that is known.
			stored, err := departure.New(k.Store, q.Daemon, k.Clock).Load(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				found = found.with(stored)
			}
		})
	}
	for _, id := range plan.Holders() {
		calls.Go(func() {
			var reply Copies
			var err error
			if id != k.Self {
				err = k.Caller.Call(ctx, id, recallMethod, Query{Daemon: q.Daemon}, &reply)
			}
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				heard++
			}
			found = found.with(reply.Processes)
		})
	}
	calls.Wait()
	found.Complete = heard > 0 && heard >= plan.Answers()
	return found
}

// with returns c with further processes, without repetitions.
func (c Copies) with(processes []departure.Process) Copies {
	c.Processes = slices.Clone(c.Processes)
	for _, p := range processes {
		if !slices.ContainsFunc(c.Processes, p.Same) {
			c.Processes = append(c.Processes, p)
		}
	}
	return c
}
