package picker

import (
	"slices"
	"strings"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/breaker"
	"berylpass/choice/evidence"
	"berylpass/choice/floor"
	"berylpass/choice/probation"
	"berylpass/choice/report"
	"berylpass/config/class"
	"berylpass/config/service"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// inFlightAttempt is an attempt that has no answer yet.
type inFlightAttempt struct {
	attempt id.ID
	class   class.Class
	sent    time.Time
	// forced reports whether it was sent to another region because it must not run in this one.
	forced bool
}

// record is the state that a backend server and a path have in common: probation, suspicion and the results of a
// trial.
type record struct {
	probation probation.Probation
	reason    Reason
	// suspect is the reason why a backend server is currently suspected. It is ejected only once the suspicion
	// has lasted for confirmTime.
	suspect Reason
	// suspectSince is when the suspicion, or the series of path failures, began.
	suspectSince time.Time
	// significantSince is when the evidence became strong enough to eject; zero if it is not.
	significantSince time.Time
	// ejectedAt is the time of the last ejection.
	ejectedAt time.Time
	// successes and failures count this ingress's requests since the last trial began.
	successes, failures int
}

// server is the state of one backend server.
type server struct {
	record
	backend        backend.Backend
	datacentre     string
	sameDatacentre bool
	sameVM         bool
	region         string
	sameRegion     bool
	inService      bool
	group          *group
	path           *path

	report   report.Report
	reportAt time.Time
	// inFlightAtReport is the number of this ingress's requests in flight when the report arrived.
	inFlightAtReport int
	// completedAtTrial is the guard's counter of completed requests when the trial began.
	completedAtTrial uint16
	// errorsAtTrial and slownessAtTrial are the reported evidence, in nats, when the trial began.
	errorsAtTrial, slownessAtTrial float64
	// peerLevelAtEjection is the logarithm of the peers' level at the time of the ejection.
	peerLevelAtEjection float64

	inFlight []inFlightAttempt
	// forcedPicks is the number of attempts that PickFor was forced to send here and that have not started yet.
	forcedPicks int
	lastAnswer  time.Time
	lastPick    time.Time
	lastProbe   time.Time
	// askedAt is when its guard was last asked for a report.
	askedAt time.Time
	// active reports whether the backend server receives regular traffic.
	active bool
	// trippedSeq is the value of the group's reports counter when the breaker last left or returned to the
	// closed state.
	trippedSeq uint64
}

// path is the state of the network path to one guard.
type path struct {
	record
	member              member.ID
	servers             []*server
	consecutiveFailures int
	lastAnswer          time.Time
	// askedAt is when the guard was last asked for a report.
	askedAt time.Time
}

// group is the state of one service and its backend servers.
type group struct {
	service service.Service
	// servers are all backend servers of the service, sorted by ID.
	servers []*server
	// active receive regular traffic; trials receive a small share of it.
	active, trials []*server
	// tripped are excluded only because their breakers are not closed.
	tripped []*server
	// answerTimes are the times to an answer as seen by this ingress.
	answerTimes *evidence.Evidence
	// reports is the number of reports received.
	reports uint64
	// inFlight is the number of unanswered requests of this ingress.
	inFlight int
	// changed reports whether there is new information to evaluate; unhealthy reports whether a backend server
	// is suspected, ejected or on trial, or its breaker is not closed.
	changed, unhealthy bool
	// stale reports whether active, trials and tripped must be determined again before they are used.
	stale bool
	// rebuilds is the number of times that they were determined.
	rebuilds    uint64
	evaluatedAt time.Time
	scratch     peerLevels
	// usualTimes are the medians of the service times by class in nanoseconds, as of the last evaluation; 0 if unknown.
	usualTimes [class.Count]float64
	// byRegion keeps at least one server of each region in use. The floor's share and the demand hold for the service as a
	// whole: those of a region with few servers would keep more failing ones in use whenever several fail there by chance,
	// and light requests that leave cost less than failed ones.
	byRegion bool
	// candidates is memory that rebuild uses again.
	candidates []floor.Candidate
}

func newGroup(s service.Service) *group {
	return &group{service: s, answerTimes: evidence.New()}
}

// insert adds s to the servers, which are sorted by ID.
func (g *group) insert(s *server, name backend.ID) {
	at, _ := slices.BinarySearchFunc(g.servers, name, func(o *server, n backend.ID) int {
		return strings.Compare(string(o.backend.ID), string(n))
	})
	s.backend.ID = name
	g.servers = slices.Insert(g.servers, at, s)
}

// invalidate makes the next use of active, trials and tripped determine them again. A change of the
// configuration or of the fleet changes many servers before a request is placed, so one rebuild covers them all.
func (g *group) invalidate() { g.changed, g.stale = true, true }

// refresh rebuilds the group if it is stale.
func (g *group) refresh() {
	if g.stale {
		g.rebuild()
	}
}

// rebuild determines which servers receive regular traffic and which get trials. The floor is applied last,
// then activateTripped makes up for a lack of capacity.
func (g *group) rebuild() {
	g.stale = false
	g.rebuilds++
	for _, s := range g.servers {
		s.active = s.serving() && s.severity() == 0
	}
	if g.byRegion {
		for _, region := range g.regions() {
			g.applyFloor(floor.New(0), 0, func(s *server) bool { return s.region == region })
		}
	}
	g.applyFloor(floor.New(g.service.Floor), demandMargin, func(*server) bool { return true })
	g.active, g.trials, g.tripped = g.active[:0], g.trials[:0], g.tripped[:0]
	for _, s := range g.servers {
		switch {
		case s.active:
			g.active = append(g.active, s)
		case s.onlyTripped():
			g.tripped = append(g.tripped, s)
		case s.serving() && s.onTrial():
			g.trials = append(g.trials, s)
		}
	}
}

// regions returns the regions of the servers, each once.
func (g *group) regions() []string {
	var regions []string
	for _, s := range g.servers {
		if !slices.Contains(regions, s.region) {
			regions = append(regions, s.region)
		}
	}
	return regions
}

// applyFloor activates those of the given servers with a severity that the floor or a lack of capacity keeps in use. Those
// that are active already count as if they had none. The capacity that is kept in use is the given multiple of the demand.
func (g *group) applyFloor(least floor.Floor, margin float64, of func(*server) bool) {
	candidates := g.candidates[:0]
	demand, severe := 0.0, false
	for _, s := range g.servers {
		if s.serving() && of(s) {
			c := floor.Candidate{ID: s.backend.ID, Slots: s.slots()}
			if !s.active {
				c.Severity, severe = s.severity(), true
			}
			candidates = append(candidates, c)
			demand += s.outstanding(g.evaluatedAt)
		}
	}
	g.candidates = candidates
	if !severe {
		return
	}
	inUse := 0
	for _, c := range least.Keep(candidates) {
		if c.Severity > 0 {
			g.find(c.ID).active = true
		}
		inUse += c.Slots
	}
	g.activateTripped(of, demand*margin-float64(inUse))
}

// activateTripped activates those of the given backend servers that only their breakers exclude, in ascending order of
// severity, until they make up the given number of missing slots: a backend server that fails some of its requests is
// better than none.
func (g *group) activateTripped(of func(*server) bool, lacking float64) {
	for lacking > 0 {
		var least *server
		for _, s := range g.servers {
			if !s.active && of(s) && s.onlyTripped() && (least == nil || s.severity() < least.severity()) {
				least = s
			}
		}
		if least == nil {
			return
		}
		least.active = true
		lacking -= float64(least.slots())
	}
}

// find returns the server with the given ID, which must be in the group.
func (g *group) find(id backend.ID) *server {
	at, _ := slices.BinarySearchFunc(g.servers, id, func(o *server, n backend.ID) int {
		return strings.Compare(string(o.backend.ID), string(n))
	})
	return g.servers[at]
}

// serving reports whether s accepts requests and is in service, so that its slots count as capacity.
func (s *server) serving() bool {
	return s.inService && s.backend.State == backend.Serving
}

// slots returns the number of slots of s: as announced, or the service's default, or 1.
func (s *server) slots() int {
	switch {
	case s.backend.Slots > 0:
		return s.backend.Slots
	case s.group.service.Slots > 0:
		return s.group.service.Slots
	}
	return 1
}

// severity returns the severity of s for the floor: the greatest of its own rank, that of its path and that of
// its breaker; zero if there is no reason to exclude it.
func (s *server) severity() float64 {
	worst := max(s.rank(), s.path.rank())
	if s.tripped() {
		worst = max(worst, trippedRank+s.report.BreakerScore*failingRankStep+float64(s.trippedSeq)*trippedRankStep)
	}
	return worst
}

const (
	// trippedRank is the least rank of a backend server whose breaker is not closed; it equals the rank of one
	// on trial.
	trippedRank = 1
	// demandMargin is the capacity that is kept in use, as a multiple of the number of queued and running
	// requests. It is above 1 because that number comes from reports that arrive late.
	demandMargin = 1.1
	// failingRankStep, per nat of the breaker's score, and trippedRankStep, per report received, are added to
	// trippedRank: of two backend servers with equal scores, the one that tripped last is excluded first.
	failingRankStep = 0.1
	trippedRankStep = 1e-9
)

// tripped reports whether the guard's breaker for s is not closed.
func (s *server) tripped() bool { return s.report.Breaker != breaker.Closed }

// onlyTripped reports whether s is excluded only because its breaker is not closed.
func (s *server) onlyTripped() bool {
	return s.serving() && s.tripped() && s.rank() == 0 && s.path.rank() == 0
}

// rank returns the part of the severity that is due to a record: a trial ranks below every ejection, ejections
// rank by reason.
func (r record) rank() float64 {
	switch r.probation.State {
	case probation.Clear:
		return 0
	case probation.OnTrial:
		return 1
	}
	return 1 + float64(r.reason)
}

// onTrial reports whether s may get trial requests: s or its path is on trial, and neither is ejected.
func (s *server) onTrial() bool {
	serverState, pathState := s.probation.State, s.path.probation.State
	return serverState != probation.Ejected && pathState != probation.Ejected &&
		(serverState == probation.OnTrial || pathState == probation.OnTrial)
}

// unchanged reports whether an update brings nothing new about s.
func (s *server) unchanged(e BackendUpdated) bool {
	return s.backend == e.Backend && s.datacentre == e.Datacentre && s.sameDatacentre == e.SameDatacentre &&
		s.region == e.Region && s.sameRegion == e.SameRegion && s.sameVM == e.SameVM && s.inService == e.InService
}

// reset drops the history of an earlier incarnation.
func (s *server) reset(now time.Time) {
	s.record = record{}
	s.report, s.reportAt = report.Report{}, time.Time{}
	s.lastAnswer = now
}

// takeReport stores a report of the guard.
func (s *server) takeReport(now time.Time, r report.Report) {
	wasTripped := s.tripped()
	s.report, s.reportAt, s.inFlightAtReport = r, now, len(s.inFlight)
	s.group.changed = true
	s.group.reports++
	if s.tripped() != wasTripped {
		s.trippedSeq = s.group.reports
		s.group.invalidate()
	}
}
