package roster

import (
	"bytes"
	"container/heap"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"time"

	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

const (
	callTimeout = time.Second
	// tlsOverheadBytes is the overhead of TLS per message.
	tlsOverheadBytes = 22
)

// epoch is the time at which every simulation starts.
var epoch = time.Unix(1_800_000_000, 0)

// host is one daemon of the simulated network.
type host struct {
	id         member.ID
	datacentre string
	roster     *Roster
	up         bool
	paused     bool
	// watching reports whether the daemon watches the store.
	watching         bool
	storeUnreachable bool
	// deferred are the functions to run when the pause ends.
	deferred []func()
	// sent and received are in bytes; messages counts both directions.
	sent     int
	received int
	messages int
	// falseSuspicions counts the suspicions that the daemon recorded of daemons that
	// were up.
	falseSuspicions int
}

// network simulates the network and the store between rosters, in virtual time.
type network struct {
	now    time.Time
	random *rand.Rand
	events eventQueue
	hosts  map[member.ID]*host
	// order holds the IDs of the hosts in the order of their first start.
	order []member.ID
	// cut holds the pairs of sender and receiver between which all messages are lost.
	cut map[[2]member.ID]bool
	// loss and duplicate are the shares of messages that are lost and delivered twice.
	loss      float64
	duplicate float64
	// delay is the minimum delay of a message; the maximum is twice as long.
	delay      time.Duration
	store      map[member.ID]Record
	storeDown  bool
	storeCalls int
	// counting reports whether traffic is counted.
	counting bool
	encoders map[[2]member.ID]*messageEncoder
	// regions are the regions of the data centres, nil for none. crossing is the number of bytes between regions,
	// places the region of each data centre by which they are counted.
	regions, places map[string]string
	crossing        int
	// onAction is called after each action, if it is set.
	onAction func(*host, decision.Action)
}

// messageEncoder measures the size of the messages on one connection.
type messageEncoder struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

// timedEvent is a function to run at a time; seq orders those of the same time.
type timedEvent struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue struct {
	list []timedEvent
	seq  int
}

func (e *eventQueue) Len() int { return len(e.list) }
func (e *eventQueue) Less(i, j int) bool {
	if !e.list[i].at.Equal(e.list[j].at) {
		return e.list[i].at.Before(e.list[j].at)
	}
	return e.list[i].seq < e.list[j].seq
}
func (e *eventQueue) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *eventQueue) Push(x any)    { e.list = append(e.list, x.(timedEvent)) }
func (e *eventQueue) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func newNetwork(seed uint64) *network {
	return &network{
		now: epoch, random: rand.New(rand.NewPCG(seed, 1)), hosts: map[member.ID]*host{},
		cut: map[[2]member.ID]bool{}, delay: time.Millisecond, store: map[member.ID]Record{},
		encoders: map[[2]member.ID]*messageEncoder{},
	}
}

// after schedules a function to run after d.
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

// until runs the simulation until done returns true, which is checked after each step.
// It returns the time taken, or limit and false if done stays false.
func (n *network) until(limit, step time.Duration, done func() bool) (time.Duration, bool) {
	start := n.now
	for n.now.Sub(start) < limit {
		n.run(step)
		if done() {
			return n.now.Sub(start), true
		}
	}
	return limit, false
}

// start starts a daemon, as a new incarnation if it has run before.
func (n *network) start(id member.ID, datacentre string, seeds ...string) *host {
	return n.startWithClockBehind(id, datacentre, 0, seeds...)
}

// startWithClockBehind starts a daemon whose clock is behind, so that its incarnation
// may be below that of an earlier run. While the store is down, the incarnation is
// unconfirmed.
func (n *network) startWithClockBehind(id member.ID, datacentre string, behind time.Duration, seeds ...string) *host {
	h := &host{id: id, datacentre: datacentre, up: true}
	if _, again := n.hosts[id]; !again {
		n.order = append(n.order, id)
	}
	n.hosts[id] = h
	self := member.New(id, datacentre).WithAddresses(string(id)+":7001", string(id)+":7002").
		WithIncarnation(uint64(n.now.Add(-behind).UnixNano()))
	var options []Option
	if n.storeDown {
		options = append(options, WithUnconfirmedIncarnation())
	}
	if n.regions != nil {
		options = append(options, WithRegions(n.regions))
	}
	h.roster = New(self, seeds, n.random.Uint64(), n.now, options...)
	if !n.storeDown && !h.storeUnreachable {
		n.update(h, StoreRecords{Records: n.records()})
		n.storeCalls++
	}
	n.tick(h, time.Duration(n.random.Int64N(int64(TickInterval))))
	return h
}

