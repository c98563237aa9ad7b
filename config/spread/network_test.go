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

var epoch = time.Unix(1_800_000_000, 0)

// host is one daemon of the fake network.
type host struct {
	id       member.ID
	spread   *Spread
	up       bool
	paused   bool
	watches  bool
	storeCut bool
	held     []func()
	// shown is the last revision that each daemon showed to this process, and when.
	shown    map[member.ID]claim
	applied  uint64
	caughtUp bool
	// servedFirst is the revision with which the process began to serve.
	servedFirst uint64
}

type claim struct {
	revision uint64
	at       time.Time
}

// network carries pulls and notices between cores in virtual time. Daemons show
// each other their revisions once a second, as membership does.
type network struct {
	now       time.Time
	random    *rand.Rand
	events    events
	hosts     map[member.ID]*host
	order     []member.ID
	peers     map[member.ID][]member.ID
	cut       map[[2]member.ID]bool
	loss      float64
	delay     time.Duration
	openDelay time.Duration
	store     uint64
	storeAway bool
	fault     func(format string, args ...any)
}

type timed struct {
	at  time.Time
	seq int
	run func()
}

type events struct {
	list []timed
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
func (e *events) Push(x any)    { e.list = append(e.list, x.(timed)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

// newNetwork starts a fleet whose daemons have the neighbours that package roster gives them.
func newNetwork(seed uint64, size, watchers int, fault func(string, ...any)) *network {
	n := &network{
		now: epoch, random: rand.New(rand.NewPCG(seed, 1)), hosts: map[member.ID]*host{},
		peers: map[member.ID][]member.ID{}, cut: map[[2]member.ID]bool{}, delay: time.Millisecond, fault: fault,
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

func (n *network) start(id member.ID) *host {
	h := &host{id: id, up: true, spread: New(n.now), shown: map[member.ID]claim{}}
	if old := n.hosts[id]; old != nil {
		h.watches, h.storeCut = old.watches, old.storeCut
	}
	n.hosts[id] = h
	n.loop(h, 200*time.Millisecond, func() { n.update(h, Tick{Peers: n.peers[id], Joined: true}) })
	n.loop(h, time.Second, func() { n.exchange(h) })
	return h
}

// loop runs a step at an interval while the process lives, and lets a pause delay it.
func (n *network) loop(h *host, interval time.Duration, step func()) {
	n.after(time.Duration(n.random.Int64N(int64(interval))), func() {
		if n.hosts[h.id] != h || !h.up {
			return
		}
		if !h.paused {
			step()
		}
		n.loop(h, interval, step)
	})
}

func (n *network) after(d time.Duration, run func()) {
	n.events.seq++
	heap.Push(&n.events, timed{at: n.now.Add(d), seq: n.events.seq, run: run})
}

func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.events.list) > 0 && !n.events.list[0].at.After(end) {
		e := heap.Pop(&n.events).(timed)
		n.now = e.at
		e.run()
	}
	n.now = end
}

func (n *network) update(h *host, event decision.Event) {
	if heard, ok := event.(Heard); ok {
		h.shown[heard.From] = claim{heard.Revision, n.now}
	}
	for _, action := range h.spread.Update(n.now, event) {
		switch a := action.(type) {
		case Pull:
			n.pull(h, a)
		case Apply:
			if a.Revision <= h.applied {
				n.fault("%s went from revision %d to %d", h.id, h.applied, a.Revision)
			}
			h.applied = a.Revision
		case Notify:
			for _, id := range a.To {
				n.deliver(h.id, id, func(to *host) { n.update(to, Heard{Revision: a.Revision, From: h.id}) })
			}
		}
	}
	if h.spread.CaughtUp() && !h.caughtUp {
		h.caughtUp, h.servedFirst = true, h.spread.Revision()
		for from, c := range h.shown {
			truthful := n.hosts[from].spread.Revision() >= c.revision
			if truthful && n.now.Sub(c.at) < claimLifetime && h.spread.Revision() < c.revision {
				n.fault("%s serves revision %d after %s showed %d", h.id, h.spread.Revision(), from, c.revision)
			}
		}
	}
}

// exchange is a probe: both sides show their revisions.
func (n *network) exchange(h *host) {
	peers := n.peers[h.id]
	if len(peers) == 0 {
		return
	}
	id := peers[n.random.IntN(len(peers))]
	shown := h.spread.Revision()
	n.deliver(h.id, id, func(to *host) {
		n.update(to, Heard{Revision: shown, From: h.id})
		reply := to.spread.Revision()
		n.deliver(id, h.id, func(back *host) { n.update(back, Heard{Revision: reply, From: id}) })
	})
}

// pull answers within the time limit of the adapter, with what the source holds.
func (n *network) pull(h *host, a Pull) {
	settled := false
	settle := func(event decision.Event) {
		if !settled {
			settled = true
			n.onHost(h, func() { n.update(h, event) })
		}
	}
	n.after(5*time.Second, func() { settle(FetchFailed{Pull: a.Pull}) })
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
			n.after(n.openDelay, func() { settle(Fetched{Pull: a.Pull, Revision: revision}) })
		})
	})
}

func (n *network) readStore(h *host, a Pull) decision.Event {
	if n.storeAway || h.storeCut || n.store == 0 {
		return FetchFailed{Pull: a.Pull, Empty: n.store == 0 && !n.storeAway && !h.storeCut}
	}
	return Fetched{Pull: a.Pull, Revision: n.store}
}

// publish changes the store, or restores it, and wakes the watchers that see it.
func (n *network) publish(revision uint64) {
	n.store = revision
	n.wakeWatchers()
}

func (n *network) wakeWatchers() {
	for _, id := range n.order {
		h := n.hosts[id]
		if h.watches && !h.storeCut && !n.storeAway {
			n.after(n.delay, func() { n.onHost(h, func() { n.update(h, StoreChanged{}) }) })
		}
	}
}

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

func (n *network) onHost(h *host, run func()) {
	switch {
	case n.hosts[h.id] != h || !h.up:
	case h.paused:
		h.held = append(h.held, run)
	default:
		run()
	}
}

func (n *network) resume(h *host) {
	h.paused = false
	held := h.held
	h.held = nil
	for _, run := range held {
		run()
	}
}

// behind returns the daemons whose revision is below the given one.
func (n *network) behind(revision uint64) int {
	behind := 0
	for _, h := range n.hosts {
		if h.up && h.spread.Revision() < revision {
			behind++
		}
	}
	return behind
}
