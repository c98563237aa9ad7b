package limiter_test

import (
	"time"

	"berylpass/decision"
	"berylpass/fleet/member"
	"berylpass/limit/allotment"
	"berylpass/limit/lease"
	"berylpass/limit/limiter"
	"berylpass/limit/message"
)

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
