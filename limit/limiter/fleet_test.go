package limiter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"berylpass/decision"
	"berylpass/fleet/member"
	"berylpass/limit/allotment"
	"berylpass/limit/borrower"
	"berylpass/limit/limiter"
)

// limit is the configured limit of an organisation.
type limit struct {
	rate  float64
	burst int
}

// fleet runs limiters in virtual time over a network and a store with faults.
type fleet struct {
	rand   *rand.Rand
	now    time.Duration
	seq    int
	events eventHeap
	nodes  []*node
	limits map[string]limit
	shards map[int]bool

	records map[int]stored
	version uint64

	// Faults of the network and the store; cut is one-way.
	loss, double float64
	delay        func() time.Duration
	cut          map[[2]int]bool
	states       map[int]member.State
	storeCut     map[int]bool
	lostAnswer   float64

	// scales are the changes of the largest configured scale, in order.
	scales []scaled

	runs     map[string][]time.Duration
	admitted map[string]int
	refused  map[string]int
	offered  map[string]int
	noLease  int
	messages int
	bytes    int
	writes   int
	reads    int
	onRefuse func(organisation string)
	// sizeOf, if set, returns the size of a message in bytes.
	sizeOf func(any) int
}

type stored struct {
	record  allotment.Record
	version uint64
}

// node is a daemon: its clock shows offset + t*(1+drift).
type node struct {
	index       int
	id          member.ID
	core        *limiter.Limiter
	incarnation uint64
	offset      time.Duration
	drift       float64
	pausedUntil time.Duration
	down        bool
	limits      map[string]limit
	scale       float64
	waiting     map[string][]request
}

type request struct {
	at time.Duration
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newFleet(seed uint64, n int, limits map[string]limit) *fleet {
	f := &fleet{
		rand: rand.New(rand.NewPCG(seed, 1)), limits: limits, shards: map[int]bool{}, records: map[int]stored{},
		cut: map[[2]int]bool{}, storeCut: map[int]bool{},
		runs: map[string][]time.Duration{}, admitted: map[string]int{}, refused: map[string]int{}, offered: map[string]int{},
	}
	f.delay = func() time.Duration { return 250 * time.Microsecond }
	for name := range limits {
		f.shards[allotment.Shard(name)] = true
	}
	for i := range n {
		nd := &node{index: i, id: member.ID(fmt.Sprintf("vm-%d", i)), limits: limits, scale: 1, down: true}
		f.nodes = append(f.nodes, nd)
	}
	for _, nd := range f.nodes {
		f.start(nd)
	}
	f.noteScale()
	return f
}

func (f *fleet) members() []member.Member {
	var list []member.Member
	for _, n := range f.nodes {
		m := member.New(n.id, fmt.Sprintf("dc-%d", n.index%3))
		m = m.WithState(f.states[n.index])
		list = append(list, m)
	}
	return list
}

func (f *fleet) at(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now + d, seq: f.seq, run: run})
}

// runFor lets virtual time pass.
func (f *fleet) runFor(d time.Duration) {
	end := f.now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (n *node) clock(t time.Duration) time.Time {
	return epoch.Add(n.offset + time.Duration(float64(t)*(1+n.drift)))
}

// start begins a new process of the node.
func (f *fleet) start(n *node) {
	n.incarnation++
	n.down, n.pausedUntil = false, 0
	n.waiting = map[string][]request{}
	n.core = limiter.New(n.clock(f.now), n.id, n.incarnation, n.limitsOf())
	n.core.Update(n.clock(f.now), limiter.Members{List: f.members()})
	f.tick(n, n.incarnation)
}

func (n *node) limitsOf() func(string) (float64, int) {
	limits := n.limits
	return func(name string) (float64, int) { return limits[name].rate, limits[name].burst }
}

func (f *fleet) stop(n *node) { n.down = true; n.incarnation++ }

// when runs a step of a process once it is not paused, if it still lives.
func (f *fleet) when(n *node, incarnation uint64, step func()) {
	if n.down || n.incarnation != incarnation {
		return
	}
	if n.pausedUntil > f.now {
		f.at(n.pausedUntil-f.now, func() { f.when(n, incarnation, step) })
		return
	}
	step()
}

func (f *fleet) tick(n *node, incarnation uint64) {
	f.when(n, incarnation, func() {
		f.feed(n, limiter.Tick{})
		f.at(limiter.TickInterval, func() { f.tick(n, incarnation) })
	})
}

func (f *fleet) feed(n *node, e decision.Event) {
	f.carryOut(n, n.core.Update(n.clock(f.now), e))
}

const (
	// maxWait is the wait for a token that the adapter allows.
	maxWait = 150 * time.Millisecond
	// maxWaiters bounds the draws of one organisation that wait at a node.
	maxWaiters = 32
)

// offer lets a request of an organisation arrive at a node.
func (f *fleet) offer(n *node, name string) {
	f.offered[name]++
	if n.down {
		f.refuse(name)
		return
	}
	inc := n.incarnation
	f.when(n, inc, func() { f.draw(n, name, request{at: f.now}, false) })
}

func (f *fleet) refuse(name string) {
	f.refused[name]++
	if f.onRefuse != nil {
		f.onRefuse(name)
	}
}

func (f *fleet) draw(n *node, name string, r request, again bool) {
	token, verdict, retryAfter := n.core.Draw(n.clock(f.now), name, again)
	switch verdict {
	case limiter.Drawn:
		f.admitted[name]++
		f.dispatch(n, name, token)
	case limiter.Waiting:
		if len(n.waiting[name]) >= maxWaiters {
			f.refuse(name)
			return
		}
		n.waiting[name] = append(n.waiting[name], r)
		f.feed(n, limiter.Flush{})
	default:
		if verdict == limiter.NoLease {
			f.noLease++
		}
		if f.now-r.at+retryAfter > maxWait {
			f.refuse(name)
			return
		}
		inc := n.incarnation
		f.at(retryAfter, func() { f.when(n, inc, func() { f.draw(n, name, r, true) }) })
	}
}

// dispatch runs the request at a backend server at some time before the token lapses by
// the drawing daemon's clock, whatever has become of that daemon; or gives the token back.
func (f *fleet) dispatch(n *node, name string, token borrower.Token) {
	left := token.Lapses.Sub(n.clock(f.now))
	wait := time.Duration(float64(left) * f.rand.Float64() * f.dispatchSpan())
	inc := n.incarnation
	kind := f.rand.IntN(10)
	f.at(wait, func() {
		if kind == 0 && f.faulty() {
			f.when(n, inc, func() { n.core.Settle(n.clock(f.now), token, false) })
			return
		}
		if !n.clock(f.now).Before(token.Lapses) {
			return
		}
		f.runs[name] = append(f.runs[name], f.now)
		if kind < 6 || !f.faulty() {
			f.at(f.delay(), func() { f.when(n, inc, func() { n.core.Settle(n.clock(f.now), token, true) }) })
		}
	})
}

func (f *fleet) faulty() bool { return f.double > 0 }

func (f *fleet) dispatchSpan() float64 {
	if f.faulty() {
		return 1
	}
	return 0.02
}
