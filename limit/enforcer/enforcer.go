// Package enforcer enforces organisations' rate limits in one daemon: it connects the
// daemon's pool with the mesh, the membership and the clock.
//
// # Usage
//
//	e := enforcer.New(enforcer.Options{Self: "vm-1", Mesh: m, Fleet: membership, Clock: time.Now})
//	defer e.Close()
//	err := m.Register(enforcer.ServiceName, e.Receiver())
//	e.SetConfiguration(snapshot)
//
//	token, err := e.Draw(ctx, "hope-bay-library")
//	var refusal *enforcer.Refusal
//	switch {
//	case errors.As(err, &refusal):
//		// Refuse the request as not run, with refusal.RetryAfter. refusal.Reason is
//		// enforcer.ErrOverLimit, enforcer.ErrNoHolder or enforcer.ErrOutdated.
//	case err == nil && clock().Before(token.Expires):
//		// Run the request, then e.Started(token). If it has certainly not run: e.Return(token).
//	}
//
// A token allows one run on a backend server before it expires. The daemon that writes to
// the backend server must compare its clock with Expires directly before the write. If
// another daemon drew the token, that one has converted Expires to the clock of the daemon
// that writes; a guard whose request comes with an expired token draws one itself.
package enforcer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"berylpass/config/snapshot"
	"berylpass/fleet/member"
	"berylpass/limit/pool"
)

// ServiceName is the name under which the Receiver is registered on the mesh.
const ServiceName = "Limit"

const (
	// DefaultTokenLifetime is the time from the draw in which a token must be used.
	DefaultTokenLifetime = 250 * time.Millisecond
	// QueuedTokenLifetime is the token lifetime for requests that may wait for a slot. A request
	// that waits longer draws another token. A request may run up to the lifetime later than
	// it drew, so each burst is lowered by rate × lifetime.
	QueuedTokenLifetime = 400 * time.Millisecond
	// membersInterval is the interval at which the members are passed to the pool. After a change they are passed
	// membersDelay later, once for all changes in that time: when a fleet starts, or a data centre is lost, hundreds
	// of changes arrive at once, and each update computes the holders of all limits. A share that moves because a daemon
	// has joined is issued twice for this much longer.
	membersInterval = 500 * time.Millisecond
	membersDelay    = 50 * time.Millisecond
	// callTimeout bounds one Lend call to another daemon.
	callTimeout = 250 * time.Millisecond
	// MaxDrawWait bounds the time that Draw waits for the next token of this daemon's own share.
	MaxDrawWait = 100 * time.Millisecond
	// maxHoldersAsked bounds the holders that one draw asks. maxLendCalls bounds its calls in
	// all, because a called daemon whose member list differs may no longer hold a share.
	maxHoldersAsked = 3
	maxLendCalls    = 6
	// noHolderRetryAfter is the advised pause before a retry while no holder can be reached.
	noHolderRetryAfter = 500 * time.Millisecond
	// outdatedRetryAfter is the advised pause before a retry while a holder is outdated. It fetches
	// the newer configuration as soon as it hears of it.
	outdatedRetryAfter = 250 * time.Millisecond
)

var (
	// ErrOverLimit means that the organisation has used up its rate and burst.
	ErrOverLimit = errors.New("organisation is over its limit")
	// ErrNoHolder means that no holder of a share of the organisation's limit could be reached,
	// or that the organisation has no limit.
	ErrNoHolder = errors.New("no holder of the organisation's limit can be reached")
	// ErrOutdated means that a holder which has no token has another limit than this daemon, from
	// an older configuration.
	ErrOutdated = errors.New("a holder of the organisation's limit has an older configuration")
	// ErrNotRenewed means that the daemon that issued a token can't be reached, or no longer holds the share.
	ErrNotRenewed = errors.New("token can't be renewed")
	// ErrClosed means that the enforcer has been closed.
	ErrClosed = errors.New("enforcer is closed")
)

