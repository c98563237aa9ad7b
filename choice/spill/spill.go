// Package spill decides which requests of one daemon leave its region.
//
// The load that it answers: two or more regions, each with backend servers of every
// service, whose demand swings with shifted phases, so that one region lacks slots for some
// seconds while the other has some free. The link between them is slow, shared by all
// traffic, and dear. A request stays in its region while the region can serve it; of what is
// beyond the region's room, the requests that are cheap to move go first, and all daemons of
// the region together keep to a share of the link.
//
// The room of the region is judged by the loads that its guards report with their answers:
// requests that run or wait, as a share of the slots, averaged over reports of the last
// seconds. It is a property of the region and not of one backend server, so a single long
// queue moves nothing out. While the average is above openLoad, the fraction of requests that
// leave rises step by step; it falls below closeLoad, and stays between the two. Daemons
// that hear the same reports therefore neither all send away at once nor all come back at
// once. The fraction goes from 0 to 2: up to 1 it moves only light requests, from 1 to 2
// also heavy ones, those with large bodies or answers. What is known of the region's load is
// up to seconds old, so a light request leaves only after a backend server here has refused
// it; a heavy one would be sent twice.
//
// Other regions are known by the answers from there only. While nothing is known, few requests
// leave; none do while the average load there is above closeLoad too, as when the backend
// servers of all regions refuse requests.
//
// No daemon coordinates: each has an equal part of the share, the share divided by the
// number of live daemons of the region, as a token bucket in bytes. A daemon whose region
// has no backend server left for a request uses the same bucket. Requests that must not run
// in this region are neither refused nor charged, since their only place is elsewhere.
//
// # Usage
//
//	s := spill.New(seed)
//	s.SetRate(now, bytesPerSecond)              // this daemon's part of the share
//	s.Observe(now, "rounds", load)              // a report from the own region
//	s.ObserveAbroad(now, "rounds", load)        // a report from another one
//	if s.Allow(now, "rounds", r) { s.Charge(now, r.Bytes) }
//	s.Charge(now, answerBytes)                  // once the answer's size is known
//
// Loads are in requests per slot, sizes in bytes. A Spill is not safe for concurrent use.
package spill

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// openLoad is the region's load from which requests leave: all slots are in use, and some requests wait.
	openLoad = 1.15
	// closeLoad is the load below which they come back: the region has free slots again.
	closeLoad = 0.9
	// roomLoad is the load, this request included, up to which a backend server has a slot for it.
	roomLoad = 1
	// observationTime is the time constant of the average load. It covers some requests of each ingress,
	// since one ingress of a large fleet hears a few reports a second.
	observationTime = time.Second
	// minReports is the weight of recent reports without which the region's load counts as unknown.
	minReports = 2
	// minAbroadReports is the same for other regions, of which fewer reports come: one counts for 3.6 s.
	minAbroadReports = 0.3
	// stepInterval is the time between two steps of the fraction: several round trips to another region, so
	// that a step shows in the reports before the next.
	stepInterval = 250 * time.Millisecond
	// riseStep and fallStep are the changes of the fraction in a step. They are small because many daemons change theirs
	// by the same reports; with larger ones the load swings.
	riseStep = 0.1
	fallStep = 0.2
	// maxFraction is the fraction at which all requests may leave.
	maxFraction = 2
	// abroadTime is the time constant of the average load in other regions, which is heard of by the requests that leave.
	abroadTime = 3 * time.Second
	// explorationFraction is the fraction of the requests that leave at most while nothing is known of other regions.
	explorationFraction = 0.05
	// lastResortFraction is the same for light requests that all backend servers of the own region have refused: a try
	// that fails costs about as much as it gains if one in four succeeds.
	lastResortFraction = 0.3
	// HeavyBytes is the size of a body from which a request is heavy.
	HeavyBytes = 8 << 10
	// burstTime is the time for which unused bytes are saved.
	burstTime = 2 * time.Second
	// maxDebtTime bounds the time for which nothing leaves after an answer that was larger than this daemon's part. A
	// request whose body alone is larger than its part in that time doesn't leave.
	maxDebtTime = 10 * time.Second
	// minGain is how much lower the load abroad must be, in requests per slot.
	minGain = 0.25
)

