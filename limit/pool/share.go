package pool

import (
	"slices"
	"time"
)

const (
	// renewWindow is the age up to which a token can be renewed: longer than a request waits for a slot.
	renewWindow = 3 * time.Second
	// maxIssues bounds the tokens of a share that can be renewed.
	maxIssues = 256
	// levelTolerance is the rounding error of a level that is accepted when a share is replayed.
	levelTolerance = 1e-9
)

// ownShare is the token bucket of this daemon's share of a limit. It remembers the tokens that it has issued in the
// last renewWindow, so that one of them can be moved to a later time.
type ownShare struct {
	tokens float64
	// at is the time of the last refill.
	at time.Time
	// rate, in tokens a second, and burst are those of the last refill.
	rate, burst float64
	// lastID is the ID of the token issued last. It starts at random, so that the tokens of a share that was lost
	// are not taken for those of a later one.
	lastID uint64
	issues []issue
	// base is the level at baseAt, before the first of the issues.
	base   float64
	baseAt time.Time
}

// issue is a token that was issued.
type issue struct {
	id uint64
	at time.Time
}

// newShare returns an empty share whose tokens have IDs after the given one.
func newShare(now time.Time, lastID uint64) *ownShare {
	return &ownShare{at: now, baseAt: now, lastID: lastID}
}

// refill adds the tokens that have accumulated. If the rate or the burst has changed, no earlier token can be renewed.
func (s *ownShare) refill(now time.Time, rate, burst float64) {
	changed := rate != s.rate || burst != s.burst
	s.rate, s.burst = rate, burst
	s.tokens = s.levelAfter(s.tokens, s.at, now)
	if now.After(s.at) {
		s.at = now
	}
	if changed {
		s.issues, s.base, s.baseAt = nil, s.tokens, s.at
	}
}

// levelAfter returns the level at a later time if no token is issued in between.
func (s *ownShare) levelAfter(level float64, from, to time.Time) float64 {
	if passed := to.Sub(from); passed > 0 {
		level += s.rate * passed.Seconds()
	}
	return min(level, s.burst)
}

// issue issues up to n tokens and returns their number. The share must have been refilled.
func (s *ownShare) issue(now time.Time, n int) int {
	granted := min(n, int(s.tokens))
	s.tokens -= float64(granted)
	for range granted {
		s.record(now)
	}
	return granted
}

// record remembers a token that is issued now, and forgets those that can't be renewed any more.
func (s *ownShare) record(now time.Time) {
	s.lastID++
	s.issues = append(s.issues, issue{id: s.lastID, at: now})
	for len(s.issues) > maxIssues || now.Sub(s.issues[0].at) > renewWindow {
		first := s.issues[0]
		s.base, s.baseAt = s.levelAfter(s.base, s.baseAt, first.at)-1, first.at
		s.issues = s.issues[1:]
	}
}

// returned takes back a token of another daemon's share that was not used.
func (s *ownShare) returned() {
	s.tokens = min(s.tokens+1, s.burst)
	s.base = min(s.base+1, s.burst)
}

// takeBack takes back the token with the given ID, which was not used. It does nothing if the token was taken back or
// renewed already, or is too old.
func (s *ownShare) takeBack(now time.Time, id uint64) {
	at := slices.IndexFunc(s.issues, func(i issue) bool { return i.id == id })
	if at < 0 {
		return
	}
	s.tokens = max(s.tokens, s.levelWithout(now, at))
	s.issues = slices.Delete(s.issues, at, at+1)
}

// levelWithout returns the present level if the issue with the given index had not been made.
func (s *ownShare) levelWithout(now time.Time, at int) float64 {
	level, from := s.base, s.baseAt
	for n, i := range s.issues {
		if n == at {
			continue
		}
		level, from = s.levelAfter(level, from, i.at)-1, i.at
	}
	return s.levelAfter(level, from, now)
}

// renew moves the token with the given ID to the present time, if the bucket would have had a token for every issue
// in that order, and returns its new ID.
func (s *ownShare) renew(now time.Time, id uint64) (renewed uint64, ok bool) {
	at := slices.IndexFunc(s.issues, func(i issue) bool { return i.id == id })
	if at < 0 {
		return 0, false
	}
	level := s.levelWithout(now, at) - 1
	if level < -levelTolerance {
		return 0, false
	}
	s.issues = slices.Delete(s.issues, at, at+1)
	s.tokens = max(level, 0)
	s.record(now)
	return s.lastID, true
}
