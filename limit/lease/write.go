package lease

import (
	"time"

	"berylpass/fleet/member"
	"berylpass/limit/allotment"
	"berylpass/limit/term"
)

// write is a change of the record that is on its way to the store.
type write struct {
	active  bool
	asked   time.Time
	renewal bool
	// donates is set if the write gives a share away.
	donates bool
}

// Outcome is what became of a write to the store.
type Outcome uint8

// The outcomes of a write.
const (
	// Done means that the write has taken effect.
	Done Outcome = iota
	// Failed means that it has not and never will.
	Failed
	// Unknown means that it may have or may still take effect.
	Unknown
)

// Next returns the record that the daemon should write over the version that it
// knows, if any. Report the outcome with Written before the next call.
func (l *Lease) Next(now time.Time) (allotment.Record, bool) {
	if l.pending.active || !l.Holds() {
		return allotment.Record{}, false
	}
	if l.needsRenewal(now) {
		l.pending = write{active: true, asked: now, renewal: true}
		l.renewAt = now.Add(renewalInterval)
		return l.record.WithRenewal(l.self), true
	}
	if l.writtenOver != 0 {
		return allotment.Record{}, false
	}
	for _, id := range l.record.Others(l.self) {
		if l.record.Lost(id) {
			l.pending = write{active: true, asked: now}
			return l.record.WithMove(id, l.self), true
		}
		if p := l.peers[id]; !p.voted && l.late(now, p) {
			p.voted = true
			l.pending = write{active: true, asked: now}
			return l.record.WithVote(id, l.self), true
		}
	}
	if l.donation.to != "" && l.donation.over == 0 && !now.Before(l.donation.ready) {
		if len(l.record.Others(l.self)) == 0 {
			l.ownUntil = now.Add(term.Lease)
		}
		l.donation.over = l.version
		l.pending = write{active: true, asked: now, donates: true}
		record := l.record
		for _, share := range l.donation.shares {
			record = record.WithOwner(share, l.donation.to)
		}
		return record, true
	}
	return allotment.Record{}, false
}

// late reports whether neither our promise nor a renewal in the store keeps a co-holder in its lease.
func (l *Lease) late(now time.Time, p *peer) bool {
	return now.After(p.given) && now.After(p.renewedAt.Add(term.Wait(term.Lease+term.Grant)))
}

// needsRenewal reports whether the store has to keep the daemon in its lease: no promise does,
// a vote stands against it, or a write with an unknown outcome must be overtaken.
func (l *Lease) needsRenewal(now time.Time) bool {
	if now.Before(l.renewAt) {
		return false
	}
	others := l.record.Others(l.self)
	if len(others) == 0 {
		return !l.fenced || l.writtenOver != 0
	}
	if !l.fenced || l.writtenOver != 0 || len(l.record.Votes[l.self]) > 0 {
		return true
	}
	return l.Until(now).Before(now.Add(renewalMargin))
}

// Written reports the outcome of the write that Next returned; on Done the record
// that was written must be given to Learn afterwards with its new version.
func (l *Lease) Written(outcome Outcome) {
	w := l.pending
	l.pending = write{}
	switch outcome {
	case Done:
		if w.renewal {
			l.ownUntil = w.asked.Add(term.Lease)
		}
		l.writtenOver, l.fenced = 0, true
	case Failed:
		l.renewAt = earlier(l.renewAt, w.asked.Add(conflictDelay))
		if w.donates {
			l.donation = donation{}
		}
	case Unknown:
		l.writtenOver = l.version
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Give plans to make to the owner of the daemon's last n shares. They rest until what was
// granted or lent from them has ended, and are then given away in the store. A daemon that
// gives all its shares away promises nothing and asks for no loans from now on, and waits
// until its promises have ended, for once it is no holder its co-holders' shares move without
// its vote; its shares rest only at the end of that time. Give does nothing while another
// donation is planned.
func (l *Lease) Give(now time.Time, n int, to member.ID) {
	if !l.Holds() || l.donation.to != "" || to == l.self {
		return
	}
	own := l.record.SharesOf(l.self)
	shares := own[max(0, len(own)-n):]
	rest := term.Wait(term.Loan + term.Grant)
	rests := now
	if len(shares) == len(own) {
		rests = now.Add(term.Wait(term.Lease+term.Grant) - rest)
	}
	l.donation = donation{shares: shares, to: to, rests: rests, ready: rests.Add(rest)}
}

// exiting reports whether the daemon gives all its shares away.
func (l *Lease) exiting() bool {
	return l.donation.to != "" && len(l.donation.shares) == len(l.record.SharesOf(l.self))
}

// Giving reports whether a donation is planned or not yet confirmed.
func (l *Lease) Giving() bool { return l.donation.to != "" }
