package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"berylpass/decision"
	"berylpass/fleet/member"
	"berylpass/fleet/roster"
)

// epoch is the virtual time at the start of a simulation.
var epoch = time.Unix(1_800_000_000, 0)

// host is one daemon of the simulated network.
type host struct {
	id     member.ID
	spread *Spread
	up     bool
	paused bool
	// watches is true if the daemon watches the store, storeCut if it can't reach it.
	watches  bool
	storeCut bool
	// delayed holds the functions to run when the process resumes.
	delayed []func()
	// claims holds the last revision that each daemon stated to this process.
	claims map[member.ID]claim
	// applied is the revision of the last Apply.
	applied  uint64
	caughtUp bool
	// firstServed is the revision in force when the process had caught up.
	firstServed uint64
}

// claim is a revision that a daemon stated, and when.
type claim struct {
	revision uint64
	at       time.Time
}

// network simulates pulls, notifications and the store for a fleet in virtual time. Each
// daemon exchanges revisions with a peer once a second, as membership does.
type network struct {
	now    time.Time
	random *rand.Rand
	events events
	hosts  map[member.ID]*host
	order  []member.ID
	peers  map[member.ID][]member.ID
	// cut holds the pairs of sender and receiver between which messages are lost; loss is
	// the share of all messages that are lost.
	cut  map[[2]member.ID]bool
	loss float64
	// delay is the least delay of a message; the greatest is twice as long.
	delay time.Duration
	// openDelay is the time that opening a fetched revision takes.
	openDelay time.Duration
	// store is the revision in the store, 0 if it is empty.
	store            uint64
	storeUnavailable bool
	fail             func(format string, args ...any)
}

// timedEvent is a function to run at a virtual time.
type timedEvent struct {
	at  time.Time
	seq int
	run func()
}

// events is a heap of events ordered by time, then by the order in which they were added.
type events struct {
	list []timedEvent
	seq  int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	if !e.list[i].at.Equal(e.list[j].at) {
		return e.list[i].at.Before(e.list[j].at)
	}
	return e.list[i].seq < e.list[j].seq
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(timedEvent)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

// newNetwork starts a fleet whose daemons have the neighbours that package roster chooses.
// The first watchers daemons watch the store. fail is called when an invariant is broken.
func newNetwork(seed uint64, size, watchers int, fail func(string, ...any)) *network {
	n := &network{
		now: epoch, random: rand.New(rand.NewPCG(seed, 1)), hosts: map[member.ID]*host{},
		peers: map[member.ID][]member.ID{}, cut: map[[2]member.ID]bool{}, delay: time.Millisecond, fail: fail,
	}
	records := make([]roster.Record, size)
	for i := range records {
		id := member.ID(fmt.Sprintf("vm-%03d", i))
		n.order = append(n.order, id)
		records[i] = roster.Record{Member: member.New(id, "dc").WithAddresses(string(id), string(id)).WithIncarnation(1), Version: 1}
	}
	for i, id := range n.order {
		r := roster.New(records[i].Member, nil, 1, epoch)
		r.Update(epoch, roster.StoreRecords{Records: records})
		n.peers[id] = r.Neighbours()
		n.start(id).watches = i < watchers
	}
	return n
}

// start starts a daemon, or restarts it as a new process.
func (n *network) start(id member.ID) *host {
	h := &host{id: id, up: true, spread: New(n.now), claims: map[member.ID]claim{}}
	if old := n.hosts[id]; old != nil {
		h.watches, h.storeCut = old.watches, old.storeCut
	}
	n.hosts[id] = h
	n.every(h, 200*time.Millisecond, func() { n.update(h, Tick{Peers: n.peers[id], RecordsRead: true}) })
	n.every(h, time.Second, func() { n.exchange(h) })
	return h
}

// every runs a step at an interval while the process is up, except while it is paused.
func (n *network) every(h *host, interval time.Duration, step func()) {
	n.after(time.Duration(n.random.Int64N(int64(interval))), func() {
		if n.hosts[h.id] != h || !h.up {
			return
		}
		if !h.paused {
			step()
		}
		n.every(h, interval, step)
	})
}

func (n *network) after(d time.Duration, run func()) {
	n.events.seq++
	heap.Push(&n.events, timedEvent{at: n.now.Add(d), seq: n.events.seq, run: run})
}

func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.events.list) > 0 && !n.events.list[0].at.After(end) {
		e := heap.Pop(&n.events).(timedEvent)
		n.now = e.at
		e.run()
	}
	n.now = end
}

