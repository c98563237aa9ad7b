// Package lease decides which shares of one shard a daemon may use at present.
//
// A holder may use the shares that it owns while it has a lease: one live promise
// by a co-holder not to vote against it, or a renewal that it wrote to the store.
// Promises are asked for, and counted by the holder from when it asked and by the
// co-holder from when it gave. A co-holder whose promise has run out, and that has
// seen no renewal in the store for as long, writes a vote; shares move only when
// all other holders have voted. So a shard goes on without the store while two of
// its holders reach each other, and a lost holder's shares move within about two
// lease times when the store is there.
//
// Holders that do not use their shares lend them to one of them, the acting
// primary, with which the shard's limits are not split at all. A loan ends with the
// lender's own lease at the latest. When the primary is lost, its co-holders have
// their shares back after term.Loan + term.Grant.
//
// Every giver waits term.Grant longer than the term that it gave: the user of a
// share may have lent tokens up to the last moment.
//
// # Usage
//
//	l := lease.New("vm-1", shard, now)
//	l = l.Learn(now, record, version)   // what a read of the store returned
//	for _, peer := range l.Others() { ... send an ask, then l.Promised(...) }
//	shares := l.Usable(now)
//
// A lease forgets nothing while its process lives. A new process must not trust a
// record that it did not read from the store: its own vote may be missing. It must also
// write the record once before it uses a share or counts a promise: a write of the earlier
// process may still be on its way.
package lease

import (
	"slices"
	"time"

	"berylpass/fleet/member"
	"berylpass/limit/allotment"
	"berylpass/limit/term"
)

const (
	// renewalMargin is the rest of the lease at which the store is asked for want of a promise.
	renewalMargin = term.Lease / 2
	// renewalInterval is the least time between two renewals in the store.
	renewalInterval = term.Lease / 3
	// conflictDelay is the least time after a failed renewal before the next.
	conflictDelay = 300 * time.Millisecond
)

// Lease is a daemon's part in one shard.
type Lease struct {
	self  member.ID
	shard int
	// ready is when everything that an earlier process of this daemon gave has surely ended.
	ready time.Time
	// fenced is set once this process has written the record: what an earlier process
	// wrote and the store still delays can no longer take effect.
	fenced bool

	known   bool
	record  allotment.Record
	version uint64

	peers map[member.ID]*peer
	// ownUntil is the end of the lease that a renewal in the store gave.
	ownUntil time.Time
	renewAt  time.Time
	// writtenOver is the version over which a write with an unknown outcome was made.
	writtenOver uint64
	pending     write

	lentTo    member.ID
	lentUntil time.Time
	// stoppedUntil is the end of a rest in which nothing is granted, so that the shares can be lent.
	stoppedUntil time.Time

	donation donation
}

// peer is what a lease knows about a co-holder.
type peer struct {
	// promised is the end of its last promise to us.
	promised time.Time
	// given is the end of our last promise to it, with our wait.
	given time.Time
	// renewals and renewedAt tell when a change of its renewals was last read.
	renewals  uint64
	renewedAt time.Time
	// voted is set while our vote against it stands or may come to stand.
	voted bool
	// loan is what it has lent us.
	loan Loan
}

// Loan is a set of shares that may be used until a time.
type Loan struct {
	Shares []int
	Until  time.Time
}

// donation is a planned change of the owner of shares.
type donation struct {
	shares []int
	to     member.ID
	// rests is when the shares cease to be used, ready when they may be given away.
	rests, ready time.Time
	// over is the version over which the donation was written, 0 before the write.
	over uint64
}

// New returns a daemon's part in a shard, at the start of its process.
func New(self member.ID, shard int, started time.Time) *Lease {
	ready := started.Add(term.Wait(term.Loan + term.Grant))
	return &Lease{self: self, shard: shard, ready: ready, peers: map[member.ID]*peer{}}
}

// Fresh marks the shard as one that no earlier process of this daemon can have
// held shares of: there is nothing to wait for. Call it before Learn.
func (l *Lease) Fresh(now time.Time) { l.ready, l.fenced = now, true }

// Shard returns the number of the shard.
func (l *Lease) Shard() int { return l.shard }