// Refusal is the error of Draw if there is no token. It wraps ErrOverLimit, ErrNoHolder or
// ErrOutdated.
type Refusal struct {
	Organisation string
	// Reason is ErrOverLimit, ErrNoHolder or ErrOutdated.
	Reason error
	// RetryAfter is the advised pause before the next try.
	RetryAfter time.Duration
	// Limit is the limit that was applied.
	Limit pool.Limit
	// Holders is the number of daemons that hold shares of the limit.
	Holders int
	// HoldersAsked is the number of holders that were asked for a token.
	HoldersAsked int
	// OwnLevel is the number of tokens in this daemon's own share.
	OwnLevel float64
}

// Error returns the organisation, the reason and the advised pause.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %v, retry after %s", r.Organisation, r.Reason, r.RetryAfter)
}

func (r *Refusal) Unwrap() error { return r.Reason }

// Token allows one run on a backend server.
type Token struct {
	Organisation string
	// Expires is when the token expires, on the clock of the daemon that drew it.
	Expires time.Time
	// Holder is the daemon that issued the token and ID its ID there, for Renew; empty and 0 for a token that can't be
	// renewed.
	Holder member.ID
	ID     uint64
}

// Mesh makes RPC calls to other daemons.
type Mesh interface {
	Call(ctx context.Context, to member.ID, method string, args, reply any) error
}

// Fleet is the part of the membership that an Enforcer uses.
type Fleet interface {
	Members() []member.Member
	RecordsRead() bool
	Isolated(now time.Time) bool
}

// Slack is how far the runs of an organisation may exceed its limit.
type Slack struct {
	// Share is a fraction of the rate and the burst.
	Share float64
	// Requests is a number of requests in addition.
	Requests float64
}

// enforcedSlackShare and enforcedSlackRequests are the fractions of Slack.Share and Slack.Requests by
// which the enforced limits are raised. The rest covers tokens that are issued twice until
// all daemons have a new daemon in their member lists.
const (
	enforcedSlackShare    = 0.8
	enforcedSlackRequests = 0.6
)

// Options configure an Enforcer.
type Options struct {
	// Self is the ID of this daemon.
	Self member.ID
	// Seed determines in which order this daemon asks equally full holders.
	Seed  uint64
	Mesh  Mesh
	Fleet Fleet
	// Regions is the region of each data centre; nil if regions make no difference. Draws prefer their own region.
	Regions map[string]string
	// Slack is how far each limit may be exceeded; not at all if zero.
	Slack Slack
	// TokenLifetime is the time from the draw in which a token must be used; DefaultTokenLifetime
	// if zero. Each burst is lowered by rate × lifetime, but not below one.
	TokenLifetime time.Duration
	// Clock returns the current time with a monotonic reading.
	Clock func() time.Time
	// HeardRevision is called with the configuration revision of a daemon that asks for tokens
	// of a newer limit than this one has; nil if nobody needs to know. It must not block.
	HeardRevision func(revision uint64, from member.ID)
}

// Enforcer is the rate limiter of one daemon. It is safe for concurrent use.
type Enforcer struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	// membersChanged has a buffer of 1.
	membersChanged chan struct{}

	mu     sync.Mutex
	closed bool
	pool   *pool.Pool
	// revision is the revision of the configuration whose limits the pool has.
	revision uint64
	// waiting holds the organisations for which a draw waits for the next token.
	waiting map[string]bool
}

// New starts an enforcer. It refuses all draws until SetConfiguration sets the limits.
func New(options Options) *Enforcer {
	if options.TokenLifetime == 0 {
		options.TokenLifetime = DefaultTokenLifetime
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Enforcer{
		options: options, ctx: ctx, cancel: cancel, pool: pool.New(options.Self, options.Seed, pool.WithRegions(options.Regions)), waiting: map[string]bool{},
		membersChanged: make(chan struct{}, 1),
	}
	e.wait.Go(e.followMembers)
	return e
}

// followMembers passes the members to the pool at each interval and after changes.
func (e *Enforcer) followMembers() {
	ticker := time.NewTicker(membersInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
		case <-e.membersChanged:
			select {
			case <-e.ctx.Done():
				return
			case <-time.After(membersDelay):
			}
		}
		e.UpdateMembers()
	}
}

