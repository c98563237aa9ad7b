// Package holder lends the limits of organisations to the daemons that draw from them.
//
// A holder merges the shares of a shard that it may use at present into one token
// bucket per organisation. A daemon that alone asks for an organisation gets all
// that is there, rate and burst, as a bucket of its own that it keeps by extending
// it: no message per request. When a second daemon asks, the grant is called back,
// and for a while each daemon gets tokens in small batches from the common bucket.
//
// What is lent counts against the burst until it has come back or surely ended, so
// level plus outstanding never exceeds the burst of the usable shares.
//
// # Usage
//
//	h := holder.New("vm-1", incarnation)
//	h.SetShares(now, shard, shares, limits)
//	granted, recalls := h.Lend(now, "vm-7", shard, item, limits)
package holder

import (
	"math"
	"time"

	"berylpass/fleet/member"
	"berylpass/limit/allotment"
	"berylpass/limit/bucket"
	"berylpass/limit/message"
	"berylpass/limit/term"
)

const (
	// contention is how long after another daemon's ask an organisation counts as contended.
	contention = time.Second
	// soleDemand is the demand in draws per second from which a daemon gets the whole limit.
	soleDemand = 0.3
	// batchSpan is the time whose demand a batch covers.
	batchSpan = 250 * time.Millisecond
	// batchShare is the part of the level that one batch may take, as a divisor.
	batchShare = 4
	// partDemand is the demand in draws per second from which a daemon gets a part of a contended limit.
	partDemand = 1
	// partCapacity is the smallest capacity of a part, in tokens.
	partCapacity = 2
	// poolShare is the part of a contended limit that stays with the holder.
	poolShare = 0.4
	// scarcity is how long no parts are lent after the pool ran empty.
	scarcity = 5 * time.Second
	// recallRetry is the time after which a recall without answer is sent again.
	recallRetry = 50 * time.Millisecond
	// recallWait is how long a daemon waits before it asks again during a recall.
	recallWait = 2 * time.Millisecond
	// maxRetryAfter bounds the advice to a refused daemon.
	maxRetryAfter = time.Second
	// idBits is the room for grants of one process in a grant's ID.
	idBits = 32
)

// Limits knows the configured limit of an organisation in requests per second and
// requests; both are 0 for an unknown one.
type Limits func(organisation string) (rate float64, burst int)

// Holder is the lending side of a daemon.
type Holder struct {
	self   member.ID
	limits Limits
	nextID uint64
	shards map[int]*shard
}

// shard is what a holder may use of a shard, since when, and the accounts in it.
type shard struct {
	shares   []int
	since    time.Time
	checked  time.Time
	accounts map[string]*account
}

// Recall is a grant to be called back.
type Recall struct {
	To   member.ID
	Item message.RecallItem
}

// New returns a holder without shares. The incarnation keeps the IDs of its grants
// apart from those of earlier processes.
func New(self member.ID, incarnation uint64, limits Limits) *Holder {
	return &Holder{self: self, limits: limits, nextID: incarnation << idBits, shards: map[int]*shard{}}
}

// SetLimits replaces the configured limits.
func (h *Holder) SetLimits(limits Limits) { h.limits = limits }

// SetShares tells which shares of a shard may be used from now on. Call it at least
// on each tick, and with the present state before each Lend.
func (h *Holder) SetShares(now time.Time, number int, shares []int) {
	s, ok := h.shards[number]
	if !ok {
		if len(shares) == 0 {
			return
		}
		s = &shard{since: now, checked: now, accounts: map[string]*account{}}
		h.shards[number] = s
	}
	if mask(shares) == mask(s.shares) {
		s.checked = now
		return
	}
	lost := mask(s.shares)&^mask(shares) != 0
	for name, a := range s.accounts {
		if lost {
			a.settle(s.checked)
			a.bucket.Skip(now)
		}
		a.settle(now)
		h.resize(name, a, shares)
	}
	s.shares, s.since, s.checked = shares, now, now
}

func mask(shares []int) int {
	m := 0
	for _, s := range shares {
		m |= 1 << s
	}
	return m
}

func (h *Holder) resize(organisation string, a *account, shares []int) {
	rate, burst := h.limits(organisation)
	var sumRate float64
	var sumBurst int
	for _, s := range shares {
		r, b := allotment.Share(s, rate, burst)
		sumRate += r
		sumBurst += b
	}
	a.resize(sumRate, float64(sumBurst))
}

// account returns an organisation's account, advanced to now and at its present size.
func (h *Holder) account(now time.Time, s *shard, organisation string) *account {
	a, ok := s.accounts[organisation]
	if !ok {
		a = &account{bucket: bucket.New(s.since, 0, 0)}
		h.resize(organisation, a, s.shares)
		s.accounts[organisation] = a
	}
	a.settle(now)
	h.resize(organisation, a, s.shares)
	return a
}

