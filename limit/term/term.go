// Package term names the durations on which the fleet-wide limits rest and how
// long the giver of a term must wait for it to end.
//
// A term is counted by its user from the moment at which it asked, and by its
// giver from the moment at which it gave. The giver's clock may run slower or
// faster than the user's by up to twice Drift, so the giver waits Wait(d) for a
// term of d.
//
// # Usage
//
//	usableUntil := asked.Add(term.Loan)
//	freeAgain := given.Add(term.Wait(term.Loan + term.Grant))
package term

import "time"

// Durations of the limits.
const (
	// Lease is the time for which a promise or a renewal lets a holder use its own shares.
	Lease = 10 * time.Second
	// Loan is the time for which a holder lends its shares to the shard's acting primary.
	Loan = 2 * time.Second
	// Grant is the longest time for which a daemon may use what a holder lent it.
	Grant = 4 * time.Second
	// Batch is the time for which a daemon may use a batch of tokens that does not refill.
	Batch = 500 * time.Millisecond
	// MaxLapse is the longest time between a draw and the dispatch to a backend server.
	MaxLapse = 100 * time.Millisecond
	// MinLapse is the shortest time between a draw and the dispatch to a backend server.
	MinLapse = 5 * time.Millisecond
)

const (
	// Drift bounds how far the rate of a clock is off true time, as a fraction (500 ppm,
	// the largest slew of NTP).
	Drift = 0.0005
	// waitDivisor makes the giver wait 1/500 longer, twice what two clocks can differ.
	waitDivisor = 500
	// waitFloor covers the granularity of clocks.
	waitFloor = time.Millisecond
	// lapseDivisor keeps what a full bucket loses between draw and dispatch to a twentieth of the burst.
	lapseDivisor = 20
)

// Wait returns how long a giver waits, by its own clock, until a term of d that it gave has surely ended.
func Wait(d time.Duration) time.Duration { return d + d/waitDivisor + waitFloor }

// Lapse returns how long a token drawn from a limit of rate requests per second and the
// burst stays good: a twentieth of the time in which the whole burst refills, within MinLapse and MaxLapse.
func Lapse(rate float64, burst int) time.Duration {
	if rate <= 0 {
		return MaxLapse
	}
	refill := time.Duration(float64(burst) / rate * float64(time.Second) / lapseDivisor)
	return min(max(refill, MinLapse), MaxLapse)
}