// MembersChanged makes the enforcer pass the members of the fleet to the pool soon.
func (e *Enforcer) MembersChanged() {
	select {
	case e.membersChanged <- struct{}{}:
	default:
	}
}

// Close stops the enforcer and waits for its goroutines.
func (e *Enforcer) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.cancel()
	e.wait.Wait()
}

// SetConfiguration applies the organisations' limits of a snapshot.
func (e *Enforcer) SetConfiguration(s snapshot.Snapshot) {
	limits := make(map[string]pool.Limit, len(s.Organisations))
	for name, o := range s.Organisations {
		limits[name] = e.options.Slack.limit(o.Rate, float64(o.Burst), e.options.TokenLifetime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pool.SetLimits(e.options.Clock(), limits)
	e.revision = s.Revision
}

// limit returns the limit to enforce: rate and burst raised by the slack, and the burst
// lowered by rate × lifetime, because requests may run up to the lifetime of a token later than
// they drew it, but not below one.
func (s Slack) limit(rate, burst float64, life time.Duration) pool.Limit {
	rate *= 1 + enforcedSlackShare*s.Share
	burst = burst*(1+enforcedSlackShare*s.Share) + enforcedSlackRequests*s.Requests
	return pool.Limit{Rate: rate, Burst: max(burst-rate*life.Seconds(), min(burst, 1))}
}

// UpdateMembers passes the current members of the fleet to the pool at once.
func (e *Enforcer) UpdateMembers() {
	now := e.options.Clock()
	members, joined, isolated := e.options.Fleet.Members(), e.options.Fleet.RecordsRead(), e.options.Fleet.Isolated(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	// RecordsRead can stay false: the membership stops reading once it knows another daemon.
	e.pool.SetMembers(now, members, joined || len(members) > 1, isolated)
}

// Draw takes a token for one run: from this daemon's own share, else from another
// holder, else from the own share after a wait of up to MaxDrawWait. Its error is a *Refusal or
// ErrClosed; in both cases the request must not run.
func (e *Enforcer) Draw(ctx context.Context, organisation string) (Token, error) {
	now := e.options.Clock()
	token := Token{Organisation: organisation, Expires: now.Add(e.options.TokenLifetime)}
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return Token{}, ErrClosed
	}
	if id, ok := e.pool.TakeFrom(now, organisation); ok {
		e.mu.Unlock()
		return token.from(e.options.Self, id), nil
	}
	holders, reachable := e.pool.HoldersToAsk(now, organisation)
	refusal := &Refusal{Organisation: organisation, RetryAfter: e.pool.RetryAfter(organisation)}
	refusal.Limit, refusal.Holders, refusal.OwnLevel = e.pool.Describe(now, organisation)
	e.mu.Unlock()
	holderReached, outdated := reachable && len(holders) == 0, false
	for _, holder := range holders[:min(len(holders), maxLendCalls)] {
		lent, err := e.borrow(ctx, holder, organisation)
		if err == nil && lent.Tokens > 0 {
			return token.from(holder, lent.ID), nil
		}
		// An outdated holder is not counted, so that another one is asked in its place.
		outdated = outdated || lent.Outdated
		holderReached = holderReached || lent.Holder && !lent.Outdated
		if err != nil || lent.Holder && !lent.Outdated {
			refusal.HoldersAsked++
		}
		if refusal.HoldersAsked >= maxHoldersAsked {
			break
		}
	}
	switch {
	case outdated:
		refusal.Reason, refusal.RetryAfter = ErrOutdated, outdatedRetryAfter
	case !holderReached:
		refusal.Reason, refusal.RetryAfter = ErrNoHolder, noHolderRetryAfter
	default:
		refusal.Reason = ErrOverLimit
	}
	if holderReached || outdated {
		if id, ok := e.waitForOwnToken(ctx, organisation); ok {
			token.Expires = e.options.Clock().Add(e.options.TokenLifetime)
			return token.from(e.options.Self, id), nil
		}
	}
	return Token{}, refusal
}

// from returns a copy of t that a holder issued under an ID; with an ID of 0 it can't be renewed.
func (t Token) from(holder member.ID, id uint64) Token {
	if id != 0 {
		t.Holder, t.ID = holder, id
	}
	return t
}

// Renew replaces an expired token, with which nothing has run or will run, by a new one of the same holder. A request
// that has waited longer than a token lives keeps its place so: drawing another token, in competition with new
// requests, would waste the first one. Its error wraps ErrNotRenewed; then only Draw helps.
func (e *Enforcer) Renew(ctx context.Context, t Token) (Token, error) {
	if t.ID == 0 {
		return Token{}, ErrNotRenewed
	}
	asked := e.options.Clock()
	reply := Renewed{}
	if t.Holder == e.options.Self {
		reply = e.renewOwn(t.Organisation, t.ID)
	} else {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := e.options.Mesh.Call(ctx, t.Holder, ServiceName+".Renew", Renewal{Organisation: t.Organisation, ID: t.ID}, &reply); err != nil {
			return Token{}, fmt.Errorf("%w: %w", ErrNotRenewed, err)
		}
	}
	if !reply.OK {
		return Token{}, ErrNotRenewed
	}
	t.ID, t.Expires = reply.ID, asked.Add(e.options.TokenLifetime)
	return t, nil
}

// renewOwn renews a token of this daemon's share.
func (e *Enforcer) renewOwn(organisation string, id uint64) Renewed {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return Renewed{}
	}
	renewed, ok := e.pool.Renew(e.options.Clock(), organisation, id)
	return Renewed{ID: renewed, OK: ok}
}

// waitForOwnToken takes the next token of this daemon's own share if it comes within MaxDrawWait,
// which is sooner than a refused caller would retry. Only one draw per organisation waits at
// a time. It returns the token's ID and whether it got the token.
func (e *Enforcer) waitForOwnToken(ctx context.Context, organisation string) (id uint64, ok bool) {
	e.mu.Lock()
	wait, ok := e.pool.TimeToNextToken(e.options.Clock(), organisation)
	if !ok || wait > MaxDrawWait || e.waiting[organisation] {
		e.mu.Unlock()
		return 0, false
	}
	e.waiting[organisation] = true
	e.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiting, organisation)
	if ctx.Err() != nil || e.closed {
		return 0, false
	}
	return e.pool.TakeFrom(e.options.Clock(), organisation)
}

