package keeper

import (
	"context"
	"sync"
	"time"

	"berylpass/fleet/departure"
	"berylpass/fleet/departure/holder"
	"berylpass/fleet/departure/recovery"
	"berylpass/fleet/instance"
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
	// Complete reports whether no daemon that wasn't heard can be expected to have further copies.
	Complete bool
	// Newcomer reports whether the daemon that answers has started so recently that it may have lost
	// copies which still matter.
	Newcomer bool
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
	*reply = Copies{Processes: own, Newcomer: k.uptime() < instance.MaxDelay}
	if q.PassOn {
		*reply = k.ask(q, *reply)
	}
	return nil
}

// uptime returns the time since this daemon has started.
func (k *Keeper) uptime() time.Duration { return k.Clock().Sub(k.started) }

// knowsFleet reports whether this daemon knows all members of the fleet: it has read their records,
// or the others have had the time to find it.
func (k *Keeper) knowsFleet() bool { return k.Fleet.RecordsRead() || k.uptime() >= recovery.MaxWait }

// ask asks the holders of a daemon's departures, and the store if that is wanted, and returns
// what they and this daemon have.
func (k *Keeper) ask(q Query, own Copies) Copies {
	ctx, cancel := context.WithTimeout(k.ctx, holderTimeout)
	defer cancel()
	knowsFleet, plan := k.knowsFleet(), holder.New(q.Daemon, k.Fleet.Members())
	var mu sync.Mutex
	var calls sync.WaitGroup
	found := Copies{Processes: own.Processes}
	heard := tally{listRead: !q.ReadList}
	if q.ReadList {
		calls.Go(func() {
			// Without the store, the copies are all that is known.
			stored, err := departure.New(k.Store, q.Daemon, k.Clock).Load(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				found = found.with(stored)
				heard.listRead = true
			}
		})
	}
	for _, id := range plan.Holders() {
		calls.Go(func() {
			reply, err := own, error(nil)
			if id != k.Self {
				reply = Copies{}
				err = k.Caller.Call(ctx, id, recallMethod, Query{Daemon: q.Daemon}, &reply)
			}
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				heard = heard.with(reply)
			}
			found = found.with(reply.Processes)
		})
	}
	calls.Wait()
	found.Complete = heard.suffices(plan, knowsFleet)
	return found
}

// tally counts the holders that were heard, and how many of them are newcomers. listRead reports
// whether the list in the store has been read, by the daemon that asks or for it.
type tally struct {
	heard, newcomers int
	listRead         bool
}

func (t tally) with(reply Copies) tally {
	t.heard++
	if reply.Newcomer {
		t.newcomers++
	}
	return t
}

// suffices reports whether the holders that weren't heard need not be waited for. knowsFleet
// reports whether the plan is that of the whole fleet. Without the list, the copies are all that is
// known: a newcomer without a copy proves nothing, but if all holders were heard, there is none left
// to ask. With it, the copies matter only for departures that couldn't be stored.
func (t tally) suffices(p holder.Plan, knowsFleet bool) bool {
	switch {
	case t.heard == 0:
		return false
	case t.listRead:
		return t.heard >= p.Answers()
	}
	return knowsFleet && (t.heard == len(p.Holders()) || t.heard-t.newcomers >= p.Answers())
}

// with returns c with further processes.
func (c Copies) with(processes []departure.Process) Copies {
	c.Processes = departure.Merge(c.Processes, processes...)
	return c
}
