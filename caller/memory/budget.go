// Package memory decides which requests and answers a daemon holds in memory, so that it
// stays within what its machine grants.
//
// The memory is divided into parts (Parts). Reservations of two of them are decided here:
// heads that haven't ended, and exchanges, which are requests and their answers. A holder is
// the other end of a connection. A reservation that doesn't fit closes holders that have
// fallen behind, the farthest behind first: those that owe the most bytes that they should
// have sent or read by now, and of these the one that holds the most. Holders that keep the pace are never closed for an exchange. A
// reservation that still doesn't fit waits, or is refused if it can't wait. Long reservations
// leave a part of the exchanges to short ones. What a holder that was asked to close has of the
// exchanges counts until it is released: its requests may still use it.
//
// # Usage
//
//	b := memory.New(memory.Divide(284 << 20))
//	for _, action := range b.Update(now, memory.Reserve{Ticket: 1, Holder: 7, Part: memory.Exchanges, Bytes: n}) {
//		switch a := action.(type) {
//		case memory.Granted: // the bytes are a.Ticket's
//		case memory.Refused: // they never will be
//		case memory.Close: // close the connection of a.Holder
//		}
//	}
//	b.Update(now, memory.Release{Holder: 7, Part: memory.Exchanges, Bytes: n})
package memory

import (
	"cmp"
	"slices"
	"time"

	"berylpass/decision"
)

const (
	// Pace is the number of bytes a second that a holder should send of a body or read of an
	// answer, after Grace.
	Pace = 64 << 10
	// Grace is how long a holder may send or read nothing.
	Grace = 2 * time.Second
)

// Part is a part of the memory of which bytes are reserved.
type Part uint8

// The parts.
const (
	// Heads is for heads of requests that haven't ended.
	Heads Part = iota
	// Exchanges is for requests and answers.
	Exchanges
	partCount
)

// Reserve asks for bytes of a part for a holder. It is answered by Granted or Refused with its
// ticket: at once unless it may wait.
type Reserve struct {
	Ticket, Holder uint64
	Part           Part
	Bytes          int64
	MayWait        bool
}

// Release gives back the bytes of one granted Reserve.
type Release struct {
	Holder uint64
	Part   Part
	Bytes  int64
}

// Due tells that the holder has bytes to send or to read from now on, Moved that it has done so.
type (
	// Due adds to the bytes that a holder has to send or to read.
	Due struct {
		Holder uint64
		Bytes  int64
	}
	// Moved tells that a holder has sent or read bytes.
	Moved struct {
		Holder uint64
		Bytes  int64
	}
)

// Settled tells that the holder has nothing more to send or to read.
type Settled struct{ Holder uint64 }

// Withdraw gives up a Reserve that waits.
type Withdraw struct{ Ticket uint64 }

// Left releases all that a holder has, and refuses its reservations that wait.
type Left struct{ Holder uint64 }

// Tick lets time pass while reservations wait.
type Tick struct{}

// Granted and Refused answer a Reserve.
type (
	// Granted tells that the bytes are reserved.
	Granted struct{ Ticket uint64 }
	// Refused tells that they aren't and won't be.
	Refused struct{ Ticket uint64 }
)

// Close asks for the connection of a holder to be closed. What it has of Heads is released
// already, what it has of Exchanges is with Release and Left.
type Close struct {
	Holder uint64
	// Held is the number of bytes that it had, Behind by how many it was behind.
	Held, Behind int64
}

// account is what one holder has.
type account struct {
	held [partCount]int64
	long int64
	// closing is whether the holder was asked to close.
	closing bool
	// due is the number of bytes that the holder has to send or to read, onTimeUntil the time up
	// to which it has kept the pace. That is never more than Grace ahead: bytes that went into the
	// buffers of the system don't excuse a holder that reads none of them.
	due         int64
	onTimeUntil time.Time
}

// behind returns by how many bytes the holder is behind the pace.
func (a *account) behind(now time.Time) int64 {
	return min(int64(max(now.Sub(a.onTimeUntil), 0).Seconds()*Pace), a.due)
}

// move takes note of bytes that the holder has sent or read.
func (a *account) move(now time.Time, bytes int64) {
	a.due = max(a.due-bytes, 0)
	paid := a.onTimeUntil.Add(time.Duration(float64(bytes) / Pace * float64(time.Second)))
	if latest := now.Add(Grace); paid.After(latest) {
		paid = latest
	}
	a.onTimeUntil = paid
}

// Budget decides on the reservations of a daemon. It is not safe for concurrent use.
type Budget struct {
	limits [partCount]int64
	used   [partCount]int64
	// longLimit and long are the limit and the sum of long reservations of Exchanges.
	longLimit, long int64
	// leaving and leavingLong are the bytes of Exchanges of holders that were asked to close.
	leaving, leavingLong int64
	accounts             map[uint64]*account
	waiting              []Reserve
	// movedAt is when bytes were last reserved or released.
	movedAt time.Time
}

