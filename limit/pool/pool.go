// Package pool enforces organisations' rate limits over the whole fleet: each limit is
// split into equal shares, and each token is issued by one daemon only.
//
// Each organisation has a few holders among the daemons, chosen by rendezvous hashing
// and spread over the data centres. So each data centre has a holder if the limit has at
// least as many holders as there are data centres, and the loss of a data centre loses only
// its proportion of the holders. Each holder has a token bucket, empty at first, with its
// share of the limit's rate and burst. A daemon whose own bucket is empty borrows a token from a
// holder, preferably one in its own data centre unless that is nearly empty.
//
// A daemon that is dead or partitioned stays a holder for DeadHolderRetention after it was
// declared dead, so that no other daemon issues the tokens of its share while it may still
// issue them itself. It stops issuing once it has been isolated for MaxIsolation, which ends
// earlier. So a daemon that is cut off from all others and the store stays, together with them,
// within the limit. Parts of the fleet that have several daemons or reach the store each
// issue the whole limit after DeadHolderRetention, for as long as they don't count as isolated.
//
// A daemon that leaves stops being a holder at once. A restarted one is a holder of the same
// limits, with empty buckets. When a daemon joins, a share is issued twice for as long as the
// member lists of two daemons differ. After a start or a long isolation, a daemon issues
// nothing while a dead member still counts as a holder: that member may have taken over this
// daemon's shares and not know that they have moved back.
//
// The design is for fleets in which every daemon receives a few requests of each
// organisation, and for an organisation that sends many times its rate. The pool records
// the levels that other holders report, so that empty holders are not asked again and again.
//
// # Usage
//
//	p := pool.New("vm-1", seed)
//	p.SetMembers(now, members, joined, isolated)
//	p.SetLimits(now, limits)
//	if !p.Take(now, "library") {
//		holders, available := p.HoldersToAsk(now, "library")
//		granted, level, ok := other.Lend(now, "library", 1) // in the process of holders[0]
//		p.RecordLevel(now, "library", holders[0], level)
//	}
package pool

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"berylpass/fleet/member"
)

const (
	// DeadHolderRetention is how long a dead daemon stays a holder. The fleet declares a daemon dead
	// no sooner than 6 s after it was last heard.
	DeadHolderRetention = 8 * time.Second
	// MaxIsolation is the duration of isolation after which a holder stops issuing tokens.
	// A daemon that is cut off from all others and the store counts as isolated 4 s after the last
	// message of another daemon and the last answer of the store; see roster.Roster.Isolated.
	MaxIsolation = 5 * time.Second
	// regionBonusTokens is by how many tokens a holder in another region must be fuller to be asked first. Only a few
	// holders are asked, and of the levels only old reports are known: a greater bonus refuses draws that another region
	// could have served.
	regionBonusTokens = 1
	// preferredInRegion is the number of holders that are asked in the order that prefers the own region.
	preferredInRegion = 2
	// minHolders is the least number of holders of a limit, if there are as many daemons and
	// the burst gives each a token. The loss of one holder then leaves two thirds of a limit.
	minHolders = 3
	// maxSafetyHolders is the number of holders up to which a limit gets one more holder for
	// each daemonsPerSafetyHolder daemons beyond minHolders, with shares of the burst down to
	// minSafetyTokens. The loss of a quarter of a large fleet at once must not take all holders
	// of a limit, because their shares move only after DeadHolderRetention. In a small fleet, such small
	// shares cause more refusals than they avoid.
	maxSafetyHolders       = 6
	daemonsPerSafetyHolder = 30
	minSafetyTokens        = 2
	// maxReturned bounds the tokens of an organisation that were returned and not yet used.
	maxReturned = 64
	// ratePerHolder is the number of requests a second per holder of a limit, as long as each
	// share of the burst has at least minTokensPerHolder tokens. A higher rate per holder would
	// overload one daemon; more holders would leave more tokens unused where nobody asks for them.
	ratePerHolder      = 25
	minTokensPerHolder = 3
	// minLocalLevel is the number of tokens from which on a holder in the own data centre is asked
	// before a fuller one elsewhere: one token for this request and one for another daemon's.
	minLocalLevel = 2
)