// Request describes a request that could leave the region.
type Request struct {
	// Bytes is the length of its body.
	Bytes int
	// LargeAnswer reports whether its answer is likely to be large.
	LargeAnswer bool
	// Here and There are the loads, this request included, of the backend servers that it would go to in this
	// region and in another one. Here is positive infinity if this region has none.
	Here, There float64
	// Tried reports whether a backend server in this region has refused it.
	Tried bool
	// Exhausted reports whether all backend servers in use in this region have refused it; Here doesn't count then.
	Exhausted bool
	// Forced reports whether the request must not run in this region.
	Forced bool
}

// heavy reports whether the request leaves only after all light ones.
func (r Request) heavy() bool { return r.LargeAnswer || r.Bytes > HeavyBytes }

// Counts are what a Spill has let out and kept back since the start.
type Counts struct {
	// Requests and Bytes have left the region, with their answers. Kept is the number of requests that stayed
	// for lack of this daemon's part of the share.
	Requests, Bytes, Kept int64
}

// Spill is the state of one daemon.
type Spill struct {
	random *rand.Rand
	// rate is this daemon's part of the share in bytes a second, tokens are the bytes that it may send now.
	rate, tokens float64
	at           time.Time
	services     map[string]*room
	// abroad holds the loads that guards of other regions report.
	abroad map[string]*room
	counts Counts
}

// room is what is known of the room for one service in this region.
type room struct {
	// sum and weight are the decayed sums of the reported loads and of their number.
	sum, weight float64
	at          time.Time
	// fraction of the requests leave; see the package comment.
	fraction  float64
	steppedAt time.Time
}

// New returns a Spill that lets no request out until SetRate has been called. The seed determines its random choices.
func New(seed uint64) *Spill {
	return &Spill{random: rand.New(rand.NewPCG(seed, seed)), services: map[string]*room{}, abroad: map[string]*room{}}
}

// SetRate sets this daemon's part of the share in bytes a second.
func (s *Spill) SetRate(now time.Time, bytesPerSecond float64) {
	s.refill(now)
	s.rate = bytesPerSecond
}

// Observe records the load that a guard of this region reports for one of its backend servers.
func (s *Spill) Observe(now time.Time, service string, load float64) {
	r := s.room(service)
	r.decay(now, observationTime)
	r.sum += load
	r.weight++
	r.step(now)
}

// ObserveAbroad records the load that a guard of another region reports for one of its backend servers.
func (s *Spill) ObserveAbroad(now time.Time, service string, load float64) {
	r := s.abroad[service]
	if r == nil {
		r = &room{}
		s.abroad[service] = r
	}
	r.decay(now, abroadTime)
	r.sum += load
	r.weight++
}

// usable returns the fraction up to which requests of a service may leave, by what is known of other regions: none if they
// lack room as well.
func (s *Spill) usable(now time.Time, service string) float64 {
	r := s.abroad[service]
	if r == nil {
		return explorationFraction
	}
	r.decay(now, abroadTime)
	switch {
	case r.weight < minAbroadReports:
		return explorationFraction
	case r.sum/r.weight >= closeLoad:
		return 0
	}
	return maxFraction
}

// Allow reports whether the request may leave the region. The caller must call Charge if the request does.
func (s *Spill) Allow(now time.Time, service string, q Request) bool {
	if q.Forced {
		return true
	}
	switch {
	case q.Exhausted:
		if !s.lastResort(now, service, q) {
			return false
		}
	case !math.IsInf(q.Here, 1) && !s.wanted(now, service, q):
		return false
	}
	s.refill(now)
	if s.tokens <= 0 || float64(q.Bytes) > s.rate*maxDebtTime.Seconds() {
		s.counts.Kept++
		return false
	}
	return true
}

