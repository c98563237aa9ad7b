package limiter_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"berylpass/decision"
	"berylpass/fleet/member"
	"berylpass/limit/allotment"
	"berylpass/limit/borrower"
	"berylpass/limit/lease"
	"berylpass/limit/limiter"
	"berylpass/limit/message"
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

func (f *fleet) carryOut(n *node, actions []decision.Action) {
	for _, action := range actions {
		f.carry(n, action)
	}
}

func (f *fleet) carry(n *node, action decision.Action) {
	inc := n.incarnation
	switch a := action.(type) {
	case limiter.SendAsk:
		f.call(n, a.To, limiter.AskArrived{Ask: a.Ask}, a.Ask, func(body any) {
			f.feed(n, limiter.Asked{At: a.At, From: a.To, Reply: body.(message.Asked)})
		}, nil)
	case limiter.SendBorrow:
		f.call(n, a.To, limiter.BorrowArrived{Borrow: a.Borrow}, a.Borrow, func(body any) {
			f.feed(n, limiter.Borrowed{At: a.At, From: a.To, Sent: a.Borrow, Reply: body.(message.Borrowed)})
		}, func() {
			f.feed(n, limiter.Borrowed{At: a.At, From: a.To, Sent: a.Borrow, Failed: true})
		})
	case limiter.SendRecall:
		f.call(n, a.To, limiter.RecallArrived{Recall: a.Recall}, a.Recall, func(body any) {
			f.feed(n, limiter.Recalled{Return: body.(message.Return)})
		}, nil)
	case limiter.SendReturn:
		f.call(n, a.To, limiter.ReturnArrived{Return: a.Return}, a.Return, func(any) {}, nil)
	case limiter.ReadRecord:
		f.storeCall(n, func() decision.Event { return f.read(a.Shard) }, limiter.Read{Shard: a.Shard, Failed: true})
	case limiter.ListRecords:
		f.storeCall(n, func() decision.Event {
			var e limiter.Listed
			for shard := range allotment.Shards {
				if _, ok := f.records[shard]; ok {
					e.Records = append(e.Records, f.read(shard))
				}
			}
			return e
		}, limiter.Listed{Failed: true})
	case limiter.WriteRecord:
		f.write(n, a)
	case limiter.Wake:
		f.at(a.At.Sub(n.clock(f.now)), func() { f.when(n, inc, func() { f.feed(n, limiter.Flush{}) }) })
	case limiter.Settled:
		waiting := n.waiting[a.Organisation]
		delete(n.waiting, a.Organisation)
		for _, r := range waiting {
			f.draw(n, a.Organisation, r, true)
		}
	}
}

// call carries a message and its answer, either of which may be lost, doubled or late.
func (f *fleet) call(from *node, to member.ID, arrived decision.Event, body any, answered func(any), failed func()) {
	f.count(body)
	inc := from.incarnation
	done := false
	if failed != nil {
		f.at(300*time.Millisecond, func() {
			f.when(from, inc, func() {
				if !done {
					done = true
					failed()
				}
			})
		})
	}
	var peer *node
	for _, n := range f.nodes {
		if n.id == to {
			peer = n
		}
	}
	f.deliver(from, peer, func() {
		actions := peer.core.Update(peer.clock(f.now), arrived)
		reply := actions[0].(limiter.Reply).Body
		f.count(reply)
		f.carryOut(peer, actions[1:])
		f.deliver(peer, from, func() {
			if from.incarnation != inc {
				return
			}
			done = true
			answered(reply)
		})
	})
}

func (f *fleet) count(body any) {
	f.messages++
	if f.sizeOf != nil {
		f.bytes += f.sizeOf(body)
	}
}

func (f *fleet) deliver(from, to *node, handle func()) {
	copies := 1
	if f.rand.Float64() < f.double {
		copies = 2
	}
	for range copies {
		if f.cut[[2]int{from.index, to.index}] || f.rand.Float64() < f.loss {
			continue
		}
		f.at(f.delay(), func() {
			f.when(to, to.incarnation, handle)
		})
	}
}

