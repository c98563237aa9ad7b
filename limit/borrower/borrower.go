// Package borrower spends the grants that a daemon has borrowed.
//
// Each grant is a token bucket of its own. A token drawn from it stays counted in
// it until it has run, has come back or has lapsed, so that the runs stay within
// the grant. A draw costs no message while a grant has a token; otherwise the
// borrower says what to ask of a holder.
//
// # Usage
//
//	b := borrower.New()
//	token, ok := b.Draw(now, "hope-bay-library")
//	item := b.Item(now, "hope-bay-library", waiting)
//	b.Lent(asked, now, holder, "hope-bay-library", grant)
package borrower

import (
	"cmp"
	"math"
	"slices"
	"time"

	"berylpass/fleet/member"
	"berylpass/limit/bucket"
	"berylpass/limit/message"
)

const (
	// demandSpan is the time over which demand is averaged.
	demandSpan = 5 * time.Second
	// extendBefore is the time before the end of a refilling grant at which it is extended.
	extendBefore = 1500 * time.Millisecond
)

// Token allows one dispatch to a backend server.
type Token struct {
	Organisation string
	// Lapses is when the token is no longer good, by the clock of the daemon that drew it.
	Lapses time.Time
	holder member.ID
	grant  uint64
}

// Borrower is the spending side of a daemon.
type Borrower struct {
	accounts map[string]*account
}

// account is what the daemon knows about an organisation.
type account struct {
	held []held
	// demand is the averaged number of draws per second at demandAt.
	demand   float64
	demandAt time.Time
	// refusedUntil is set by a holder without tokens.
	refusedUntil time.Time
	extendedAt   time.Time
}

// held is a grant in use.
type held struct {
	holder member.ID
	id     uint64
	bucket bucket.Bucket
	ends   time.Time
	lapse  time.Duration
	// part is set if the holder may have tokens when this grant has none.
	part bool
	// closed is set once the grant is given back; its ID stays known until it would have ended.
	closed bool
	// drawn are the lapse times of the tokens drawn that may still run, in order.
	drawn []time.Time
}

// New returns a borrower without grants.
func New() *Borrower { return &Borrower{accounts: map[string]*account{}} }

func (b *Borrower) account(now time.Time, organisation string) *account {
	a, ok := b.accounts[organisation]
	if !ok {
		a = &account{demandAt: now}
		b.accounts[organisation] = a
	}
	return a
}

// Draw takes a token from a grant that has one; the grant that ends first goes first.
func (b *Borrower) Draw(now time.Time, organisation string) (Token, bool) {
	a := b.account(now, organisation)
	a.prune(now)
	best := -1
	for i := range a.held {
		h := &a.held[i]
		if h.closed {
			continue
		}
		h.advance(now)
		if h.bucket.Whole() >= 1 && (best < 0 || h.ends.Before(a.held[best].ends)) {
			best = i
		}
	}
	if best < 0 {
		return Token{}, false
	}
	h := &a.held[best]
	h.bucket.Take(1)
	lapses := now.Add(h.lapse)
	if h.ends.Before(lapses) {
		lapses = h.ends
	}
	h.drawn = append(h.drawn, lapses)
	return Token{Organisation: organisation, Lapses: lapses, holder: h.holder, grant: h.id}, true
}

// Note counts a request in the organisation's demand.
func (b *Borrower) Note(now time.Time, organisation string) {
	a := b.account(now, organisation)
	a.demand = a.decayed(now) + 1/demandSpan.Seconds()
	a.demandAt = now
}

// decayed returns the demand at now: it falls linearly to nothing over demandSpan.
func (a *account) decayed(now time.Time) float64 {
	left := 1 - now.Sub(a.demandAt).Seconds()/demandSpan.Seconds()
	return a.demand * max(0, left)
}

func (a *account) prune(now time.Time) {
	a.held = slices.DeleteFunc(a.held, func(h held) bool { return !now.Before(h.ends) })
}

// advance refills the grant with the tokens that may still run counted in.
func (h *held) advance(now time.Time) {
	h.bucket.Refill(now, float64(len(h.drawn)))
	n := 0
	for n < len(h.drawn) && !now.Before(h.drawn[n]) {
		n++
	}
	if n > 0 {
		h.drawn = slices.Delete(h.drawn, 0, n)
	}
}

// Next returns the time until a refilling grant has its next token, if the daemon holds one that
// is all there is.
func (b *Borrower) Next(now time.Time, organisation string) (time.Duration, bool) {
	next, ok := time.Duration(0), false
	for i := range b.account(now, organisation).held {
		h := &b.accounts[organisation].held[i]
		left := h.ends.Sub(now)
		if h.closed || h.part || h.bucket.Rate <= 0 || left <= 0 {
			continue
		}
		wait := h.bucket.Next(left)
		if room := h.bucket.Capacity - float64(len(h.drawn)); room < 1 && len(h.drawn) > 0 {
			wait = h.drawn[0].Sub(now)
		}
		if wait = max(wait, time.Millisecond); !ok || wait < next {
			next, ok = wait, true
		}
	}
	return next, ok
}

