// Package keeper keeps the departures that one daemon acknowledges, so that the daemon still
// knows them after a crash: in the platform's store and, as copies, at other daemons. Either is
// enough for the acknowledgement, so backend servers can leave in order while the store is
// unavailable. A departure that is only copied is stored as soon as the store answers; one that
// the store has lost, because it has gone on from an older copy, is stored again by Rewrite.
//
// A Keeper also holds copies for other daemons, and passes on what a daemon that has restarted
// asks of the fleet.
//
// # Usage
//
//	k := keeper.New(keeper.Parts{Self: "vm-17", Store: store, Fleet: members, Caller: mesh, Clock: time.Now, Observer: o})
//	mesh.Register(keeper.ServiceName, k.Receiver())
//	err := k.Add("rounds-3", 1700000000000) // acknowledge the departure only if err is nil
//	processes, err := k.Load(ctx)           // after a restart: from the store
//	copies, err := k.Recall(ctx, "vm-4", err != nil) // and from the other daemons
//	k.Close()
package keeper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"berylpass/fleet/backend"
	"berylpass/fleet/departure"
	"berylpass/fleet/departure/holder"
	"berylpass/fleet/departure/replica"
	"berylpass/fleet/member"
)

const (
	// keepTimeout bounds Add. It is below one second because a backend server regards its
	// message as acknowledged only if the answer comes within a second.
	keepTimeout = 500 * time.Millisecond
	// loadTimeout bounds one read of a list in the store.
	loadTimeout = 500 * time.Millisecond
	// holderTimeout bounds the call of one holder on behalf of another daemon.
	holderTimeout = 400 * time.Millisecond
	// recallTimeout bounds Recall. The peer that passes the call on takes up to holderTimeout of it.
	recallTimeout = 600 * time.Millisecond
	// minStorePause and maxStorePause bound the exponential back-off between attempts to store
	// what is only copied. Each pause is multiplied by a random factor from 0.5 to 1.5.
	minStorePause = time.Second
	maxStorePause = 8 * time.Second
	// maxRemembered bounds the departures that are remembered as kept.
	maxRemembered = 256
)

// ErrNotKept means that a departure was neither stored nor copied to enough daemons, and must
// not be acknowledged.
var ErrNotKept = errors.New("departure was not kept")

// Fleet is the part of the membership that a Keeper uses.
type Fleet interface {
	Members() []member.Member
	// RecordsRead reports whether the member records have been read from the store, so that
	// Members returns all of them.
	RecordsRead() bool
}

// Caller calls methods of other daemons.
type Caller interface {
	Call(ctx context.Context, to member.ID, method string, args, reply any) error
}

// Observer is told how departures are kept. Its methods must not block.
type Observer interface {
	// DepartureNotStored is called when a departure could not be stored; it may still be copied.
	DepartureNotStored(p departure.Process, err error)
	// DepartureNotKept is called when Add fails.
	DepartureNotKept(p departure.Process, err error)
}

// Parts holds the dependencies of a Keeper.
type Parts struct {
	// Self is the ID of this daemon.
	Self     member.ID
	Store    departure.Store
	Fleet    Fleet
	Caller   Caller
	Clock    func() time.Time
	Observer Observer
}

// Keeper keeps departures. It is safe for concurrent use.
type Keeper struct {
	Parts
	started       time.Time
	list          *departure.List
	storeAnswered chan struct{}
	ctx           context.Context
	cancel        context.CancelFunc
	wait          sync.WaitGroup

	mu      sync.Mutex
	replica *replica.Replica
	// kept holds the latest departures that Add has kept, unstored those that are yet to be
	// stored.
	kept, unstored []departure.Process
	// rewrite is true if the store may have lost what it had acknowledged.
	rewrite bool
}

// New returns a Keeper and starts its goroutine.
func New(parts Parts) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		Parts: parts, started: parts.Clock(), list: departure.New(parts.Store, parts.Self, parts.Clock),
		storeAnswered: make(chan struct{}, 1), ctx: ctx, cancel: cancel, replica: replica.New(),
	}
	k.wait.Go(func() {
		failures := 0
		for {
			pause := min(minStorePause<<min(failures, 3), maxStorePause)
			select {
			case <-k.ctx.Done():
				return
			case <-k.storeAnswered:
			case <-time.After(pause/2 + rand.N(pause)):
			}
			if k.storeRest() {
				failures = 0
			} else {
				failures++
			}
		}
	})
	return k
}

// Close stops the keeper and waits for its goroutines. After it, Add fails.
func (k *Keeper) Close() {
	k.mu.Lock()
	k.cancel()
	k.mu.Unlock()
	k.wait.Wait()
}

// begin registers a goroutine for which Close must wait, and reports whether the keeper is open.
func (k *Keeper) begin() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ctx.Err() != nil {
		return false
	}
	k.wait.Add(1)
	return true
}

// StoreAnswered tells the keeper that the store answers.
func (k *Keeper) StoreAnswered() {
	select {
	case k.storeAnswered <- struct{}{}:
	default:
	}
}

// Rewrite stores the departures again that the store had acknowledged and may have lost, because
// it has gone on from an older copy.
func (k *Keeper) Rewrite() {
	k.mu.Lock()
	k.rewrite = true
	k.mu.Unlock()
	k.StoreAnswered()
}

// Add keeps the departure of a process. It returns once the
// departure is stored, or enough daemons have a copy. Otherwise its error wraps ErrNotKept. A
// departure that was kept before costs no calls.
func (k *Keeper) Add(id backend.ID, incarnation uint64) error {
	return k.add(departure.Process{ID: id, Incarnation: incarnation, StoredAt: k.Clock().UnixMilli()})
}