// tick sends Tick events to a daemon, the first after the given time.
func (n *network) tick(h *host, after time.Duration) {
	n.after(after, func() {
		if n.hosts[h.id] != h || !h.up {
			return
		}
		if !h.paused {
			n.update(h, Tick{})
		}
		n.tick(h, TickInterval)
	})
}

func (n *network) crash(id member.ID) { n.hosts[id].up = false }

// resume ends the pause of a daemon and runs what was deferred in it.
func (n *network) resume(h *host) {
	h.paused = false
	n.update(h, Tick{})
	deferred := h.deferred
	h.deferred = nil
	for _, run := range deferred {
		run()
	}
}

// update applies an event to a daemon's roster and executes the actions.
func (n *network) update(h *host, event decision.Event) []decision.Action {
	actions := h.roster.Update(n.now, event)
	for _, a := range actions {
		n.execute(h, a)
		if n.onAction != nil {
			n.onAction(h, a)
		}
	}
	return actions
}

func (n *network) execute(h *host, a decision.Action) {
	switch a := a.(type) {
	case Send:
		n.call(h, a)
	case WriteRecord:
		n.storeWrite(h, func() { n.store[h.id] = a.Record })
	case DeleteRecord:
		n.storeWrite(h, func() {
			if r, ok := n.store[a.ID]; ok && r.Member.Incarnation <= a.Incarnation {
				delete(n.store, a.ID)
			}
		})
	case WatchStore:
		h.watching = a.Watch
		n.watch(h)
	case CheckStore:
		since := n.now
		n.storeCalls++
		if !n.storeDown && !h.storeUnreachable {
			n.after(2*time.Millisecond, func() { n.onHost(h, func() { n.update(h, StoreAnswered{CalledAt: since}) }) })
		}
	case MemberChanged:
		if a.Member.State == member.Suspect && n.hosts[a.Member.ID] != nil && n.hosts[a.Member.ID].up {
			h.falseSuspicions++
		}
	}
}

// storeWrite changes the store if it is reachable and notifies the watchers.
func (n *network) storeWrite(h *host, write func()) {
	n.storeCalls++
	if n.storeDown || h.storeUnreachable {
		return
	}
	write()
	for _, id := range n.order {
		if n.hosts[id].watching {
			n.watch(n.hosts[id])
		}
	}
}

// watch delivers the store's records to a watcher.
func (n *network) watch(h *host) {
	n.after(2*time.Millisecond, func() {
		if !h.watching || n.storeDown || h.storeUnreachable {
			return
		}
		n.storeCalls++
		n.onHost(h, func() { n.update(h, StoreRecords{Records: n.records()}) })
	})
}

// records returns the store's records, ordered by ID.
func (n *network) records() []Record {
	records := make([]Record, 0, len(n.store))
	for _, r := range n.store {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b Record) int {
		return key{member: a.Member.ID}.compare(key{member: b.Member.ID})
	})
	return records
}

// onHost calls run at once, or after the pause if the host is paused. It does nothing
// if the host is down or has been replaced by a later start.
func (n *network) onHost(h *host, run func()) {
	if n.hosts[h.id] != h || !h.up {
		return
	}
	if h.paused {
		h.deferred = append(h.deferred, run)
		return
	}
	run()
}

