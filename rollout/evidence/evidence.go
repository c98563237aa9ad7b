// Package evidence compares the answers of a new version of a service with those that the old one gives at the same
// time, by route.
//
// Guards count answers by route, outcome and service time. For each route a cumulative sum of log-likelihood ratios
// (E. S. Page, Continuous Inspection Schemes, 1954) tells whether the new version fails, or is slow, at a rate that is
// a quarter of all answers above the old version's; slow is an answer that takes three times what the old version
// takes at present. The old version's rates follow its last seconds, so a fault of something that both need, or a
// burst of load, counts for neither. A single faulty backend server is no evidence against its version, unless it is
// the only one.
//
// # Usage
//
//	e := evidence.New()
//	e.Add(now, evidence.Report{Server: id, Cells: cells}, evidence.OldVersion) // cells count from the order on
//	if reason := e.Verdict(); reason != evidence.None { ... }
package evidence

import (
	"cmp"
	"math"
	"math/bits"
	"time"

	"berylpass/fleet/backend"
)

// Cell counts answers of one route with the same outcome and nearly the same service time.
type Cell struct {
	Route  string
	Failed bool
	// Bucket is the service time; see BucketOf.
	Bucket uint8
	Count  uint32
}

// Report holds what a guard has counted for one backend server since it learnt of the order.
type Report struct {
	Server      backend.ID
	Incarnation uint64
	// Since is when the guard began to count, on a clock of its VM that only goes forward: a later count replaces an
	// earlier one, and of one count the report with the most requests is the latest.
	Since int64
	// Sent is the number of requests sent to the backend server.
	Sent  uint32
	Cells []Cell
	// Running holds the requests that run now, by the time for which they have run so far.
	Running []Cell
}

// maxBucket is the bucket of the longest service times.
const maxBucket = 63

// BucketOf returns the bucket of a service time: buckets are half a power of two wide, from a millisecond on.
func BucketOf(took time.Duration) uint8 {
	ms := uint64(max(took.Milliseconds(), 1))
	power := bits.Len64(ms) - 1
	bucket := 2 * power
	if float64(ms) >= math.Sqrt2*float64(uint64(1)<<power) {
		bucket++
	}
	return uint8(min(bucket, maxBucket))
}

// level returns the service time in the middle of a bucket.
func level(bucket float64) time.Duration {
	return time.Duration(math.Exp2((bucket+0.5)/2) * float64(time.Millisecond))
}

// Version says which version a report is of.
type Version uint8

// The versions.
const (
	OldVersion Version = iota
	NewVersion
)

// Reason says in what way the new version is worse.
type Reason string

// The reasons.
const (
	None    Reason = ""
	Failing Reason = "failing"
	Slow    Reason = "slow"
)

const (
	// significance is the evidence in nats at which the new version is bad: at the old version's own rate, one series
	// of answers in e^9, about 8,000, gets there.
	significance = 9
	// doubt is the evidence from which the new version must not get more requests.
	doubt = 6
	// excess is the difference of the rates, as a share of the answers, that the test looks for.
	excess = 0.2
	// maxExcessBad is the number of bad answers, above what the old version's rate explains, at which the new version
	// is bad on any number of backend servers. A roll-back must follow the 50th bad answer within seconds.
	maxExcessBad = 20
	// othersShare is the least share of the bad answers that must come from other backend servers than the worst one.
	othersShare = 0.25
	// decayTime is the time constant with which answers of the old version lose weight.
	decayTime = 5 * time.Second
	// priorAnswers and priorBad are the answers that the old version is taken to have given beside those counted.
	priorAnswers, priorBad = 20, 0.4
	// maxOldRate bounds the old version's rate, so that a new version is comparable while the old one fails too.
	maxOldRate = 0.6
	// slowBuckets is the distance in buckets from the old version's mean at which an answer is slow: a factor of
	// three.
	slowBuckets = 3.2
	// warmUp is the time after a backend server's first report for which its slow answers don't count, because one that
	// has just started is slow.
	warmUp = 3 * time.Second
)

// Evidence is what is known of one order. It is not safe for concurrent use.
type Evidence struct {
	servers map[backend.ID]*server
	routes  map[string]*route
	// failing and slow are the evidence of all routes together, each answer against the old version's rate on its
	// route.
	failing, slow suspicion
}

// server is the last report of a backend server.
type server struct {
	version     Version
	incarnation uint64
	since       int64
	sent        uint32
	cells       map[Cell]uint32
	firstReport time.Time
	running     []Cell
}