// Limit is the limit of one organisation.
type Limit struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// reportedLevel is the number of tokens that another holder last reported.
type reportedLevel struct {
	level float64
	at    time.Time
}

// organisationState is the pool's state for one organisation.
type organisationState struct {
	limit Limit
	// holders are in the order of topRanked; holdersVersion is the membersVersion that they
	// were computed for plus one, and 0 if they must be computed again.
	holders        []member.ID
	holdersVersion uint64
	own            *ownShare
	levels         map[member.ID]reportedLevel
	// returned holds, for each token that was returned here, the time at which it expires.
	returned []time.Time
}

// Pool is one daemon's part of the fleet's limits. It is not safe for concurrent use.
type Pool struct {
	self          member.ID
	random        *rand.Rand
	organisations map[string]*organisationState
	// daemons are the daemons that may be holders, sorted by ID. best is memory for topRanked, one slice for each of
	// their data centres.
	daemons []daemon
	best    [][]candidate
	// askable holds the members that can be asked for tokens.
	askable map[member.ID]bool
	// deadSince is when each dead member was first seen dead.
	deadSince map[member.ID]time.Time
	// datacentres is the data centre of each member.
	datacentres map[member.ID]string
	// regions is the region of each data centre; nil if regions make no difference.
	regions map[string]string
	// announcedLeave holds the members that were seen Leaving: they have given up their shares,
	// so they are no holders once they are dead.
	announcedLeave map[member.ID]bool
	// membersVersion rises whenever daemons changes.
	membersVersion uint64
	// joined is set once the daemon has received the member list while not isolated.
	joined  bool
	leaving bool
	// sharesMayHaveMoved is set after the start and after a long isolation: a daemon that cannot
	// be reached now may have taken over this daemon's shares in the meantime.
	sharesMayHaveMoved bool
	// isolatedSince is when the current isolation began; zero if the daemon is not isolated.
	isolatedSince time.Time
}

// daemon is a daemon that may be a holder.
type daemon struct {
	id         member.ID
	datacentre string
	// digest is the hash of the ID.
	digest uint64
	// place is the number of the data centre in the order in which the daemons mention them.
	place int
}

// same reports whether d and other are the same daemon in the same data centre.
func (d daemon) same(other daemon) bool { return d.id == other.id && d.datacentre == other.datacentre }