// borrow asks another holder for one token and records the level that the holder reports,
// unless that is a level of an older limit.
func (e *Enforcer) borrow(ctx context.Context, holder member.ID, organisation string) (Lent, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.mu.Lock()
	limit, _, _ := e.pool.Describe(e.options.Clock(), organisation)
	args := Borrow{Organisation: organisation, Tokens: 1, Revision: e.revision, From: e.options.Self, Limit: limit}
	e.mu.Unlock()
	var reply Lent
	if err := e.options.Mesh.Call(ctx, holder, ServiceName+".Lend", args, &reply); err != nil {
		return Lent{}, err
	}
	if reply.Outdated {
		return reply, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pool.RecordLevel(e.options.Clock(), organisation, holder, reply.Level)
	return reply, nil
}

// Started reports that the attempt for which a token was drawn may have run. A token is used
// up when it is drawn, so Started does nothing; the interfaces Limit of ingress and guard
// require it.
func (e *Enforcer) Started(Token) {}

// Return gives back a token whose attempt has certainly not run and never will.
func (e *Enforcer) Return(t Token) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t.ID != 0 && t.Holder == e.options.Self {
		e.pool.TakeBack(e.options.Clock(), t.Organisation, t.ID)
		return
	}
	e.pool.Return(e.options.Clock(), t.Organisation, t.Expires)
}

// SharesHeld returns the number of organisations of whose limits this daemon issues a share.
func (e *Enforcer) SharesHeld() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.SharesHeld(e.options.Clock())
}

// Leave stops issuing and lending tokens: the shares of a daemon that leaves move to others
// at once.
func (e *Enforcer) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pool.Leave()
}