// lastResort reports whether a request that nobody in this region takes leaves. A light one is tried more often than others
// where nothing is known, and a heavy one, which costs too much, only where there is room.
func (s *Spill) lastResort(now time.Time, service string, q Request) bool {
	share := s.usable(now, service)
	switch {
	case share > 1:
		return true
	case share == 0 || q.heavy():
		return false
	}
	return s.random.Float64() < lastResortFraction
}

// wanted reports whether the region lacks room and the request is among those that leave.
func (s *Spill) wanted(now time.Time, service string, q Request) bool {
	r := s.room(service)
	r.decay(now, observationTime)
	r.step(now)
	if q.Here <= roomLoad || q.There+minGain > q.Here {
		return false
	}
	share := min(r.fraction, s.usable(now, service))
	if q.heavy() {
		share--
	} else if !q.Tried {
		return false
	}
	return share > 0 && s.random.Float64() < share
}

// Charge withdraws the bytes of a request that leaves the region, or of its answer, from this daemon's part. What
// exceeds the part is a debt, which later requests wait for, but not longer than maxDebtTime.
func (s *Spill) Charge(now time.Time, bytes int) {
	s.refill(now)
	s.tokens = max(s.tokens-float64(bytes), -s.rate*maxDebtTime.Seconds())
	s.counts.Bytes += int64(bytes)
}

// Left counts a request that has left the region.
func (s *Spill) Left() { s.counts.Requests++ }

// Counts returns the counts since the start.
func (s *Spill) Counts() Counts { return s.counts }

// Load returns the average load that the guards of the region reported lately for the service, 0 if too few did.
func (s *Spill) Load(now time.Time, service string) float64 {
	r := s.services[service]
	if r == nil {
		return 0
	}
	r.decay(now, observationTime)
	return r.load()
}

// Fraction returns the fraction of the service's requests that leave, from 0 to 2.
func (s *Spill) Fraction(now time.Time, service string) float64 {
	r := s.services[service]
	if r == nil {
		return 0
	}
	r.decay(now, observationTime)
	r.step(now)
	return r.fraction
}

// refill adds the bytes of the time since the last call.
func (s *Spill) refill(now time.Time) {
	if s.at.IsZero() {
		s.at = now
	}
	if passed := now.Sub(s.at); passed > 0 {
		s.tokens = min(s.tokens+s.rate*passed.Seconds(), s.rate*burstTime.Seconds())
		s.at = now
	}
}

// room returns the room of a service and creates it if necessary.
func (s *Spill) room(service string) *room {
	r := s.services[service]
	if r == nil {
		r = &room{}
		s.services[service] = r
	}
	return r
}

// decay reduces the weight of earlier reports.
func (r *room) decay(now time.Time, constant time.Duration) {
	if passed := now.Sub(r.at); passed > 0 {
		f := math.Exp(-float64(passed) / float64(constant))
		r.sum, r.weight = r.sum*f, r.weight*f
		r.at = now
	}
}

// step changes the fraction by the steps that are due. Without recent reports it falls: what isn't known to be full
// is tried first.
func (r *room) step(now time.Time) {
	if r.steppedAt.IsZero() {
		r.steppedAt = now
	}
	steps := float64(now.Sub(r.steppedAt) / stepInterval)
	if steps < 1 {
		return
	}
	r.steppedAt = now
	switch load := r.load(); {
	case load > openLoad:
		// After a gap one step is enough: what happened in it isn't known.
		r.fraction = min(r.fraction+riseStep, maxFraction)
	case load < closeLoad:
		r.fraction = max(r.fraction-fallStep*steps, 0)
	}
}

// load returns the average reported load, 0 if it is unknown.
func (r *room) load() float64 {
	if r.weight < minReports {
		return 0
	}
	return r.sum / r.weight
}
