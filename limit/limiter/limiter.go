// Package limiter is the decision core of the fleet-wide limits in one daemon.
//
// It composes the borrower, which spends tokens, the holder, which lends them, and a
// lease for each shard in whose record the daemon is named. See package lease for who
// may use a share, holder for what is lent, and borrower for what a draw costs.
//
// # Usage
//
//	l := limiter.New(now, "vm-1", incarnation, limits)
//	token, verdict, retryAfter := l.Draw(now, "hope-bay-library", false)
//	if verdict == limiter.Waiting {
//		actions := l.Update(now, limiter.Flush{})
//		// Carry them out, feed the answers, draw again on Settled.
//	}
package limiter

import (
	"time"

	"berylpass/decision"
	"berylpass/fleet/member"
	"berylpass/limit/allotment"
	"berylpass/limit/borrower"
	"berylpass/limit/holder"
	"berylpass/limit/message"
)

const (
	// TickInterval is the time between ticks.
	TickInterval = 100 * time.Millisecond
	// sweepInterval is the time between two searches for what can be forgotten.
	sweepInterval = 10 * time.Second
	// endMargin is the time before its end at which an unused grant is given back.
	endMargin = 3 * TickInterval
)

// Limiter is the decision core. It is not safe for concurrent use.
type Limiter struct {
	self member.ID
	// used are the shards with organisations; nil means all.
	used     map[int]bool
	limits   holder.Limits
	holder   *holder.Holder
	borrower *borrower.Borrower

	started   time.Time
	members   []member.Member
	changedAt time.Time
	dead      map[member.ID]bool
	leaving   bool
	listing   bool
	listed    bool
	listAt    time.Time
	sweepAt   time.Time

	holdings [allotment.Shards]*holding
	// routes says for each shard who can be asked for tokens.
	routes [allotment.Shards]route

	pending map[string]*pending
	queues  map[member.ID]*queue
	down    map[member.ID]time.Time
}

// New returns the core of a daemon whose process starts now. The incarnation rises
// with each start; limits knows the configuration.
func New(now time.Time, self member.ID, incarnation uint64, limits holder.Limits) *Limiter {
	return &Limiter{
		self:     self,
		limits:   limits,
		holder:   holder.New(self, incarnation, limits),
		borrower: borrower.New(),
		started:  now,
		pending:  map[string]*pending{},
		queues:   map[member.ID]*queue{},
		down:     map[member.ID]time.Time{},
	}
}

// Update applies one of the package's events.
func (l *Limiter) Update(now time.Time, event decision.Event) []decision.Action {
	switch e := event.(type) {
	case Tick:
		return l.tick(now)
	case Flush:
		return l.flush(now)
	case Members:
		l.members, l.changedAt = e.List, now
		l.placeAll()
		l.dead = map[member.ID]bool{}
		for _, m := range e.List {
			l.dead[m.ID] = m.State == member.Dead
		}
	case Configured:
		l.limits = e.Limits
		l.used = usedShards(e.Organisations)
		l.holder.SetLimits(e.Limits)
	case Leave:
		return l.leave(now)
	case AskArrived:
		return l.answerAsk(now, e.Ask)
	case BorrowArrived:
		return l.answerBorrow(now, e.Borrow)
	case RecallArrived:
		return l.answerRecall(now, e.Recall)
	case ReturnArrived:
		l.takeBack(now, e.Return)
		return []decision.Action{Reply{Body: message.Done{}}}
	case Asked:
		l.asked(now, e)
	case Borrowed:
		return l.borrowed(now, e)
	case Recalled:
		l.takeBack(now, e.Return)
	case Read:
		return l.read(now, e)
	case Listed:
		return l.list(now, e)
	case Wrote:
		return l.wrote(now, e)
	}
	return nil
}

// usedShards tells which shards have organisations; nil for all.
func usedShards(organisations []string) map[int]bool {
	if organisations == nil {
		return nil
	}
	used := map[int]bool{}
	for _, name := range organisations {
		used[allotment.Shard(name)] = true
	}
	return used
}

func (l *Limiter) tick(now time.Time) []decision.Action {
	var actions []decision.Action
	if !l.listed && !l.listing && !now.Before(l.listAt) && len(l.members) > 0 {
		l.listing = true
		actions = append(actions, ListRecords{})
	}
	actions = append(actions, l.tendHoldings(now)...)
	actions = append(actions, l.giveBack(now, l.borrower.Ending(now, endMargin))...)
	actions = append(actions, l.flush(now)...)
	if !now.Before(l.sweepAt) {
		l.sweepAt = now.Add(sweepInterval)
		l.borrower.Sweep(now)
	}
	return actions
}

func (l *Limiter) leave(now time.Time) []decision.Action {
	l.leaving = true
	return l.giveBack(now, l.borrower.GiveBackAll(now))
}

// giveBack returns what is left of grants to their holders.
func (l *Limiter) giveBack(now time.Time, back map[member.ID][]message.Returned) []decision.Action {
	var actions []decision.Action
	for _, to := range sortedKeys(back) {
		items := message.Return{From: l.self, Items: back[to]}
		if to == l.self {
			l.takeBack(now, items)
			continue
		}
		actions = append(actions, SendReturn{To: to, Return: items})
	}
	return actions
}

// Left reports whether a leaving daemon has handed all its shares over.
func (l *Limiter) Left() bool {
	for _, s := range l.holdings {
		if s != nil && s.lease.Holds() {
			return false
		}
	}
	return l.leaving
}

// Whole returns the number of shards of which the daemon may grant from all shares.
func (l *Limiter) Whole(now time.Time) int {
	n := 0
	for _, s := range l.holdings {
		if s != nil && len(s.lease.Usable(now)) == allotment.Shares {
			n++
		}
	}
	return n
}

// Shares returns the number of shares that the daemon may grant from, over all shards.
func (l *Limiter) Shares(now time.Time) int {
	n := 0
	for _, s := range l.holdings {
		if s != nil {
			n += len(s.lease.Usable(now))
		}
	}
	return n
}