// New returns a budget with nothing reserved.
func New(p Parts) *Budget {
	return &Budget{limits: [partCount]int64{Heads: p.Heads, Exchanges: p.Exchanges}, longLimit: p.Long, accounts: map[uint64]*account{}}
}

// Used returns the number of reserved bytes of a part.
func (b *Budget) Used(p Part) int64 { return b.used[p] }

// Waiting returns the number of reservations that wait.
func (b *Budget) Waiting() int { return len(b.waiting) }

// Update takes an event and returns the actions that follow from it.
func (b *Budget) Update(now time.Time, event decision.Event) []decision.Action {
	switch e := event.(type) {
	case Reserve:
		return b.reserve(now, e)
	case Release:
		b.movedAt = now
		b.release(e)
		return b.retry(now, false)
	case Due:
		b.addDue(now, e)
	case Moved:
		if a := b.accounts[e.Holder]; a != nil {
			a.move(now, e.Bytes)
		}
	case Settled:
		if a := b.accounts[e.Holder]; a != nil {
			a.due = 0
		}
	case Withdraw:
		b.waiting = slices.DeleteFunc(b.waiting, func(r Reserve) bool { return r.Ticket == e.Ticket })
		return b.retry(now, false)
	case Left:
		b.movedAt = now
		return append(b.remove(e.Holder), b.retry(now, false)...)
	case Tick:
		return append(b.retry(now, true), b.breakCircle(now)...)
	}
	return nil
}

// breakCircle refuses the reservation that came last if all holders that have bytes of the exchanges wait for more, and
// nothing has moved for Grace: they wait for each other.
func (b *Budget) breakCircle(now time.Time) []decision.Action {
	if len(b.waiting) == 0 || now.Sub(b.movedAt) < Grace {
		return nil
	}
	waits := map[uint64]bool{}
	for _, r := range b.waiting {
		waits[r.Holder] = true
	}
	for id, a := range b.accounts {
		if a.held[Exchanges] > 0 && !waits[id] {
			return nil
		}
	}
	last := b.waiting[len(b.waiting)-1]
	b.waiting = b.waiting[:len(b.waiting)-1]
	return []decision.Action{Refused{Ticket: last.Ticket}}
}

func (b *Budget) addDue(now time.Time, e Due) {
	a := b.account(e.Holder)
	if a.due == 0 {
		a.onTimeUntil = now.Add(Grace)
	}
	a.due += e.Bytes
}

func (b *Budget) account(holder uint64) *account {
	a := b.accounts[holder]
	if a == nil {
		a = &account{}
		b.accounts[holder] = a
	}
	return a
}

func isLong(p Part, bytes int64) bool { return p == Exchanges && bytes > ShortBytes }

// fits reports whether r fits now.
func (b *Budget) fits(r Reserve) bool {
	return b.used[r.Part]+r.Bytes <= b.limits[r.Part] && (!isLong(r.Part, r.Bytes) || b.long+r.Bytes <= b.longLimit)
}

// canFit reports whether r would fit if nothing else were reserved.
func (b *Budget) canFit(r Reserve) bool {
	if isLong(r.Part, r.Bytes) {
		return r.Bytes <= b.longLimit
	}
	return r.Bytes <= b.limits[r.Part]
}

func (b *Budget) grant(now time.Time, r Reserve) decision.Action {
	b.movedAt = now
	a := b.account(r.Holder)
	b.used[r.Part] += r.Bytes
	a.held[r.Part] += r.Bytes
	if isLong(r.Part, r.Bytes) {
		b.long += r.Bytes
		a.long += r.Bytes
	}
	return Granted{Ticket: r.Ticket}
}

// reserve grants r if it fits and none of its kind waits. Otherwise it makes room.
func (b *Budget) reserve(now time.Time, r Reserve) []decision.Action {
	if a := b.accounts[r.Holder]; !b.canFit(r) || a != nil && a.closing {
		return []decision.Action{Refused{Ticket: r.Ticket}}
	}
	if b.fits(r) && !b.queued(r) {
		return []decision.Action{b.grant(now, r)}
	}
	if !r.MayWait {
		closed := b.makeRoom(now, r)
		if b.fits(r) {
			return append(closed, b.grant(now, r))
		}
		return append(closed, Refused{Ticket: r.Ticket})
	}
	b.waiting = append(b.waiting, r)
	return b.retry(now, true)
}

// queued reports whether a reservation of the same kind as r waits.
func (b *Budget) queued(r Reserve) bool {
	return r.MayWait && slices.ContainsFunc(b.waiting, func(w Reserve) bool {
		return w.Part == r.Part && isLong(w.Part, w.Bytes) == isLong(r.Part, r.Bytes)
	})
}