// route is the evidence of one route.
type route struct {
	// old holds the decayed counts of the old version by bucket, oldFailed those of its failures.
	old       [maxBucket + 1]float64
	oldFailed float64
	decayedAt time.Time
	// oldAnswers and newAnswers count all answers.
	oldAnswers, newAnswers int
	failing, slow          suspicion
}

// suspicion is the evidence for one reason on one route.
type suspicion struct {
	sum float64
	// excessBad is the number of bad answers above the old version's rate.
	excessBad float64
	// bad counts the bad answers by backend server.
	bad      map[backend.ID]int
	answered map[backend.ID]bool
}

// New returns the evidence of an order of which nothing is known.
func New() *Evidence {
	return &Evidence{servers: map[backend.ID]*server{}, routes: map[string]*route{}, failing: newSuspicion(), slow: newSuspicion()}
}

// Add adds the report of a backend server. It ignores a report that comes after a later one.
func (e *Evidence) Add(now time.Time, r Report, v Version) {
	s := e.servers[r.Server]
	if s != nil && r.before(s) {
		return
	}
	if s == nil || s.incarnation != r.Incarnation || s.since != r.Since {
		s = &server{version: v, incarnation: r.Incarnation, since: r.Since, cells: map[Cell]uint32{}, firstReport: now}
		e.servers[r.Server] = s
	}
	s.sent, s.running = r.Sent, r.Running
	for _, c := range r.Cells {
		if c.Bucket > maxBucket {
			continue
		}
		key := Cell{Route: c.Route, Failed: c.Failed, Bucket: c.Bucket}
		added := int64(c.Count) - int64(s.cells[key])
		if added <= 0 {
			continue
		}
		s.cells[key] = c.Count
		if v == OldVersion {
			e.route(c.Route).addOld(now, key, float64(added))
		} else {
			e.addNew(now, r.Server, key, float64(added), now.Sub(s.firstReport) >= warmUp)
		}
	}
}

// before reports whether r was made before the last report of s.
func (r Report) before(s *server) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, s.incarnation), cmp.Compare(r.Since, s.since), cmp.Compare(r.Sent, s.sent)) < 0
}

func (e *Evidence) route(name string) *route {
	if e.routes[name] == nil {
		e.routes[name] = &route{failing: newSuspicion(), slow: newSuspicion()}
	}
	return e.routes[name]
}

func newSuspicion() suspicion {
	return suspicion{bad: map[backend.ID]int{}, answered: map[backend.ID]bool{}}
}

// Verdict returns why the new version is bad, None if it isn't known to be.
func (e *Evidence) Verdict() Reason {
	switch {
	case e.failing.significant(significance):
		return Failing
	case e.slow.significant(significance):
		return Slow
	}
	for name, r := range e.routes {
		if r.failing.significant(significance) {
			return Failing
		}
		if r.slow.significant(significance) || e.overdue(name, r) {
			return Slow
		}
	}
	return None
}

// Doubtful reports whether there is some evidence against the new version.
func (e *Evidence) Doubtful() bool {
	if e.failing.sum >= doubt || e.slow.sum >= doubt {
		return true
	}
	for _, r := range e.routes {
		if r.failing.sum >= doubt || r.slow.sum >= doubt {
			return true
		}
	}
	return false
}

// Answers returns the number of answers of the old and the new version.
func (e *Evidence) Answers() (ofOld, ofNew int) {
	for _, r := range e.routes {
		ofOld, ofNew = ofOld+r.oldAnswers, ofNew+r.newAnswers
	}
	return ofOld, ofNew
}

// Covers reports whether the new version has answered at least the given number of requests on each route on which
// the old one has answered at least ofOld.
func (e *Evidence) Covers(ofOld, ofNew int) bool {
	for _, r := range e.routes {
		if r.oldAnswers >= ofOld && r.newAnswers < ofNew {
			return false
		}
	}
	return true
}

// Sent returns the number of requests sent to all backend servers and to those of the new version.
func (e *Evidence) Sent() (all, toNew int) {
	for _, s := range e.servers {
		all += int(s.sent)
		if s.version == NewVersion {
			toNew += int(s.sent)
		}
	}
	return all, toNew
}

// OldServiceTime returns the mean service time of the old version, zero if it isn't known.
func (e *Evidence) OldServiceTime() time.Duration {
	sum, count := 0.0, 0.0
	for _, r := range e.routes {
		for bucket, n := range r.old {
			sum, count = sum+float64(level(float64(bucket)))*n, count+n
		}
	}
	if count < 1 {
		return 0
	}
	return time.Duration(sum / count)
}

