package limiter

import (
	"slices"
	"time"

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
	if s := l.holdings[shard]; s != nil {
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
