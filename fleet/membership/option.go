package membership

import (
	"time"

	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/fleet/roster"
)

type options struct {
	seeds        []string
	randomSeed   uint64
	clock        func() time.Time
	onMember     func(member.Member)
	onBackend    func(backend.Backend)
	onClock      func(roster.ClockReported)
	onRaised     func(incarnation uint64)
	onSuperseded func(incarnation uint64)
	// roster are the options for the roster.
	roster []roster.Option
	// withoutChecks disables the membership's own checks of the store.
	withoutChecks bool
	// recordKnown reports whether recordVersion is the version of the daemon's own
	// record in the store, 0 if there is none.
	recordKnown   bool
	recordVersion uint64
	// listing holds the records that were read at the start; its version is 0 if there are none.
	listing listing
}

// Option configures a Membership.
type Option func(*options)

// WithSeeds sets the control addresses (host:port) of other daemons, by which this one
// can join while the store is unavailable.
func WithSeeds(addresses ...string) Option { return func(o *options) { o.seeds = addresses } }

// WithoutStoreChecks disables the calls that check whether the store answers. The user
// of the Membership then reports this by StoreAnswered.
func WithoutStoreChecks() Option { return func(o *options) { o.withoutChecks = true } }

// WithRandomSeed seeds the random choice of probed members and helpers.
func WithRandomSeed(seed uint64) Option { return func(o *options) { o.randomSeed = seed } }

// WithClock sets the function that returns the time, by default time.Now.
func WithClock(clock func() time.Time) Option { return func(o *options) { o.clock = clock } }

// WithOnMember sets the function that is called with each new state of a daemon. For
// this daemon itself it is called only when it leaves.
func WithOnMember(f func(member.Member)) Option { return func(o *options) { o.onMember = f } }

// WithOnBackend sets the function that is called with each new state of a backend
// server.
func WithOnBackend(f func(backend.Backend)) Option { return func(o *options) { o.onBackend = f } }

// WithOnClock sets the function that is called with the sender's clock reading in each
// message.
func WithOnClock(f func(roster.ClockReported)) Option { return func(o *options) { o.onClock = f } }

// WithRegions keeps probes and gossip within the regions, which are given by data centre; see roster.WithRegions.
func WithRegions(regions map[string]string) Option {
	return func(o *options) { o.roster = append(o.roster, roster.WithRegions(regions)) }
}

// WithStart passes on what NewStart found of earlier runs. If the incarnation is not
// confirmed, an earlier run may have had a higher one; the daemon then raises its own
// above it. The daemon joins with the records that NewStart has read.
func WithStart(s Start) Option {
	return func(o *options) {
		if !s.Confirmed {
			o.roster = append(o.roster, roster.WithUnconfirmedIncarnation())
			return
		}
		o.recordKnown, o.recordVersion, o.listing = true, s.RecordVersion, s.listing
	}
}

// WithOnIncarnationRaised sets the function that is called with the new incarnation when this
// daemon raises its own.
func WithOnIncarnationRaised(f func(incarnation uint64)) Option {
	return func(o *options) { o.onRaised = f }
}

// WithOnSuperseded sets the function that is called when a daemon with the same ID and
// a higher incarnation, which is passed to it, has started.
func WithOnSuperseded(f func(incarnation uint64)) Option {
	return func(o *options) { o.onSuperseded = f }
}