// Lend meets a daemon's wish for tokens of an organisation in the given shard. It
// returns the grants that must be called back from other daemons first, if any.
func (h *Holder) Lend(now time.Time, from member.ID, number int, item message.BorrowItem) (message.Granted, []Recall) {
	granted := message.Granted{Organisation: item.Organisation}
	s, ok := h.shards[number]
	if !ok || len(s.shares) == 0 {
		granted.Verdict = message.Elsewhere
		return granted, nil
	}
	a := h.account(now, s, item.Organisation)
	contended := a.noteAsker(now, from) || a.parted(from)
	i := a.lentToOthers(from)
	if i >= 0 {
		a.contendedUntil = now.Add(contention)
	} else if i = a.largestPart(from); i >= 0 && a.bucket.Whole() < 1 {
		a.scarceUntil = now.Add(scarcity)
	} else {
		i = -1
	}
	if i >= 0 && item.Extend == 0 {
		granted.Verdict, granted.RetryAfter = message.Recalling, recallWait
		return granted, a.recall(now, i, item.Organisation)
	}
	if item.Extend != 0 {
		i := a.find(item.Extend, from)
		if i < 0 || !a.keeps(now, a.grants[i], item.Demand, contended) {
			granted.Verdict, granted.Grant.ID = message.Stale, item.Extend
			return granted, nil
		}
		a.grants[i].ends = now.Add(term.Wait(term.Grant))
		granted.Verdict = message.Extended
		granted.Grant = message.Grant{ID: item.Extend, Valid: term.Grant}
		return granted, nil
	}
	h.grant(now, a, from, item, contended, &granted)
	return granted, nil
}

func (a *account) recall(now time.Time, i int, organisation string) []Recall {
	g := &a.grants[i]
	if now.Sub(g.recalledAt) < recallRetry {
		return nil
	}
	g.recalledAt = now
	return []Recall{{To: g.to, Item: message.RecallItem{Organisation: organisation, ID: g.id}}}
}

// grant lends what the daemon may have: all of it, a batch, or nothing.
func (h *Holder) grant(now time.Time, a *account, from member.ID, item message.BorrowItem, contended bool, granted *message.Granted) {
	rate, burst := h.limits(item.Organisation)
	lapse := term.Lapse(rate, burst)
	room := a.capacity - a.outToken
	whole := a.bucket.Whole()
	g := message.Grant{Lapse: lapse}
	partRate, wanted, partOK := a.part(now, item.Demand)
	partOK = partOK && contended && !a.hasPart(from)
	switch {
	case !contended && item.Demand >= soleDemand && room >= 1 && a.bucket.Rate > 0:
		g.Level, g.Capacity, g.Rate, g.Valid = a.bucket.Level, room, a.bucket.Rate, term.Grant
	case whole >= 1 && partOK:
		g.Level = min(wanted, max(1, math.Floor(float64(whole)*wanted/a.capacity)))
		g.Capacity, g.Rate, g.Valid, g.Part = wanted, partRate, term.Grant, true
	case whole >= 1:
		n := batch(item, whole, a.hasPart(from))
		g.Level, g.Capacity, g.Valid = float64(n), float64(n), term.Batch
		if n == 1 {
			g.Valid = max(lapse, term.MinLapse)
		}
	default:
		granted.Verdict, granted.RetryAfter = message.Empty, a.next(now)
		return
	}
	h.nextID++
	g.ID = h.nextID
	a.lend(grant{id: g.ID, to: from, capacity: g.Capacity, rate: g.Rate, part: g.Part, ends: now.Add(term.Wait(g.Valid))}, g.Level)
	granted.Verdict, granted.Grant = message.Lent, g
}

// batch returns how many of the whole tokens a daemon gets: what waits, and its demand of
// the next batchSpan as far as that takes no more than a part of the level.
// A daemon that has a part already gets only what waits.
func batch(item message.BorrowItem, whole int, hasPart bool) int {
	if hasPart {
		return min(max(item.Want, 1), whole)
	}
	ahead := min(int(item.Demand*batchSpan.Seconds()), whole/batchShare)
	return min(max(item.Want, ahead, 1), whole)
}

// next returns the time after which a token is expected.
func (a *account) next(now time.Time) time.Duration {
	next := a.bucket.Next(maxRetryAfter)
	if a.capacity-a.outToken >= 1 {
		return next
	}
	next = maxRetryAfter
	for _, g := range a.grants {
		next = min(next, g.ends.Sub(now))
	}
	return max(next, time.Millisecond)
}

// TakeBack takes in grants that a daemon gives back.
func (h *Holder) TakeBack(now time.Time, from member.ID, number int, r message.Returned) {
	s, ok := h.shards[number]
	if !ok {
		return
	}
	if a, ok := s.accounts[r.Organisation]; ok {
		a.takeBack(now, r.ID, from, r.Level, r.Drawn)
	}
}

// Idle reports that nothing that was granted from a shard is outstanding.
func (h *Holder) Idle(now time.Time, number int) bool {
	s, ok := h.shards[number]
	if !ok {
		return true
	}
	for _, a := range s.accounts {
		for _, g := range a.grants {
			if now.Before(g.ends) {
				return false
			}
		}
	}
	return true
}

// Levels returns the tokens that are there and the tokens that are lent, over a shard's accounts.
func (h *Holder) Levels(now time.Time, number int) (level, lent float64) {
	s, ok := h.shards[number]
	if !ok {
		return 0, 0
	}
	for _, a := range s.accounts {
		a.settle(now)
		level += a.bucket.Level
		lent += a.outToken
	}
	return level, lent
}