// New returns the pool of the daemon self, without members and limits. The seed, which must
// differ after each start, determines the IDs of tokens and the order in which equally full
// holders are asked.
func New(self member.ID, seed uint64, options ...Option) *Pool {
	random := rand.New(rand.NewPCG(seed, digest(string(self))))
	p := &Pool{
		self: self, random: random, sharesMayHaveMoved: true,
		organisations: map[string]*organisationState{}, askable: map[member.ID]bool{},
		deadSince: map[member.ID]time.Time{}, datacentres: map[member.ID]string{}, announcedLeave: map[member.ID]bool{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Option configures a Pool.
type Option func(*Pool)

// WithRegions returns an Option that prefers holders in the own region to those in others unless these have clearly more
// tokens. The regions are given by data centre.
func WithRegions(regions map[string]string) Option {
	return func(p *Pool) { p.regions = regions }
}

// SetLimits replaces the limits of all organisations. Lower limits take effect at once.
func (p *Pool) SetLimits(now time.Time, limits map[string]Limit) {
	for name := range p.organisations {
		if _, ok := limits[name]; !ok {
			delete(p.organisations, name)
		}
	}
	for name, limit := range limits {
		r := p.organisations[name]
		if r == nil {
			r = &organisationState{levels: map[member.ID]reportedLevel{}}
			p.organisations[name] = r
		}
		if r.limit != limit {
			r.limit, r.holdersVersion = limit, 0
		}
	}
	p.refillAll(now)
}

// SetMembers replaces the fleet's members, which include this daemon and dead ones. The
// parameter joined reports whether the daemon has read the member records in the store or
// knows another daemon, isolated whether roster.Roster.Isolated holds.
func (p *Pool) SetMembers(now time.Time, members []member.Member, joined, isolated bool) {
	if !isolated {
		if !p.isolatedSince.IsZero() {
			// Members that seemed dead during the isolation may have been alive until now.
			clear(p.deadSince)
		}
		p.isolatedSince = time.Time{}
	} else if p.isolatedSince.IsZero() {
		p.isolatedSince = now
	}
	// A daemon that starts while isolated may have lost its shares to other daemons.
	p.joined = p.joined || joined && !isolated
	if isolated && now.Sub(p.isolatedSince) >= MaxIsolation {
		p.sharesMayHaveMoved = true
	}
	deadHolders := false
	var daemons []daemon
	askable, datacentres := map[member.ID]bool{}, map[member.ID]string{}
	for _, m := range members {
		eligible, canAsk := p.classify(now, m)
		if eligible {
			daemons = append(daemons, daemon{id: m.ID, datacentre: m.Datacentre})
		}
		deadHolders = deadHolders || eligible && !canAsk
		askable[m.ID], datacentres[m.ID] = canAsk, m.Datacentre
	}
	if p.joined && !isolated && !deadHolders {
		p.sharesMayHaveMoved = false
	}
	slices.SortFunc(daemons, func(a, b daemon) int { return cmp.Compare(a.id, b.id) })
	p.askable, p.datacentres = askable, datacentres
	if !slices.EqualFunc(daemons, p.daemons, daemon.same) {
		places := map[string]int{}
		for i := range daemons {
			d := &daemons[i]
			place, ok := places[d.datacentre]
			if !ok {
				place = len(places)
				places[d.datacentre] = place
			}
			d.digest, d.place = digest(string(d.id)), place
		}
		p.daemons, p.best = daemons, make([][]candidate, len(places))
		p.membersVersion++
	}
	p.refillAll(now)
}

// refillAll refills this daemon's shares, and creates those that it newly holds.
func (p *Pool) refillAll(now time.Time) {
	for name, r := range p.organisations {
		p.refill(now, r, name)
	}
}

// classify reports whether a member may be a holder and whether it can be asked for tokens.
func (p *Pool) classify(now time.Time, m member.Member) (eligible, canAsk bool) {
	switch m.State {
	case member.Leaving:
		p.announcedLeave[m.ID] = true
		return false, false
	case member.Dead:
		if p.announcedLeave[m.ID] {
			return false, false
		}
		since, recorded := p.deadSince[m.ID]
		if !recorded {
			since = now
			p.deadSince[m.ID] = now
		}
		return now.Sub(since) < DeadHolderRetention, false
	}
	delete(p.deadSince, m.ID)
	delete(p.announcedLeave, m.ID)
	return true, true
}

// Leave makes the daemon stop issuing and lending tokens.
func (p *Pool) Leave() { p.leaving = true }

// Take takes a token that was returned here, or one of this daemon's own share, and reports
// whether there was one.
func (p *Pool) Take(now time.Time, organisation string) bool {
	_, ok := p.TakeFrom(now, organisation)
	return ok
}

// TakeFrom is Take; it also returns the ID of the token for Renew, 0 for a token that was returned.
func (p *Pool) TakeFrom(now time.Time, organisation string) (id uint64, ok bool) {
	if r := p.organisations[organisation]; r != nil {
		for len(r.returned) > 0 {
			expires := r.returned[0]
			r.returned = r.returned[1:]
			if now.Before(expires) {
				return 0, true
			}
		}
	}
	granted, _, _ := p.Lend(now, organisation, 1)
	return p.LastIssued(organisation), granted == 1
}

// LastIssued returns the ID of the last token of this daemon's share, 0 if it holds none.
func (p *Pool) LastIssued(organisation string) uint64 {
	if r := p.organisations[organisation]; r != nil && r.own != nil {
		return r.own.lastID
	}
	return 0
}

// Renew replaces a token of this daemon's share, which certainly has not been used and never will be, by one that is
// issued now. It returns the ID of the new one, and false if the limit doesn't allow it. The limit does as long as the
// bucket would not have been full since, had the first token not been issued.
func (p *Pool) Renew(now time.Time, organisation string, id uint64) (renewed uint64, ok bool) {
	r := p.organisations[organisation]
	if r == nil || id == 0 {
		return 0, false
	}
	own := p.refill(now, r, organisation)
	if own == nil {
		return 0, false
	}
	return own.renew(now, id)
}

// Lend takes up to n tokens from this daemon's own share. It returns the number of tokens
// granted and the level that is left; holder reports whether the daemon holds a share.
func (p *Pool) Lend(now time.Time, organisation string, n int) (granted int, level float64, holder bool) {
	r := p.organisations[organisation]
	if r == nil {
		return 0, 0, false
	}
	own := p.refill(now, r, organisation)
	if own == nil {
		return 0, 0, false
	}
	granted = own.issue(now, n)
	return granted, own.tokens, true
}

// TakeBack takes back a token of this daemon's share, given by its ID, whose request has certainly not run. A token that
// was renewed has another ID since.
func (p *Pool) TakeBack(now time.Time, organisation string, id uint64) {
	if r := p.organisations[organisation]; r != nil {
		if own := p.refill(now, r, organisation); own != nil {
			own.takeBack(now, id)
		}
	}
}

// Return gives back a token of another daemon's share whose request has certainly not run. If the daemon holds no
// share, it keeps the token for Take until the token expires.
func (p *Pool) Return(now time.Time, organisation string, expires time.Time) {
	r := p.organisations[organisation]
	if r == nil || !now.Before(expires) {
		return
	}
	if own := p.refill(now, r, organisation); own != nil {
		own.returned()
		return
	}
	if len(r.returned) < maxReturned {
		r.returned = append(r.returned, expires)
	}
}

// RecordLevel records the level that another holder reported.
func (p *Pool) RecordLevel(now time.Time, organisation string, holder member.ID, level float64) {
	if r := p.organisations[organisation]; r != nil {
		r.levels[holder] = reportedLevel{level: level, at: now}
	}
}

// HoldersToAsk returns the other holders that may have a token, in the order in which to ask them:
// first those in this data centre with at least minLocalLevel tokens, then the rest, the
// fullest first in each group. Available reports whether there is a holder to ask at all, even
// if its bucket seems empty: another one that is alive, or this daemon if it may issue tokens.
func (p *Pool) HoldersToAsk(now time.Time, organisation string) (holders []member.ID, available bool) {
	r := p.organisations[organisation]
	if r == nil {
		return nil, false
	}
	p.updateHolders(r, organisation)
	levels := map[member.ID]float64{}
	for _, id := range r.holders {
		if id == p.self {
			available = available || p.mayIssue(now)
			continue
		}
		if !p.askable[id] {
			continue
		}
		available = true
		level := r.burst()
		if last, ok := r.levels[id]; ok {
			level = min(last.level+r.rate()*now.Sub(last.at).Seconds(), level)
		}
		if level >= 1 {
			levels[id] = level
			holders = append(holders, id)
		}
	}
	// Without the shuffle, all daemons would ask the same one of several holders that seem full.
	p.random.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	slices.SortStableFunc(holders, func(a, b member.ID) int {
		return cmp.Or(cmp.Compare(p.preference(b, levels[b]), p.preference(a, levels[a])),
			cmp.Compare(levels[b]+p.regionBonus(b), levels[a]+p.regionBonus(a)))
	})
	if p.regions != nil && len(holders) > preferredInRegion {
		// Only a few holders are asked. If the first ones turn out to be empty, the others of the region probably are too,
		// whatever they last reported, and another region is asked.
		slices.SortStableFunc(holders[preferredInRegion:], func(a, b member.ID) int {
			return cmp.Compare(levels[b]-p.regionBonus(b), levels[a]-p.regionBonus(a))
		})
	}
	return holders, available
}

// preference returns 1 for a holder in this data centre with enough tokens, 0 for others.
func (p *Pool) preference(id member.ID, level float64) int {
	if level >= minLocalLevel && p.datacentres[id] == p.datacentres[p.self] {
		return 1
	}
	return 0
}

// regionBonus returns regionBonusTokens for a holder in this region, 0 for one in another, or if regions make no difference.
func (p *Pool) regionBonus(id member.ID) float64 {
	if p.regions == nil || p.regions[p.datacentres[id]] != p.regions[p.datacentres[p.self]] {
		return 0
	}
	return regionBonusTokens
}

// RetryAfter returns the advised pause before a refused request is tried again. It is the time
// in which the whole limit refills retryTokens tokens, because other requests of the
// organisation compete for them, from minRetryAfter to maxRetryAfter.
func (p *Pool) RetryAfter(organisation string) time.Duration {
	r := p.organisations[organisation]
	if r == nil || r.limit.Rate <= 0 {
		return maxRetryAfter
	}
	return min(max(time.Duration(float64(time.Second)*retryTokens/r.limit.Rate), minRetryAfter), maxRetryAfter)
}

const (
	// retryTokens is the number of tokens that the limit refills during RetryAfter.
	retryTokens   = 10
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// TimeToNextToken returns the time until this daemon's own share has a token. It reports false if the
// daemon holds no share or the share never reaches a whole token.
func (p *Pool) TimeToNextToken(now time.Time, organisation string) (time.Duration, bool) {
	r := p.organisations[organisation]
	if r == nil {
		return 0, false
	}
	own := p.refill(now, r, organisation)
	if own == nil || r.rate() <= 0 || r.burst() < 1 {
		return 0, false
	}
	return time.Duration(max(0, 1-own.tokens) / r.rate() * float64(time.Second)), true
}

// Describe returns the limit of an organisation, the number of its holders and the
// number of tokens in this daemon's own share.
func (p *Pool) Describe(now time.Time, organisation string) (limit Limit, holders int, own float64) {
	r := p.organisations[organisation]
	if r == nil {
		return Limit{}, 0, 0
	}
	if share := p.refill(now, r, organisation); share != nil {
		own = share.tokens
	}
	return r.limit, len(r.holders), own
}

// SharesHeld returns the number of organisations of whose limits this daemon issues a share.
func (p *Pool) SharesHeld(now time.Time) int {
	n := 0
	for name, r := range p.organisations {
		if p.refill(now, r, name) != nil {
			n++
		}
	}
	return n
}

// mayIssue reports whether this daemon may issue tokens of its shares now.
func (p *Pool) mayIssue(now time.Time) bool {
	isolated := !p.isolatedSince.IsZero() && now.Sub(p.isolatedSince) >= MaxIsolation
	return p.joined && !p.sharesMayHaveMoved && !p.leaving && !isolated
}

// refill brings this daemon's share up to date and returns it. It returns nil if the daemon
// holds no share or must not issue tokens.
func (p *Pool) refill(now time.Time, r *organisationState, organisation string) *ownShare {
	p.updateHolders(r, organisation)
	if !p.mayIssue(now) || !slices.Contains(r.holders, p.self) {
		r.own = nil
		return nil
	}
	if r.own == nil {
		r.own = newShare(now, p.random.Uint64()|1)
	}
	r.own.refill(now, r.rate(), r.burst())
	return r.own
}

// rate returns the rate of one share in tokens a second.
func (r *organisationState) rate() float64 { return r.limit.Rate / float64(max(len(r.holders), 1)) }

// burst returns the size of one share's bucket in tokens.
func (r *organisationState) burst() float64 { return r.limit.Burst / float64(max(len(r.holders), 1)) }

// updateHolders computes the holders of a limit if the members or the limit have changed.
func (p *Pool) updateHolders(r *organisationState, organisation string) {
	if r.holdersVersion == p.membersVersion+1 {
		return
	}
	r.holdersVersion = p.membersVersion + 1
	safetyHolders := min(minHolders+len(p.daemons)/daemonsPerSafetyHolder, maxSafetyHolders)
	wanted := max(
		minHolders,
		min(math.Floor(r.limit.Burst/minSafetyTokens), float64(safetyHolders)),
		min(math.Floor(r.limit.Burst/minTokensPerHolder), math.Ceil(r.limit.Rate/ratePerHolder)))
	// A share with a burst below one token could never issue a token.
	wanted = max(min(wanted, math.Floor(r.limit.Burst)), 1)
	n := int(min(wanted, float64(len(p.daemons))))
	r.holders = p.topRanked(digest(organisation), n)
}

// candidate is a daemon with its rank as a holder for an organisation.
type candidate struct {
	id   member.ID
	rank uint64
}

// topRanked returns the n daemons that are the holders for an organisation, given by its
// digest: the highest-ranked daemon of each data centre in the order of their ranks, then the
// second of each data centre, and so on.
func (p *Pool) topRanked(organisation uint64, n int) []member.ID {
	for place := range p.best {
		p.best[place] = p.best[place][:0]
	}
	for _, d := range p.daemons {
		p.best[d.place] = insertRanked(p.best[d.place], candidate{id: d.id, rank: rank(organisation, d.digest)}, n)
	}
	holders := make([]member.ID, 0, n)
	var ranked []candidate
	for round := 0; len(holders) < n; round++ {
		ranked = ranked[:0]
		for _, found := range p.best {
			if round < len(found) {
				ranked = append(ranked, found[round])
			}
		}
		slices.SortFunc(ranked, byRank)
		if p.regions != nil {
			p.alternateRegions(ranked)
		}
		for _, c := range ranked[:min(len(ranked), n-len(holders))] {
			holders = append(holders, c.id)
		}
	}
	return holders
}

// alternateRegions reorders ranked candidates of different data centres so that the first of each region come before the
// second of any: a region with fewer holders than its part would have to draw from another.
func (p *Pool) alternateRegions(ranked []candidate) {
	seen, place := map[string]int{}, map[member.ID]int{}
	for _, c := range ranked {
		region := p.regions[p.datacentres[c.id]]
		place[c.id] = seen[region]
		seen[region]++
	}
	slices.SortStableFunc(ranked, func(a, b candidate) int { return cmp.Compare(place[a.id], place[b.id]) })
}

// insertRanked inserts c into best, which is sorted by rank, and keeps the n highest.
func insertRanked(best []candidate, c candidate, n int) []candidate {
	if len(best) == n {
		if n == 0 || c.rank <= best[n-1].rank {
			return best
		}
		best = best[:n-1]
	}
	best = append(best, c)
	for at := len(best) - 1; at > 0 && byRank(best[at], best[at-1]) < 0; at-- {
		best[at], best[at-1] = best[at-1], best[at]
	}
	return best
}

// byRank orders candidates by falling rank, and those of equal rank by ID.
func byRank(a, b candidate) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.id, b.id)) }

// digest returns the FNV-1a hash of a name.
func digest(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// rank returns the rendezvous-hashing weight of a daemon for an organisation, both given by
// their digests.
func rank(organisation, id uint64) uint64 {
	// The finaliser of MurmurHash3 spreads the bits.
	x := organisation ^ (id*0x9e3779b97f4a7c15 + 1)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