// overdue reports whether so many requests of a route have run at the new version's backend servers for so long that
// they will be slow answers, or none, that these would be significant.
func (e *Evidence) overdue(name string, r *route) bool {
	p0, limit := r.slowRate()
	all := r.slow
	all.bad = map[backend.ID]int{}
	for id, s := range e.servers {
		for _, c := range s.running {
			if s.version == NewVersion && c.Route == name && float64(c.Bucket) >= limit && len(s.cells) > 0 {
				all.bad[id] += int(c.Count)
				all.sum += float64(c.Count) * math.Log(shifted(p0)/p0)
			}
		}
	}
	if len(all.bad) == 0 {
		return false
	}
	for id, n := range r.slow.bad {
		all.bad[id] += n
	}
	return all.significant(significance)
}

// addOld counts answers of the old version.
func (r *route) addOld(now time.Time, c Cell, n float64) {
	r.decay(now)
	r.oldAnswers += int(n)
	if c.Failed {
		r.oldFailed += n
		return
	}
	r.old[c.Bucket] += n
}

// decay lets the answers of the old version lose weight.
func (r *route) decay(now time.Time) {
	factor := math.Exp(-float64(max(0, now.Sub(r.decayedAt))) / float64(decayTime))
	if r.decayedAt.IsZero() {
		factor = 1
	}
	r.decayedAt = now
	r.oldFailed *= factor
	for i := range r.old {
		r.old[i] *= factor
	}
}

// addNew counts answers of a backend server of the new version; its slow ones only if warm is true.
func (e *Evidence) addNew(now time.Time, from backend.ID, c Cell, n float64, warm bool) {
	r := e.route(c.Route)
	r.decay(now)
	r.newAnswers += int(n)
	p0 := r.failureRate()
	r.failing.add(from, p0, c.Failed, n)
	e.failing.add(from, p0, c.Failed, n)
	if c.Failed || !warm {
		return
	}
	p0, limit := r.slowRate()
	if math.IsInf(limit, 1) {
		return
	}
	r.slow.add(from, p0, float64(c.Bucket) >= limit, n)
	e.slow.add(from, p0, float64(c.Bucket) >= limit, n)
}

// failureRate returns the share of the old version's answers that are failures.
func (r *route) failureRate() float64 {
	answers := r.oldFailed
	for _, n := range r.old {
		answers += n
	}
	return min((r.oldFailed+priorBad)/(answers+priorAnswers), maxOldRate)
}

// slowRate returns the bucket from which an answer is slow, and the share of the old version's answers that are; the
// bucket is infinite if the old version has no answers to compare with.
func (r *route) slowRate() (rate, limit float64) {
	sum, count := 0.0, 0.0
	for bucket, n := range r.old {
		sum, count = sum+float64(bucket)*n, count+n
	}
	if count < 1 {
		return priorBad / priorAnswers, math.Inf(1)
	}
	limit = sum/count + slowBuckets
	slow := 0.0
	for bucket, n := range r.old {
		if float64(bucket) >= limit {
			slow += n
		}
	}
	return min((slow+priorBad)/(count+priorAnswers), maxOldRate), limit
}

// shifted returns the rate that the test looks for if the old version's is p0.
func shifted(p0 float64) float64 { return p0 + excess }

// add adds n answers, which are bad or not, of a backend server; p0 is the old version's rate.
func (s *suspicion) add(from backend.ID, p0 float64, bad bool, n float64) {
	s.answered[from] = true
	if bad {
		s.bad[from] += int(n)
		s.sum += n * math.Log(shifted(p0)/p0)
		s.excessBad += n * (1 - p0)
		return
	}
	s.sum = max(0, s.sum+n*math.Log((1-shifted(p0))/(1-p0)))
	s.excessBad -= n * p0
}

// significant reports whether the evidence reaches a number of nats and isn't that of a single one of several backend
// servers, or whether there are too many bad answers in any case.
func (s *suspicion) significant(nats float64) bool {
	if s.sum < nats {
		return false
	}
	total, worst := 0, 0
	for _, n := range s.bad {
		total, worst = total+n, max(worst, n)
	}
	return len(s.answered) < 2 || s.excessBad >= maxExcessBad || float64(total-worst) >= othersShare*float64(total)
}