// Settle tells that a token's run has begun, or that it certainly never will. It must be
// called before the token lapses to have an effect.
func (b *Borrower) Settle(now time.Time, t Token, ran bool) {
	a, ok := b.accounts[t.Organisation]
	if !ok {
		return
	}
	i := slices.IndexFunc(a.held, func(h held) bool { return h.id == t.grant && h.holder == t.holder })
	if i < 0 || a.held[i].closed || !now.Before(t.Lapses) {
		return
	}
	h := &a.held[i]
	h.advance(now)
	n := slices.Index(h.drawn, t.Lapses)
	if n < 0 {
		return
	}
	h.drawn = slices.Delete(h.drawn, n, n+1)
	if !ran {
		h.bucket.Level++
	}
}

// RefusedUntil returns until when no holder should be asked for the organisation.
func (b *Borrower) RefusedUntil(organisation string) time.Time {
	if a, ok := b.accounts[organisation]; ok {
		return a.refusedUntil
	}
	return time.Time{}
}

// Refuse keeps an organisation from being asked for until the given time.
func (b *Borrower) Refuse(now time.Time, organisation string, until time.Time) {
	b.account(now, organisation).refusedUntil = until
}

// Item returns what to ask a holder for an organisation in which waiting requests lack a token.
func (b *Borrower) Item(now time.Time, organisation string, waiting int) message.BorrowItem {
	a := b.account(now, organisation)
	return message.BorrowItem{Organisation: organisation, Want: waiting, Demand: a.decayed(now)}
}

// Extension returns what to ask, and of whom, to keep a refilling grant that is in use and
// ends soon.
func (b *Borrower) Extension(now time.Time, organisation string) (member.ID, message.BorrowItem, bool) {
	a := b.account(now, organisation)
	if now.Sub(a.extendedAt) < extendBefore/4 {
		return "", message.BorrowItem{}, false
	}
	for _, h := range a.held {
		if !h.closed && h.bucket.Rate > 0 && now.Before(h.ends) && h.ends.Sub(now) < extendBefore {
			a.extendedAt = now
			item := b.Item(now, organisation, 0)
			item.Extend = h.id
			return h.holder, item, true
		}
	}
	return "", message.BorrowItem{}, false
}

// Lent takes in a grant that was asked for at the time asked. A grant that is already known is ignored.
func (b *Borrower) Lent(asked, now time.Time, holder member.ID, organisation string, g message.Grant) {
	a := b.account(now, organisation)
	a.prune(now)
	ends := asked.Add(g.Valid)
	known := slices.ContainsFunc(a.held, func(h held) bool { return h.id == g.ID && h.holder == holder })
	if known || !now.Before(ends) {
		return
	}
	h := held{holder: holder, id: g.ID, bucket: bucket.New(now, g.Rate, g.Capacity), ends: ends, lapse: g.Lapse, part: g.Part}
	h.bucket.Level = g.Level
	a.held = append(a.held, h)
	a.refusedUntil = time.Time{}
}

// Extended takes in that a grant is valid anew from the time asked on.
func (b *Borrower) Extended(asked, now time.Time, holder member.ID, organisation string, g message.Grant) {
	a := b.account(now, organisation)
	a.prune(now)
	for i := range a.held {
		h := &a.held[i]
		if until := asked.Add(g.Valid); !h.closed && h.id == g.ID && h.holder == holder && until.After(h.ends) {
			h.ends = until
		}
	}
}

// GiveBack ends a grant and returns what is left of it.
func (b *Borrower) GiveBack(now time.Time, holder member.ID, organisation string, id uint64) (message.Returned, bool) {
	a := b.account(now, organisation)
	a.prune(now)
	i := slices.IndexFunc(a.held, func(h held) bool { return h.id == id && h.holder == holder })
	if i < 0 || a.held[i].closed {
		return message.Returned{}, false
	}
	return a.held[i].close(now, organisation), true
}

// close ends the grant and returns what is left of it.
func (h *held) close(now time.Time, organisation string) message.Returned {
	h.advance(now)
	h.closed = true
	return message.Returned{Organisation: organisation, ID: h.id, Level: h.bucket.Level, Drawn: len(h.drawn)}
}

// Ending returns the grants that end within the margin and still have a token, and ends
// them: what is left of them, by holder. Grants that refill are extended instead while in use.
func (b *Borrower) Ending(now time.Time, margin time.Duration) map[member.ID][]message.Returned {
	back := map[member.ID][]message.Returned{}
	for organisation, a := range b.accounts {
		for i := range a.held {
			h := &a.held[i]
			single := h.bucket.Rate == 0 && h.bucket.Capacity <= 1
			if h.closed || single || h.ends.Sub(now) > margin || !now.Before(h.ends) {
				continue
			}
			if r := h.close(now, organisation); r.Level > 0 {
				back[h.holder] = append(back[h.holder], r)
			}
		}
	}
	for _, items := range back {
		sortReturned(items)
	}
	return back
}

func sortReturned(items []message.Returned) {
	slices.SortFunc(items, func(a, b message.Returned) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.ID, b.ID))
	})
}

// GiveBackAll ends all grants and returns what is left of them, by holder.
func (b *Borrower) GiveBackAll(now time.Time) map[member.ID][]message.Returned {
	return b.Ending(now, math.MaxInt64)
}

// Sweep forgets organisations that have neither grants nor demand.
func (b *Borrower) Sweep(now time.Time) {
	for organisation, a := range b.accounts {
		a.prune(now)
		if len(a.held) == 0 && a.decayed(now) == 0 && now.After(a.refusedUntil) {
			delete(b.accounts, organisation)
		}
	}
}
