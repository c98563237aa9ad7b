package limiter

import (
	"time"

	"berylpass/decision"
	"berylpass/fleet/member"
	"berylpass/limit/allotment"
	"berylpass/limit/lease"
	"berylpass/limit/message"
	"berylpass/limit/term"
)

const (
	// loanInterval is the time between two asks of a daemon that uses or seeks co-holders' shares.
	loanInterval = 600 * time.Millisecond
	// promiseInterval is the time between two asks of the other holders.
	promiseInterval = term.Lease / 4
	// readInterval is the time between two reads of a held shard's record.
	readInterval = 5 * time.Second
	// writesPerTick and readsPerTick bound the calls to the store.
	writesPerTick = 8
	readsPerTick  = 8
	// listRetry is the time after which a failed list is tried again.
	listRetry = time.Second
	// settleTime is how long the members must not have changed before shares are given away.
	settleTime = 15 * time.Second
	// giveInterval is the time between two looks at whether a shard's shares should be given away.
	giveInterval = time.Second
)

// holding is the daemon's part in a shard with the times of its next calls.
type holding struct {
	lease   *lease.Lease
	askAt   time.Time
	readAt  time.Time
	reading bool
	giveAt  time.Time
	// actedAt is when the daemon last used a co-holder's shares.
	actedAt time.Time
}

// tendHoldings keeps the leases: asks, reads, writes, donations.
func (l *Limiter) tendHoldings(now time.Time) []decision.Action {
	asks := map[member.ID][]lease.Ask{}
	var calls []decision.Action
	reads, writes := readsPerTick, writesPerTick
	for shard, s := range l.holdings {
		if s == nil {
			if read, ok := l.claim(now, shard, &reads); ok {
				calls = append(calls, read)
			}
			continue
		}
		l.tendShares(now, s)
		if reads > 0 && !s.reading && !now.Before(s.readAt) {
			reads--
			s.reading = true
			calls = append(calls, ReadRecord{Shard: shard})
		}
		if writes > 0 {
			if record, ok := s.lease.Next(now); ok {
				writes--
				_, version, _ := s.lease.Record()
				calls = append(calls, WriteRecord{Shard: shard, Record: record, IfVersion: version})
			}
		}
		if !now.Before(s.askAt) {
			interval := l.askInterval(now, s)
			s.askAt = now.Truncate(interval).Add(interval) // Asks to one daemon go out together.
			for _, id := range s.lease.Others() {
				asks[id] = append(asks[id], s.lease.Ask(now))
			}
		}
	}
	var actions []decision.Action
	for _, to := range sortedKeys(asks) {
		actions = append(actions, SendAsk{At: now, To: to, Ask: message.Ask{From: l.self, Items: asks[to]}})
	}
	return append(actions, calls...)
}

// tendShares applies what the lease allows, and plans donations.
func (l *Limiter) tendShares(now time.Time, s *holding) {
	l.share(now, s)
	if !s.lease.Holds() || now.Before(s.giveAt) || s.lease.Giving() {
		return
	}
	s.giveAt = now.Add(giveInterval)
	shard := s.lease.Shard()
	record, _, _ := s.lease.Record()
	if !l.leaving && now.Sub(l.changedAt) < settleTime {
		return
	}
	own := len(record.SharesOf(l.self))
	if l.placedHere(shard) {
		own--
	}
	if own == 0 {
		return
	}
	if to, ok := l.successor(shard, record); ok {
		if !l.leaving {
			own = 1
		}
		s.lease.Give(now, own, to)
		l.share(now, s)
	}
}

// askInterval is short for a daemon that uses or should get co-holders' shares, long for the others.
func (l *Limiter) askInterval(now time.Time, s *holding) time.Duration {
	if !s.lease.WantsLoan(now) {
		return promiseInterval
	}
	record, _, _ := s.lease.Record()
	if len(s.lease.Usable(now)) > len(record.SharesOf(l.self)) {
		s.actedAt = now
	}
	if now.Sub(s.actedAt) < 2*promiseInterval || l.first(record) == l.self {
		return loanInterval
	}
	return promiseInterval
}

// first returns the first holder that is not known to be dead.
func (l *Limiter) first(record allotment.Record) member.ID {
	for _, id := range record.Holders() {
		if !l.dead[id] {
			return id
		}
	}
	return ""
}

// claim reads, and so perhaps creates, the record of a shard that the daemon should hold.
func (l *Limiter) claim(now time.Time, shard int, reads *int) (ReadRecord, bool) {
	r := &l.routes[shard]
	if l.used != nil && !l.used[shard] {
		return ReadRecord{}, false
	}
	if !l.listed || *reads == 0 || now.Before(r.claimAt) || !l.placedHere(shard) {
		return ReadRecord{}, false
	}
	*reads--
	r.claimAt = now.Add(2 * readInterval)
	return ReadRecord{Shard: shard}, true
}

func (l *Limiter) list(now time.Time, e Listed) []decision.Action {
	l.listing = false
	l.listAt = now.Add(listRetry)
	if e.Failed {
		return nil
	}
	l.listed = true
	var actions []decision.Action
	for _, r := range e.Records {
		actions = append(actions, l.read(now, r)...)
	}
	return actions
}

// read takes in a record; a missing one is created by the first daemon that should hold it.
func (l *Limiter) read(now time.Time, e Read) []decision.Action {
	if s := l.holdings[e.Shard]; s != nil {
		s.reading = false
		s.readAt = now.Add(readInterval)
	}
	switch {
	case e.Failed:
		return nil
	case e.Missing:
		placed := l.routes[e.Shard].placed
		if l.holdings[e.Shard] != nil || !l.placedHere(e.Shard) || placed[0] != l.self {
			return nil
		}
		return []decision.Action{WriteRecord{Shard: e.Shard, Record: allotment.New(placed)}}
	}
	l.learn(now, e.Shard, e.Record, e.Version, false)
	return nil
}

func (l *Limiter) learn(now time.Time, shard int, record allotment.Record, version uint64, created bool) {
	l.routes[shard].holders = record.Holders()
	s := l.holdings[shard]
	if s == nil {
		if !record.Holds(l.self) {
			return
		}
		s = &holding{lease: lease.New(l.self, shard, l.started), readAt: now.Add(readInterval)}
		if created {
			s.lease.Fresh(now)
		}
		l.holdings[shard] = s
	}
	l.share(now, s)
	s.lease.Learn(now, record, version)
	l.share(now, s)
}

// wrote takes in the outcome of a write.
func (l *Limiter) wrote(now time.Time, e Wrote) []decision.Action {
	if e.Created {
		if e.Outcome == lease.Done {
			l.learn(now, e.Shard, e.Record, e.Version, true)
			return nil
		}
		return []decision.Action{ReadRecord{Shard: e.Shard}}
	}
	s := l.holdings[e.Shard]
	if s == nil {
		return nil
	}
	l.share(now, s)
	s.lease.Written(e.Outcome)
	if e.Outcome == lease.Done {
		l.learn(now, e.Shard, e.Record, e.Version, false)
		return nil
	}
	s.readAt = now
	return nil
}
