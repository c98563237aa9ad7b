package limiter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"berylpass/decision"
	"berylpass/fleet/member"
	"berylpass/limit/allotment"
	"berylpass/limit/borrower"
	"berylpass/limit/message"
)

// Verdict is the outcome of a Draw.
type Verdict uint8

// The verdicts of a Draw.
const (
	// Drawn means that the token is good.
	Drawn Verdict = iota
	// Waiting means that a holder is being asked: draw again when the organisation is Settled.
	Waiting
	// OverLimit means that the organisation has no token left.
	OverLimit
	// NoLease means that no holder that may grant can be reached.
	NoLease
)

const (
	// downTime is how long a holder that did not answer is passed over.
	downTime = 500 * time.Millisecond
	// maxAttempts bounds the holders that are tried for one wish.
	maxAttempts = 6
	// maxRecalls bounds how often a wish is put again while a grant is called back.
	maxRecalls = 20
	// recallPause is how long an organisation is not asked for when a grant does not come back.
	recallPause = 50 * time.Millisecond
	// noLeaseTime is how long a shard without reachable holder is not asked for.
	noLeaseTime = 100 * time.Millisecond
)

// route says who can be asked for tokens of a shard.
type route struct {
	preferred member.ID
	holders   []member.ID
	placed    []member.ID
	// lostUntil is set while no holder can be reached.
	lostUntil time.Time
	// claimAt is when to look next for a record in which the daemon should be named.
	claimAt time.Time
}

// pending is a wish for tokens that has not been met.
type pending struct {
	waiting  int
	attempts int
	recalls  int
	tried    []member.ID
	queued   bool
	retryAt  time.Time
}

// queue holds what is to be asked of one holder; one message at a time is under way.
type queue struct {
	inFlight bool
	// sentAt is the time of the message under way.
	sentAt time.Time
	items  []message.BorrowItem
}

// Draw takes a token for one dispatch. again tells that the same request has drawn
// before and was Waiting or refused. The duration is the advised time until the next
// try for OverLimit and NoLease.
func (l *Limiter) Draw(now time.Time, organisation string, again bool) (borrower.Token, Verdict, time.Duration) {
	if !again {
		l.borrower.Note(now, organisation)
	}
	if token, ok := l.borrower.Draw(now, organisation); ok {
		l.extend(now, organisation)
		return token, Drawn, 0
	}
	if until := l.borrower.RefusedUntil(organisation); now.Before(until) {
		return borrower.Token{}, OverLimit, until.Sub(now)
	}
	if next, ok := l.borrower.Next(now, organisation); ok {
		l.extend(now, organisation)
		return borrower.Token{}, OverLimit, next
	}
	shard := allotment.Shard(organisation)
	if until := l.routes[shard].lostUntil; now.Before(until) {
		return borrower.Token{}, NoLease, until.Sub(now)
	}
	p, ok := l.pending[organisation]
	if !ok {
		p = &pending{}
		l.pending[organisation] = p
		if !l.enqueue(now, shard, organisation, p) {
			return borrower.Token{}, NoLease, noLeaseTime
		}
	}
	p.waiting++
	return borrower.Token{}, Waiting, 0
}

// Settle tells that the run of a drawn token has begun, or that it certainly never will.
func (l *Limiter) Settle(now time.Time, t borrower.Token, ran bool) { l.borrower.Settle(now, t, ran) }

func (l *Limiter) extend(now time.Time, organisation string) {
	if to, item, ok := l.borrower.Extension(now, organisation); ok {
		l.queue(to).items = append(l.queue(to).items, item)
	}
}

func (l *Limiter) queue(to member.ID) *queue {
	q, ok := l.queues[to]
	if !ok {
		q = &queue{}
		l.queues[to] = q
	}
	return q
}

// enqueue puts a wish into the queue of the best holder that has not been tried, or gives
// it up if there is none.
func (l *Limiter) enqueue(now time.Time, shard int, organisation string, p *pending) bool {
	to, ok := l.candidate(now, shard, p)
	if !ok || p.attempts >= maxAttempts {
		l.routes[shard].lostUntil = now.Add(noLeaseTime)
		l.routes[shard].preferred = ""
		delete(l.pending, organisation)
		return false
	}
	p.attempts++
	p.queued = true
	q := l.queue(to)
	q.items = append(q.items, message.BorrowItem{Organisation: organisation})
	return true
}

// candidate returns the holder to ask: the one that was named last, the record's, the placed ones.
func (l *Limiter) candidate(now time.Time, shard int, p *pending) (member.ID, bool) {
	r := &l.routes[shard]
	if s := l.seats[shard]; s != nil {
		if id, ok := s.lease.Primary(now); ok && l.usable(now, id, p) {
			return id, true
		}
	}
	if r.preferred != "" && l.usable(now, r.preferred, p) {
		return r.preferred, true
	}
	for _, list := range [2][]member.ID{r.holders, r.placed} {
		for _, id := range list {
			if l.usable(now, id, p) {
				return id, true
			}
		}
	}
	return "", false
}

func (l *Limiter) usable(now time.Time, id member.ID, p *pending) bool {
	return !now.Before(l.down[id]) && !l.dead[id] && !slices.Contains(p.tried, id)
}

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
