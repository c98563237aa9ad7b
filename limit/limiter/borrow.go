package limiter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"berylpass/decision"
	"berylpass/fleet/member"
	"berylpass/limit/allotment"
	"berylpass/limit/message"
)

// flush sends what is queued, and meets at once what the daemon can lend to itself.
func (l *Limiter) flush(now time.Time) []decision.Action {
	var actions []decision.Action
	for _, organisation := range sortedKeys(l.pending) {
		p := l.pending[organisation]
		if p.queued || now.Before(p.retryAt) {
			continue
		}
		if !l.enqueue(now, allotment.Shard(organisation), organisation, p) {
			actions = append(actions, Settled{Organisation: organisation})
		}
	}
	for _, to := range sortedKeys(l.queues) {
		q := l.queues[to]
		if q.inFlight || len(q.items) == 0 {
			continue
		}
		borrow := message.Borrow{From: l.self, Items: distinct(q.items)}
		q.items = nil
		for i := range borrow.Items {
			l.complete(now, &borrow.Items[i])
		}
		if to == l.self {
			reply, more := l.lend(now, borrow)
			actions = append(actions, more...)
			actions = append(actions, l.met(now, now, to, borrow, reply)...)
			continue
		}
		q.inFlight, q.sentAt = true, now
		actions = append(actions, SendBorrow{At: now, To: to, Borrow: borrow})
	}
	return actions
}

// distinct returns the items without those that ask for the same again, in order.
func distinct(items []message.BorrowItem) []message.BorrowItem {
	var kept []message.BorrowItem
	for _, item := range items {
		if !slices.Contains(kept, item) {
			kept = append(kept, item)
		}
	}
	return kept
}

// complete fills in how many requests wait and how many come, as of the time of sending.
func (l *Limiter) complete(now time.Time, item *message.BorrowItem) {
	waiting := 0
	if p, ok := l.pending[item.Organisation]; ok {
		waiting = p.waiting
	}
	extend := item.Extend
	if extend != 0 {
		waiting = 0
	}
	*item = l.borrower.Item(now, item.Organisation, waiting)
	item.Extend = extend
}

// borrowed takes in the answer to a SendBorrow, or that there was none.
func (l *Limiter) borrowed(now time.Time, e Borrowed) []decision.Action {
	if q := l.queue(e.From); !q.inFlight || !q.sentAt.Equal(e.At) {
		l.keep(now, e)
		return nil
	}
	l.queue(e.From).inFlight = false
	if !e.Failed {
		actions := l.met(now, e.At, e.From, e.Sent, e.Reply)
		return append(actions, l.flush(now)...)
	}
	l.down[e.From] = now.Add(downTime)
	var actions []decision.Action
	for _, item := range e.Sent.Items {
		actions = append(actions, l.elsewhere(now, e.From, item.Organisation, "")...)
	}
	return append(actions, l.flush(now)...)
}

// keep takes in the grants of an answer that comes a second time or after the call was given up.
func (l *Limiter) keep(now time.Time, e Borrowed) {
	for _, g := range e.Reply.Items {
		switch g.Verdict {
		case message.Lent:
			l.borrower.Lent(e.At, now, e.From, g.Organisation, g.Grant)
		case message.Extended:
			l.borrower.Extended(e.At, now, e.From, g.Organisation, g.Grant)
		}
	}
}

// met takes in what a holder answered.
func (l *Limiter) met(now, asked time.Time, from member.ID, sent message.Borrow, reply message.Borrowed) []decision.Action {
	var actions []decision.Action
	for i, g := range reply.Items {
		if i >= len(sent.Items) || sent.Items[i].Organisation != g.Organisation {
			break
		}
		p := l.pending[g.Organisation]
		switch g.Verdict {
		case message.Lent:
			l.borrower.Lent(asked, now, from, g.Organisation, g.Grant)
			l.routes[allotment.Shard(g.Organisation)].preferred = from
		case message.Extended:
			l.borrower.Extended(asked, now, from, g.Organisation, g.Grant)
			continue
		case message.Stale:
			if back, ok := l.borrower.GiveBack(now, from, g.Organisation, g.Grant.ID); ok {
				actions = append(actions, l.giveBack(now, map[member.ID][]message.Returned{from: {back}})...)
			}
			continue
		case message.Empty:
			l.borrower.Refuse(now, g.Organisation, now.Add(g.RetryAfter))
		case message.Recalling:
			if p == nil {
				continue
			}
			p.recalls++
			if p.recalls < maxRecalls {
				p.queued, p.tried, p.attempts = false, nil, 0
				p.retryAt = now.Add(g.RetryAfter)
				actions = append(actions, Wake{At: p.retryAt})
				continue
			}
			l.borrower.Refuse(now, g.Organisation, now.Add(recallPause))
		case message.Elsewhere:
			actions = append(actions, l.elsewhere(now, from, g.Organisation, g.Primary)...)
			continue
		}
		if p != nil {
			delete(l.pending, g.Organisation)
			actions = append(actions, Settled{Organisation: g.Organisation})
		}
	}
	return actions
}

// elsewhere sends a wish on to another holder, or gives it up.
func (l *Limiter) elsewhere(now time.Time, from member.ID, organisation string, primary member.ID) []decision.Action {
	shard := allotment.Shard(organisation)
	r := &l.routes[shard]
	if r.preferred == from {
		r.preferred = ""
	}
	if primary != "" && primary != from {
		r.preferred = primary
	}
	p, ok := l.pending[organisation]
	if !ok {
		return nil
	}
	p.queued = false
	p.tried = append(p.tried, from)
	if l.enqueue(now, shard, organisation, p) {
		return nil
	}
	return []decision.Action{Settled{Organisation: organisation}, ReadRecord{Shard: shard}}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