// AddUnstated does as Add for a departure that stated no incarnation. latest is the latest process of
// the ID that is known to have left, 0 if there is none.
func (k *Keeper) AddUnstated(id backend.ID, latest uint64) error {
	return k.add(departure.Process{ID: id, Incarnation: latest, StoredAt: k.Clock().UnixMilli(), Unstated: true})
}

func (k *Keeper) add(p departure.Process) error {
	if k.isKept(p) {
		return nil
	}
	if !k.begin() {
		return fmt.Errorf("%w: %w", ErrNotKept, context.Canceled)
	}
	plan := holder.New(k.Self, k.Fleet.Members())
	ctx, cancel := context.WithTimeout(k.ctx, keepTimeout)
	outcomes := k.send(ctx, p, plan.Holders(), func() {
		cancel()
		k.wait.Done()
	})
	if err := awaitKept(outcomes, 1+len(plan.Holders()), plan.Copies()); err != nil {
		err = fmt.Errorf("%w: %w", ErrNotKept, err)
		k.Observer.DepartureNotKept(p, err)
		return err
	}
	k.remember(p)
	return nil
}

// awaitKept receives n outcomes until the departure is stored or has enough copies. It returns
// the errors if that doesn't happen within keepTimeout.
func awaitKept(outcomes <-chan outcome, n, enough int) error {
	// The context of the calls doesn't end a wait for the list, which an earlier call may hold.
	timeout := time.NewTimer(keepTimeout)
	defer timeout.Stop()
	copies := 0
	var errs error
	for range n {
		select {
		case <-timeout.C:
			return errors.Join(errs, context.DeadlineExceeded)
		case o := <-outcomes:
			if o.err == nil && !o.stored {
				copies++
			}
			if o.err == nil && (o.stored || copies == enough) {
				return nil
			}
			errs = errors.Join(errs, o.err)
		}
	}
	return errs
}

// outcome is the result of storing a departure, or of copying it to one holder.
type outcome struct {
	stored bool
	err    error
}

// send stores a departure and copies it to the holders, all at once, and returns a channel that
// receives each outcome. It calls done when all have ended.
func (k *Keeper) send(ctx context.Context, p departure.Process, holders []member.ID, done func()) <-chan outcome {
	outcomes := make(chan outcome, 1+len(holders))
	var calls sync.WaitGroup
	calls.Go(func() {
		err := k.list.Add(ctx, p)
		if err != nil {
			k.Observer.DepartureNotStored(p, err)
			k.storeLater(p)
		}
		outcomes <- outcome{stored: true, err: err}
	})
	for _, id := range holders {
		calls.Go(func() {
			var kept bool
			err := k.Caller.Call(ctx, id, keepMethod, Copy{Daemon: k.Self, Process: p}, &kept)
			outcomes <- outcome{err: err}
		})
	}
	go func() {
		calls.Wait()
		done()
	}()
	return outcomes
}

// isKept reports whether what the record says has been kept before.
func (k *Keeper) isKept(p departure.Process) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.ContainsFunc(k.kept, func(kept departure.Process) bool { return kept.Covers(p) })
}

func (k *Keeper) remember(p departure.Process) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kept = departure.Merge(k.kept, p)
	k.kept = k.kept[max(0, len(k.kept)-maxRemembered):]
}

func (k *Keeper) storeLater(p departure.Process) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unstored = departure.Merge(k.unstored, p)
	k.unstored = k.unstored[max(0, len(k.unstored)-maxRemembered):]
}

// rewriteLost stores the departures again that the store may have lost, and reports whether that
// is done.
func (k *Keeper) rewriteLost() bool {
	k.mu.Lock()
	due := k.rewrite
	k.rewrite = false
	k.mu.Unlock()
	if !due {
		return true
	}
	ctx, cancel := context.WithTimeout(k.ctx, keepTimeout)
	defer cancel()
	if k.list.Rewrite(ctx) == nil {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rewrite = true
	return false
}

// storeRest stores the departures that the store has lost or that are yet to be stored, until one
// fails. It reports whether none remains.
func (k *Keeper) storeRest() bool {
	if !k.rewriteLost() {
		return false
	}
	for {
		k.mu.Lock()
		if len(k.unstored) == 0 {
			k.mu.Unlock()
			return true
		}
		p := k.unstored[0]
		k.mu.Unlock()
		ctx, cancel := context.WithTimeout(k.ctx, keepTimeout)
		err := k.list.Add(ctx, p)
		cancel()
		if err != nil {
			return false
		}
		k.mu.Lock()
		k.unstored = slices.DeleteFunc(k.unstored, p.Covers)
		k.mu.Unlock()
	}
}

// Load reads the departures at this daemon from the store.
func (k *Keeper) Load(ctx context.Context) ([]departure.Process, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return k.list.Load(ctx)
}

// Recall returns the departures at this daemon of which other daemons have copies, by way of a
// peer, which asks the holders. With readList, the peer also reads the list in the store. What is
// recalled is stored unless it is.
func (k *Keeper) Recall(ctx context.Context, peer member.ID, readList bool) (Copies, error) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	var reply Copies
	err := k.Caller.Call(ctx, peer, recallMethod, Query{Daemon: k.Self, PassOn: true, ReadList: readList}, &reply)
	for _, p := range reply.Processes {
		k.storeLater(p)
	}
	if len(reply.Processes) > 0 {
		k.StoreAnswered()
	}
	return reply, err
}
