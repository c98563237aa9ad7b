package limiter

import (
	"slices"
	"time"

	"berylpass/decision"
	"berylpass/fleet/member"
	"berylpass/limit/allotment"
	"berylpass/limit/lease"
	"berylpass/limit/message"
)

// answerAsk answers a co-holder; a shard in which the daemon is not known as a holder is read.
func (l *Limiter) answerAsk(now time.Time, ask message.Ask) []decision.Action {
	var reply message.Asked
	var reads []decision.Action
	for _, item := range ask.Items {
		s := l.holding(item.Shard)
		if s == nil {
			reply.Items = append(reply.Items, lease.Reply{Shard: item.Shard})
			if item.Shard >= 0 && item.Shard < allotment.Shards {
				reads = append(reads, ReadRecord{Shard: item.Shard})
			}
			continue
		}
		if !s.lease.Agrees(ask.From, item) {
			s.readAt = now
		}
		l.share(now, s)
		answer := s.lease.Answer(now, ask.From, item, l.holder.Idle(now, item.Shard))
		l.share(now, s)
		reply.Items = append(reply.Items, answer)
	}
	return append([]decision.Action{Reply{Body: reply}}, reads...)
}

// asked takes in promises and loans.
func (l *Limiter) asked(now time.Time, e Asked) {
	for _, reply := range e.Reply.Items {
		s := l.holding(reply.Shard)
		if s == nil {
			continue
		}
		l.share(now, s)
		s.lease.Promised(e.At, e.From, reply)
		l.share(now, s)
		if reply.Primary != "" {
			l.routes[reply.Shard].preferred = reply.Primary
		}
	}
}

// answerBorrow lends; recalls of other daemons' grants follow the reply.
func (l *Limiter) answerBorrow(now time.Time, borrow message.Borrow) []decision.Action {
	reply, actions := l.lend(now, borrow)
	return append([]decision.Action{Reply{Body: reply}}, actions...)
}

func (l *Limiter) lend(now time.Time, borrow message.Borrow) (message.Borrowed, []decision.Action) {
	var reply message.Borrowed
	var actions []decision.Action
	for _, item := range borrow.Items {
		shard := allotment.Shard(item.Organisation)
		s := l.holdings[shard]
		if s == nil {
			reply.Items = append(reply.Items, message.Granted{Organisation: item.Organisation, Verdict: message.Elsewhere})
			continue
		}
		l.share(now, s)
		granted, recalls := l.holder.Lend(now, borrow.From, shard, item)
		if granted.Verdict == message.Elsewhere {
			granted.Primary, _ = s.lease.Primary(now)
			if granted.Primary == l.self {
				granted.Primary = ""
			}
		}
		reply.Items = append(reply.Items, granted)
		for _, r := range recalls {
			if r.To == l.self {
				l.recallOwn(now, r.Item)
				continue
			}
			recall := message.Recall{From: l.self, Items: []message.RecallItem{r.Item}}
			actions = append(actions, SendRecall{To: r.To, Recall: recall})
		}
	}
	return reply, actions
}

func (l *Limiter) recallOwn(now time.Time, item message.RecallItem) {
	if back, ok := l.borrower.GiveBack(now, l.self, item.Organisation, item.ID); ok {
		l.takeBack(now, message.Return{From: l.self, Items: []message.Returned{back}})
	}
}

// answerRecall gives back what is called back.
func (l *Limiter) answerRecall(now time.Time, recall message.Recall) []decision.Action {
	reply := message.Return{From: l.self}
	for _, item := range recall.Items {
		if back, ok := l.borrower.GiveBack(now, recall.From, item.Organisation, item.ID); ok {
			reply.Items = append(reply.Items, back)
		}
	}
	return []decision.Action{Reply{Body: reply}}
}

func (l *Limiter) takeBack(now time.Time, back message.Return) {
	for _, item := range back.Items {
		shard := allotment.Shard(item.Organisation)
		if s := l.holdings[shard]; s != nil {
			l.share(now, s)
		}
		l.holder.TakeBack(now, back.From, shard, item)
	}
}

// share brings the holder up to date with what the lease allows at now.
func (l *Limiter) share(now time.Time, s *holding) {
	l.holder.SetShares(now, s.lease.Shard(), s.lease.Usable(now))
}

func (l *Limiter) holding(shard int) *holding {
	if shard < 0 || shard >= allotment.Shards {
		return nil
	}
	return l.holdings[shard]
}

// placeAll works out who should hold each shard.
func (l *Limiter) placeAll() {
	for shard := range l.routes {
		l.routes[shard].placed = allotment.Place(shard, l.members)
	}
}

// placedHere reports whether the daemon should hold a share of the shard.
func (l *Limiter) placedHere(shard int) bool {
	return !l.leaving && slices.Contains(l.routes[shard].placed, l.self)
}

// successor returns who should get shares that the daemon gives away: a placed daemon that
// holds none, or else, for a daemon that leaves, a co-holder.
func (l *Limiter) successor(shard int, record allotment.Record) (member.ID, bool) {
	for _, id := range l.routes[shard].placed {
		if id != l.self && !record.Holds(id) {
			return id, true
		}
	}
	if others := record.Others(l.self); l.leaving && len(others) > 0 {
		return others[0], true
	}
	return "", false
}