// storeCall carries a read to the store and its answer back.
func (f *fleet) storeCall(n *node, read func() decision.Event, failed decision.Event) {
	inc := n.incarnation
	if f.storeCut[n.index] {
		f.at(2*time.Second, func() { f.when(n, inc, func() { f.feed(n, failed) }) })
		return
	}
	f.at(f.delay(), func() {
		e := read()
		f.at(f.delay(), func() { f.when(n, inc, func() { f.feed(n, e) }) })
	})
}

func (f *fleet) read(shard int) limiter.Read {
	f.reads++
	s, ok := f.records[shard]
	if !f.shards[shard] {
		return limiter.Read{Shard: shard, Failed: true}
	}
	return limiter.Read{Shard: shard, Record: s.record, Version: s.version, Missing: !ok}
}

// write applies a conditional write, whose answer may be lost.
func (f *fleet) write(n *node, a limiter.WriteRecord) {
	inc := n.incarnation
	answer := func(o lease.Outcome, version uint64) func() {
		return func() {
			f.when(n, inc, func() {
				f.feed(n, limiter.Wrote{Shard: a.Shard, Record: a.Record, Created: a.IfVersion == 0, Outcome: o, Version: version})
			})
		}
	}
	if f.storeCut[n.index] {
		f.at(2*time.Second, answer(lease.Failed, 0))
		return
	}
	f.at(f.delay(), func() {
		outcome, version := lease.Failed, uint64(0)
		if f.records[a.Shard].version == a.IfVersion {
			f.version++
			f.writes++
			f.records[a.Shard] = stored{record: a.Record, version: f.version}
			outcome, version = lease.Done, f.version
		}
		if f.rand.Float64() < f.lostAnswer {
			f.at(2*time.Second, answer(lease.Unknown, 0))
			return
		}
		f.at(f.delay(), answer(outcome, version))
	})
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

// scaled is a change of the largest configured scale of the limits in force at any node.
type scaled struct {
	at    time.Duration
	scale float64
}

// changeTail is how long what was lent under an earlier configuration may be used.
const changeTail = 4100 * time.Millisecond

// configure puts all limits times scale in force at one node.
func (f *fleet) configure(n *node, scale float64) {
	n.scale = scale
	n.limits = map[string]limit{}
	for name, l := range f.limits {
		n.limits[name] = l.times(scale)
	}
	f.noteScale()
	if !n.down {
		f.feed(n, limiter.Configured{Limits: n.limitsOf()})
	}
}

// noteScale records the largest scale in force at any node.
func (f *fleet) noteScale() {
	largest := 0.0
	for _, n := range f.nodes {
		largest = max(largest, n.scale)
	}
	f.scales = append(f.scales, scaled{at: f.now, scale: largest})
}

func (l limit) times(scale float64) limit {
	return limit{rate: l.rate * scale, burst: int(math.Ceil(float64(l.burst) * scale))}
}

// scaleAt returns the largest scale in force at t or up to the tail before it, and until
// when that surely holds.
func (f *fleet) scaleAt(t time.Duration) (float64, time.Duration) {
	scale, until := 0.0, time.Duration(math.MaxInt64)
	for i, s := range f.scales {
		end := time.Duration(math.MaxInt64)
		if i+1 < len(f.scales) {
			end = f.scales[i+1].at + changeTail
		}
		if s.at <= t && t < end {
			scale = max(scale, s.scale)
			until = min(until, end)
		}
		if s.at > t {
			until = min(until, s.at)
		}
	}
	return scale, until
}

// excess returns by how many runs the worst window exceeds burst + rate*t, with the largest
// limit in force at each time.
func (f *fleet) excess(name string) float64 {
	level, worst, last := math.Inf(1), 0.0, time.Duration(0)
	for _, at := range f.runs[name] {
		for last <= at {
			scale, until := f.scaleAt(last)
			l, end := f.limits[name].times(scale), min(until, at)
			level = min(float64(l.burst), level+l.rate*(end-last).Seconds())
			last = end
			if until > at {
				break
			}
		}
		level--
		worst = max(worst, -level)
	}
	return worst
}