// call makes the call of a Send action and reports its outcome to the caller.
func (n *network) call(from *host, s Send) {
	id := s.To
	if s.Address != "" {
		id = member.ID(s.Address[:len(s.Address)-len(":7001")])
	}
	settled := false
	settle := func(event decision.Event) {
		if !settled {
			settled = true
			n.onHost(from, func() { n.update(from, event) })
		}
	}
	n.after(callTimeout, func() { settle(CallFailed{Seq: s.Seq}) })
	n.countTraffic(from.id, id, &rpc.Request{ServiceMethod: "Fleet.Exchange", Seq: s.Seq}, s.Message)
	n.deliver(from.id, id, func(to *host) {
		for _, a := range n.update(to, Received{Message: s.Message}) {
			reply, ok := a.(Reply)
			if !ok {
				continue
			}
			n.countTraffic(to.id, from.id, &rpc.Response{ServiceMethod: "Fleet.Exchange", Seq: s.Seq}, reply.Message)
			n.deliver(to.id, from.id, func(*host) { settle(CallAnswered{Seq: s.Seq, Message: reply.Message}) })
		}
	})
}

// deliver carries a message to a host, with the delay and the faults of the network.
func (n *network) deliver(from, to member.ID, arrive func(*host)) {
	copies := 1
	if n.random.Float64() < n.duplicate {
		copies = 2
	}
	for range copies {
		if n.cut[[2]member.ID{from, to}] || n.random.Float64() < n.loss {
			continue
		}
		delay := n.delay + time.Duration(n.random.Int64N(int64(n.delay)))
		n.after(delay, func() {
			if n.cut[[2]member.ID{from, to}] {
				return
			}
			if h := n.hosts[to]; h != nil {
				n.onHost(h, func() { arrive(h) })
			}
		})
	}
}

// countTraffic adds the encoded size of a message to the traffic of both ends. Each
// pair of daemons keeps one connection, on which gob sends its type descriptions only
// once; they are not counted.
func (n *network) countTraffic(from, to member.ID, header any, m Message) {
	if !n.counting || n.hosts[to] == nil {
		return
	}
	c := n.encoders[[2]member.ID{from, to}]
	if c == nil {
		c = &messageEncoder{}
		c.encoder = gob.NewEncoder(&c.buffer)
		n.encoders[[2]member.ID{from, to}] = c
		_ = c.encoder.Encode(header)
		_ = c.encoder.Encode(m)
		c.buffer.Reset()
	}
	_ = c.encoder.Encode(header)
	_ = c.encoder.Encode(m)
	bytes := c.buffer.Len() + tlsOverheadBytes
	c.buffer.Reset()
	if n.places[n.hosts[from].datacentre] != n.places[n.hosts[to].datacentre] {
		n.crossing += bytes
	}
	n.hosts[from].sent += bytes
	n.hosts[to].received += bytes
	n.hosts[from].messages++
	n.hosts[to].messages++
}

// newFleet starts size daemons, spread evenly over the data centres, each with the
// given number of backend servers.
func newFleet(seed uint64, size, datacentres, backends int) *network {
	n := newNetwork(seed)
	for i := range size {
		id := member.ID(fmt.Sprintf("vm-%03d", i))
		h := n.start(id, fmt.Sprintf("dc-%d", i%datacentres))
		for b := range backends {
			n.update(h, BackendSet{Backend: newBackend(id, b)})
		}
	}
	return n
}

// newBackend returns the backend server with index i of a daemon.
func newBackend(id member.ID, i int) backend.Backend {
	name := backend.ID(fmt.Sprintf("%s-%d", id, i))
	return backend.New(name, fmt.Sprintf("service-%02d", i), id).WithAddress("127.0.0.1:9000").
		WithSlots(4).WithIncarnation(uint64(epoch.UnixNano()))
}

// converged reports whether all daemons that are up have equal tables, in which
// exactly these daemons are serving or leaving.
func (n *network) converged() bool {
	up := 0
	for _, h := range n.hosts {
		if h.up {
			up++
		}
	}
	want, first := uint32(0), true
	for _, id := range n.order {
		h := n.hosts[id]
		if !h.up {
			continue
		}
		if first {
			want, first = h.roster.table.hash(), false
		}
		alive := 0
		for _, row := range h.roster.table.members {
			if row.state() == member.Serving || row.state() == member.Leaving {
				alive++
			}
		}
		if h.roster.table.hash() != want || alive != up {
			return false
		}
	}
	return true
}
