package lease

import (
	"time"

	"berylpass/fleet/member"
	"berylpass/limit/term"
)

// restTime is how long shares rest until what was granted from them has ended and they can be lent.
const restTime = term.Grant + 2*term.Loan

// Ask is a holder's request to a co-holder.
type Ask struct {
	Shard int
	// Owns has the bits of the shares that the asker owns by its record. A promise is given only
	// where the co-holder's record says the same: a holder that lost its shares and was made
	// holder of others must not take a promise for the lost ones.
	Owns uint8
	// Usable is the number of shares that the asker may use at present.
	Usable int
	// Loan asks for the co-holder's shares besides its promise.
	Loan bool
}

// Reply answers an Ask.
type Reply struct {
	Shard int
	// Promise is set if the co-holder will not vote against the asker for term.Lease.
	Promise bool
	// Shares are lent to the asker for Term.
	Shares []int
	Term   time.Duration
	// Primary is the daemon that the co-holder has lent its shares to, if it is another one.
	Primary member.ID
}

// Ask returns what to ask of the co-holders at the time now.
func (l *Lease) Ask(now time.Time) Ask {
	return Ask{Shard: l.shard, Owns: l.record.Mask(l.self), Usable: len(l.Usable(now)), Loan: l.WantsLoan(now)}
}

// Answer answers a co-holder's ask. idle reports that nothing that this daemon granted
// from the shard's shares is outstanding.
func (l *Lease) Answer(now time.Time, from member.ID, ask Ask, idle bool) Reply {
	reply := Reply{Shard: l.shard}
	if !l.Holds() || !l.record.Holds(from) || from == l.self {
		return reply
	}
	p := l.peer(now, from)
	if l.fenced && !p.voted && !l.exiting() && l.record.Mask(from) == ask.Owns {
		reply.Promise = true
		p.given = now.Add(term.Wait(term.Lease + term.Grant))
	}
	if ask.Loan {
		l.lend(now, from, ask, idle, &reply)
	}
	if l.lentTo != from && now.Before(l.lentUntil) {
		reply.Primary = l.lentTo
	}
	return reply
}

func (l *Lease) lend(now time.Time, from member.ID, ask Ask, idle bool, reply *Reply) {
	lent := now.Before(l.lentUntil)
	if lent && l.lentTo != from {
		return
	}
	if !lent && !l.yields(now, from, ask) {
		return
	}
	if !lent && !idle {
		if !now.Before(l.stoppedUntil) {
			l.stoppedUntil = now.Add(restTime)
		}
		return
	}
	left := min(term.Loan, l.Until(now).Sub(now))
	if left <= 0 {
		return
	}
	l.stoppedUntil = time.Time{}
	l.lentTo = from
	if until := now.Add(term.Wait(left + term.Grant)); until.After(l.lentUntil) {
		l.lentUntil = until
	}
	reply.Shares, reply.Term = l.kept(now), left
	for _, p := range l.peers {
		p.loan = Loan{}
	}
}

// yields reports whether the asker has more of the shard's shares, or as many and comes first.
func (l *Lease) yields(now time.Time, from member.ID, ask Ask) bool {
	mine := len(l.Usable(now))
	if ask.Usable != mine {
		return ask.Usable > mine
	}
	for _, id := range l.record.Holders() {
		if id == from || id == l.self {
			return id == from
		}
	}
	return false
}

// Promised takes in the reply to an ask that was sent at the time asked.
func (l *Lease) Promised(asked time.Time, from member.ID, reply Reply) {
	p, ok := l.peers[from]
	if !ok || !l.Holds() {
		return
	}
	if until := asked.Add(term.Lease); reply.Promise && until.After(p.promised) {
		p.promised = until
	}
	if len(reply.Shares) == 0 {
		return
	}
	if until := asked.Add(reply.Term); until.After(p.loan.Until) {
		p.loan = Loan{Shares: reply.Shares, Until: until}
	}
}