// update passes an event to a daemon's Spread, carries out the actions, and checks that the
// revision never falls and that a daemon that has caught up isn't below a truthful claim.
func (n *network) update(h *host, event decision.Event) {
	if heard, ok := event.(Heard); ok {
		h.claims[heard.From] = claim{heard.Revision, n.now}
	}
	for _, action := range h.spread.Update(n.now, event) {
		switch a := action.(type) {
		case Pull:
			n.pull(h, a)
		case Apply:
			if a.Revision <= h.applied {
				n.fail("%s went from revision %d to %d, want a higher one", h.id, h.applied, a.Revision)
			}
			h.applied = a.Revision
		case Notify:
			for _, id := range a.To {
				n.deliver(h.id, id, func(to *host) { n.update(to, Heard{Revision: a.Revision, From: h.id}) })
			}
		}
	}
	if h.spread.CaughtUp() && !h.caughtUp {
		h.caughtUp, h.firstServed = true, h.spread.Revision()
		for from, c := range h.claims {
			truthful := n.hosts[from].spread.Revision() >= c.revision
			if truthful && n.now.Sub(c.at) < claimLifetime && h.spread.Revision() < c.revision {
				n.fail("%s serves revision %d after %s stated %d", h.id, h.spread.Revision(), from, c.revision)
			}
		}
	}
}

// exchange sends a probe to a random peer: both sides state their revisions.
func (n *network) exchange(h *host) {
	peers := n.peers[h.id]
	if len(peers) == 0 {
		return
	}
	id := peers[n.random.IntN(len(peers))]
	revision := h.spread.Revision()
	n.deliver(h.id, id, func(to *host) {
		n.update(to, Heard{Revision: revision, From: h.id})
		reply := to.spread.Revision()
		n.deliver(id, h.id, func(back *host) { n.update(back, Heard{Revision: reply, From: id}) })
	})
}

// pull ends a pull with the revision that the source holds, or fails it after 5 s, the
// timeout of package revision.
func (n *network) pull(h *host, a Pull) {
	settled := false
	settle := func(event decision.Event) {
		if !settled {
			settled = true
			n.onHost(h, func() { n.update(h, event) })
		}
	}
	n.after(5*time.Second, func() { settle(FetchFailed{Number: a.Number}) })
	if a.From == "" {
		n.after(2*time.Millisecond, func() {
			read := n.readStore(h, a)
			n.after(n.openDelay, func() { settle(read) })
		})
		return
	}
	n.deliver(h.id, a.From, func(from *host) {
		revision := from.spread.Revision()
		n.deliver(a.From, h.id, func(*host) {
			n.after(n.openDelay, func() { settle(Fetched{Number: a.Number, Revision: revision}) })
		})
	})
}

// readStore returns the result of a pull from the store.
func (n *network) readStore(h *host, a Pull) decision.Event {
	if n.storeUnavailable || h.storeCut || n.store == 0 {
		return FetchFailed{Number: a.Number, Empty: n.store == 0 && !n.storeUnavailable && !h.storeCut}
	}
	return Fetched{Number: a.Number, Revision: n.store}
}

// publish changes the store's revision, up or down, and notifies the watchers.
func (n *network) publish(revision uint64) {
	n.store = revision
	n.wakeWatchers()
}

// wakeWatchers sends StoreChanged to the daemons that watch the store and can reach it.
func (n *network) wakeWatchers() {
	for _, id := range n.order {
		h := n.hosts[id]
		if h.watches && !h.storeCut && !n.storeUnavailable {
			n.after(n.delay, func() { n.onHost(h, func() { n.update(h, StoreChanged{}) }) })
		}
	}
}

// deliver runs a function at a daemon after the network's delay, unless the message is lost.
func (n *network) deliver(from, to member.ID, arrive func(*host)) {
	if n.cut[[2]member.ID{from, to}] || n.random.Float64() < n.loss {
		return
	}
	n.after(n.delay+time.Duration(n.random.Int64N(int64(n.delay))), func() {
		if h := n.hosts[to]; h != nil {
			n.onHost(h, func() { arrive(h) })
		}
	})
}

// onHost runs a function at a process, when it resumes if it is paused, and not at all if
// the process has ended.
func (n *network) onHost(h *host, run func()) {
	switch {
	case n.hosts[h.id] != h || !h.up:
	case h.paused:
		h.delayed = append(h.delayed, run)
	default:
		run()
	}
}

// resume ends a pause and runs the functions that it delayed.
func (n *network) resume(h *host) {
	h.paused = false
	delayed := h.delayed
	h.delayed = nil
	for _, run := range delayed {
		run()
	}
}

// behind returns the number of daemons whose revision is below the given one.
func (n *network) behind(revision uint64) int {
	behind := 0
	for _, h := range n.hosts {
		if h.up && h.spread.Revision() < revision {
			behind++
		}
	}
	return behind
}