// makeRoom closes holders until r fits once they have left, if that is possible. A reservation
// that may wait closes all holders that are behind even if they don't suffice.
func (b *Budget) makeRoom(now time.Time, r Reserve) []decision.Action {
	if b.willFit(r, 0, 0) {
		return nil
	}
	candidates := b.candidates(now, r)
	if !r.MayWait && !b.suffice(candidates, r) {
		return nil
	}
	var actions []decision.Action
	for _, c := range candidates {
		if b.willFit(r, 0, 0) {
			break
		}
		actions = append(actions, c)
		actions = append(actions, b.close(c.Holder)...)
	}
	return actions
}

// willFit reports whether r fits once the holders that were asked to close have left, and others
// that have so many bytes, and long bytes, too.
func (b *Budget) willFit(r Reserve, bytes, long int64) bool {
	if r.Part == Exchanges {
		bytes, long = bytes+b.leaving, long+b.leavingLong
	}
	return b.used[r.Part]-bytes+r.Bytes <= b.limits[r.Part] && (!isLong(r.Part, r.Bytes) || b.long-long+r.Bytes <= b.longLimit)
}

// close takes note that a holder was asked to close, and refuses its reservations that wait.
func (b *Budget) close(holder uint64) []decision.Action {
	a := b.accounts[holder]
	a.closing = true
	b.used[Heads] -= a.held[Heads]
	a.held[Heads] = 0
	b.leaving += a.held[Exchanges]
	b.leavingLong += a.long
	return b.refuseWaiting(holder)
}

// refuseWaiting refuses the reservations of a holder that wait.
func (b *Budget) refuseWaiting(holder uint64) []decision.Action {
	var actions []decision.Action
	b.waiting = slices.DeleteFunc(b.waiting, func(r Reserve) bool {
		if r.Holder == holder {
			actions = append(actions, Refused{Ticket: r.Ticket})
		}
		return r.Holder == holder
	})
	return actions
}

// candidates returns the holders that may be closed for r, the first to close first: those of
// larger heads, or those that are behind.
func (b *Budget) candidates(now time.Time, r Reserve) []Close {
	var out []Close
	own := r.Bytes
	if a := b.accounts[r.Holder]; a != nil {
		own += a.held[r.Part]
	}
	for id, a := range b.accounts {
		c := Close{Holder: id, Held: a.held[r.Part], Behind: a.behind(now)}
		if r.Part == Heads {
			c.Behind = c.Held - own
		}
		if id != r.Holder && !a.closing && c.Held > 0 && c.Behind > 0 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(x, y Close) int {
		return cmp.Or(cmp.Compare(y.Behind, x.Behind), cmp.Compare(y.Held, x.Held), cmp.Compare(x.Holder, y.Holder))
	})
	return out
}

// suffice reports whether r fits once the candidates are closed.
func (b *Budget) suffice(candidates []Close, r Reserve) bool {
	var bytes, long int64
	for _, c := range candidates {
		bytes += c.Held
		long += b.accounts[c.Holder].long
	}
	return b.willFit(r, bytes, long)
}

func (b *Budget) release(e Release) {
	a := b.accounts[e.Holder]
	if a == nil || a.closing && e.Part == Heads {
		return
	}
	a.held[e.Part] -= e.Bytes
	b.used[e.Part] -= e.Bytes
	long := int64(0)
	if isLong(e.Part, e.Bytes) {
		long = e.Bytes
	}
	a.long -= long
	b.long -= long
	if a.closing {
		b.leaving -= e.Bytes
		b.leavingLong -= long
	}
}

// remove releases what a holder has and refuses its reservations that wait.
func (b *Budget) remove(holder uint64) []decision.Action {
	if a := b.accounts[holder]; a != nil {
		for p, n := range a.held {
			b.used[p] -= n
		}
		b.long -= a.long
		if a.closing {
			b.leaving -= a.held[Exchanges]
			b.leavingLong -= a.long
		}
		delete(b.accounts, holder)
	}
	return b.refuseWaiting(holder)
}

// retry grants the reservations that wait, in their order. One that doesn't fit holds back
// those of its kind; with evict it closes holders that are behind.
func (b *Budget) retry(now time.Time, evict bool) []decision.Action {
	var actions []decision.Action
	for range len(b.waiting) {
		r, ok := b.next(now, evict, &actions)
		if !ok {
			break
		}
		b.waiting = slices.DeleteFunc(b.waiting, func(w Reserve) bool { return w.Ticket == r.Ticket })
		actions = append(actions, b.grant(now, r))
	}
	return actions
}

// next returns the first reservation that waits and fits.
func (b *Budget) next(now time.Time, evict bool, actions *[]decision.Action) (Reserve, bool) {
	type kind struct {
		part Part
		long bool
	}
	blocked := map[kind]bool{}
	for _, r := range slices.Clone(b.waiting) {
		k := kind{r.Part, isLong(r.Part, r.Bytes)}
		if blocked[k] || !slices.Contains(b.waiting, r) {
			continue
		}
		if evict && !b.fits(r) {
			*actions = append(*actions, b.makeRoom(now, r)...)
		}
		if b.fits(r) {
			return r, true
		}
		blocked[k] = true
	}
	return Reserve{}, false
}