// Learn takes in a record that was read from the store, or written with success.
func (l *Lease) Learn(now time.Time, record allotment.Record, version uint64) {
	if l.known && version < l.version {
		return
	}
	newer := version > l.version
	l.known, l.record, l.version = true, record, version
	if newer && version > l.donation.over && l.donation.over != 0 {
		l.donation = donation{}
	}
	if newer && version > l.writtenOver {
		l.writtenOver = 0
	}
	for _, id := range record.Others(l.self) {
		p := l.peer(now, id)
		if p.renewals != record.Renewals[id] {
			p.renewals, p.renewedAt = record.Renewals[id], now
		}
		if record.HasVoted(id, l.self) {
			p.voted = true
		} else if l.writtenOver == 0 {
			p.voted = false
		}
	}
	for id := range l.peers {
		if !record.Holds(id) {
			delete(l.peers, id)
		}
	}
	if !record.Holds(l.self) {
		l.lentTo, l.stoppedUntil, l.donation = "", time.Time{}, donation{}
		l.peers = map[member.ID]*peer{}
	}
}

// peer returns the entry of a co-holder; a new one counts as promised a full lease.
func (l *Lease) peer(now time.Time, id member.ID) *peer {
	p, ok := l.peers[id]
	if !ok {
		wait := term.Wait(term.Lease + term.Grant)
		p = &peer{given: now.Add(wait), renewedAt: now, renewals: l.record.Renewals[id]}
		l.peers[id] = p
	}
	return p
}

// Record returns the last known record, its version, and whether there is one.
func (l *Lease) Record() (allotment.Record, uint64, bool) { return l.record, l.version, l.known }

// Holds reports whether the daemon owns shares by the last known record.
func (l *Lease) Holds() bool { return l.known && l.record.Holds(l.self) }

// Agrees reports whether the last known record says of an asker what its ask says.
func (l *Lease) Agrees(from member.ID, ask Ask) bool {
	return l.known && l.record.Mask(from) == ask.Owns
}

// Others returns the co-holders, in the order of their shares.
func (l *Lease) Others() []member.ID {
	if !l.Holds() {
		return nil
	}
	return l.record.Others(l.self)
}

// Until returns the end of the daemon's lease on its own shares. A sole holder has no end,
// for nobody can vote against it, until it writes a donation: from then on the new holder may.
func (l *Lease) Until(now time.Time) time.Time {
	if !l.Holds() || !l.fenced || now.Before(l.ready) {
		return time.Time{}
	}
	others := l.record.Others(l.self)
	if len(others) == 0 && l.donation.over == 0 {
		return now.Add(term.Lease)
	}
	until := l.ownUntil
	for _, id := range others {
		if p := l.peers[id]; !p.voted && p.promised.After(until) {
			until = p.promised
		}
	}
	return until
}

// own returns the shares that the daemon owns and neither lent nor gives away.
func (l *Lease) own(now time.Time) []int {
	if now.Before(l.lentUntil) {
		return nil
	}
	return l.kept(now)
}

// kept returns the shares that the daemon owns and that do not rest for a donation.
func (l *Lease) kept(now time.Time) []int {
	return slices.DeleteFunc(l.record.SharesOf(l.self), func(share int) bool {
		return l.donation.to != "" && !now.Before(l.donation.rests) && slices.Contains(l.donation.shares, share)
	})
}

// Usable returns the shares that the daemon may grant from at the time now.
func (l *Lease) Usable(now time.Time) []int {
	if !l.Holds() || now.Before(l.stoppedUntil) {
		return nil
	}
	var shares []int
	if now.Before(l.Until(now)) {
		shares = l.own(now)
	}
	for _, id := range l.record.Others(l.self) {
		if p := l.peers[id]; now.Before(p.loan.Until) {
			shares = append(shares, p.loan.Shares...)
		}
	}
	slices.Sort(shares)
	return slices.Compact(shares)
}

// Primary returns the daemon to which the shares are lent, or itself if it may use some.
func (l *Lease) Primary(now time.Time) (member.ID, bool) {
	if l.lentTo != "" && now.Before(l.lentUntil) {
		return l.lentTo, true
	}
	return l.self, len(l.Usable(now)) > 0
}

// WantsLoan reports whether the daemon should ask its co-holders for their shares.
func (l *Lease) WantsLoan(now time.Time) bool {
	return l.Holds() && l.fenced && !now.Before(l.ready) && !now.Before(l.lentUntil) && !now.Before(l.stoppedUntil) &&
		!l.exiting()
}
