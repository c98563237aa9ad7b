package picker

import (
	"math"
	"slices"
	"time"

	"berylpass/choice/probation"
	"berylpass/config/class"
)

const (
	// maxReportAge is the age up to which a report is used.
	maxReportAge = time.Minute
	// minSamples is the least number of samples for a level to be compared.
	minSamples = 3
	// minSpread is the lower bound on the spread of a level, in nats.
	minSpread = 0.3
	// madScale makes the median absolute deviation comparable to a standard deviation (for a normal
	// distribution).
	madScale = 1.4826
	// madLimit is the number of scaled median absolute deviations of the peers by which an outlier's level
	// exceeds theirs.
	madLimit = 4
	// slowSigmas is the number of standard errors by which an outlier's level exceeds that of the peers.
	slowSigmas = 5.5
	// slowSamples is the least number of samples for an outlier whose own service times have not risen.
	slowSamples = 20
	// slowEvidence is the evidence of slowness, in nats, that is significant.
	slowEvidence = 17
	// suspectEvidence is the evidence of slowness or errors, in nats, from which a backend server is suspected
	// and confirmTime starts to run.
	suspectEvidence = 5
	// commonSlowness is the evidence of slowness at the peers, in nats, from which a common cause is assumed;
	// upperQuantile is the quantile of the peers that is compared with it.
	commonSlowness = 4
	upperQuantile  = 0.7
	// toleratedStallTime is the time without completions that is tolerated while the peers are slow too.
	toleratedStallTime = 3 * time.Second
	// failingEvidence is the evidence of errors, in nats, from which a backend server is an outlier.
	failingEvidence = 12
	// commonErrors is the evidence of errors at the median peer, in nats, from which a common cause is assumed. A
	// backend server on trial is restored only if its own evidence is not above this or not above the median.
	commonErrors = 6
	// passSigmas is the number of standard errors up to which a higher level than that of the peers is normal.
	passSigmas = 3
)

var (
	// slowRatio and passRatio are logarithms of the ratio of a backend server's level to that of its peers. An
	// outlier has at least slowRatio; one below passRatio is normal.
	slowRatio = math.Log(2.2)
	passRatio = math.Log(1.6)
)

// comparison is the result of comparing a backend server with its peers.
type comparison struct {
	// ratio is the logarithm of its level divided by that of the peers; sigma is the standard error of ratio.
	ratio, sigma float64
	// deviation is the scaled median absolute deviation of the peers; zero if ratio is below slowRatio.
	deviation float64
	// peerLevel is the logarithm of the peers' level, averaged over the classes.
	peerLevel float64
	// samples is the effective number of samples of the backend server.
	samples float64
	known   bool
}

// slow reports whether the comparison shows an outlier. A rise of the service times of this backend server alone
// (rose) replaces slowSamples and slowSigmas: it is as strong as many samples.
func (c comparison) slow(rose bool) bool {
	significant := rose || c.samples >= slowSamples && c.ratio >= slowSigmas*c.sigma
	return c.known && significant && c.ratio >= max(slowRatio, madLimit*c.deviation)
}

// normal reports whether the comparison shows no unusual service times.
func (c comparison) normal() bool {
	return !c.known || c.ratio < passRatio || c.ratio < passSigmas*c.sigma
}

// peerLevels holds the sorted logarithms of the levels by class and the sorted evidence of errors of the backend
// servers of a group.
type peerLevels struct {
	levels [class.Count][]float64
	errors []float64
	// slowness is the sorted evidence of slowness.
	slowness []float64
	// stalled is the number of stalled backend servers; reported is the number of those with a recent report.
	stalled, reported int
}

// peerLevels collects the recent reports of the group. The result is valid until the next call, which reuses its
// memory.
func (g *group) peerLevels(now time.Time) peerLevels {
	peers := g.scratch.reset()
	for _, s := range g.servers {
		if !s.serving() || !s.fresh(now) {
			continue
		}
		peers.errors = append(peers.errors, s.report.Errors)
		peers.slowness = append(peers.slowness, s.report.Slowness)
		peers.reported++
		if s.report.StalledFor > 0 {
			peers.stalled++
		}
		for c, l := range s.report.Levels {
			if l.Samples >= minSamples {
				peers.levels[c] = append(peers.levels[c], math.Log(float64(l.Time)))
			}
		}
	}
	slices.Sort(peers.errors)
	slices.Sort(peers.slowness)
	for c := range peers.levels {
		slices.Sort(peers.levels[c])
	}
	g.scratch = peers
	return peers
}

// reset returns an empty peerLevels that reuses the memory of l.
func (l peerLevels) reset() peerLevels {
	l.errors, l.slowness, l.stalled, l.reported = l.errors[:0], l.slowness[:0], 0, 0
	for c := range l.levels {
		l.levels[c] = l.levels[c][:0]
	}
	return l
}

// upperPeerSlowness returns the evidence of slowness at the upperQuantile of the peers of s.
func (l peerLevels) upperPeerSlowness(s *server) float64 {
	n := len(l.slowness)
	at, found := slices.BinarySearch(l.slowness, s.report.Slowness)
	if !found {
		at, n = n, n+1
	}
	if n < 2 {
		return 0
	}
	i := int(upperQuantile * float64(n-2))
	if i >= at {
		i++
	}
	return l.slowness[i]
}

// toleratedStall returns the time without completions that is tolerated for s: zero, or toleratedStallTime if
// its peers are slow too.
func (l peerLevels) toleratedStall(s *server) time.Duration {
	if l.upperPeerSlowness(s) >= commonSlowness {
		return toleratedStallTime
	}
	return 0
}

// fresh reports whether the last report of s is recent enough to be used.
func (s *server) fresh(now time.Time) bool {
	return !s.reportAt.IsZero() && now.Sub(s.reportAt) <= maxReportAge
}

// compare compares the levels of s with those of its peers, averaged over the classes and weighted by samples.
func (s *server) compare(peers peerLevels) comparison {
	var weight, ratio, variance, peerTotal float64
	for c, l := range s.report.Levels {
		if l.Samples < minSamples || len(peers.levels[c]) < 2 {
			continue
		}
		x := math.Log(float64(l.Time))
		m := medianWithout(peers.levels[c], x)
		weight += l.Samples
		ratio += l.Samples * (x - m)
		peerTotal += l.Samples * m
		spread := max(l.Spread, minSpread)
		variance += l.Samples * spread * spread
	}
	if weight == 0 {
		return comparison{}
	}
	result := comparison{
		ratio:     ratio / weight,
		sigma:     math.Sqrt(variance) / weight,
		peerLevel: peerTotal / weight,
		samples:   weight,
		known:     true,
	}
	if result.ratio >= slowRatio {
		result.deviation = s.deviation(peers) / weight
	}
	return result
}

// deviation returns the scaled median absolute deviation of the peers, summed over the classes and weighted by
// samples.
func (s *server) deviation(peers peerLevels) float64 {
	sum := 0.0
	for c, l := range s.report.Levels {
		if l.Samples < minSamples || len(peers.levels[c]) < 2 {
			continue
		}
		others := without(peers.levels[c], math.Log(float64(l.Time)))
		sum += l.Samples * madScale * medianAbsDeviation(others, median(others))
	}
	return sum
}

// emergingReason returns the reason why s is suspected, from evidence that is not yet strong enough to eject
// it.
func (s *server) emergingReason(now time.Time, peers peerLevels) Reason {
	if !s.fresh(now) {
		return None
	}
	switch {
	case !s.group.service.Breaker && s.report.Errors-medianWithout(peers.errors, s.report.Errors) >= suspectEvidence:
		return Failing
	case s.report.Slowness >= suspectEvidence && peers.upperPeerSlowness(s) < commonSlowness:
		return Slow
	}
	return None
}

// ejectionReason returns the reason why s should be ejected, or None. If more than about half of the backend
// servers are stalled, a common cause is assumed and their reports eject none as stalled.
func (s *server) ejectionReason(now time.Time, peers peerLevels, c comparison) Reason {
	if n, _ := s.overdue(now); n >= overdueLimit && s.path.probation.State == probation.Clear {
		return Stalled
	}
	if !s.fresh(now) {
		return None
	}
	switch {
	case s.report.StalledFor > peers.toleratedStall(s) && 2*peers.stalled <= peers.reported+1:
		return Stalled
	case !s.group.service.Breaker && s.report.Errors >= failingEvidence && medianWithout(peers.errors, s.report.Errors) < commonErrors:
		return Failing
	case c.slow(s.report.Slowness >= slowEvidence && peers.upperPeerSlowness(s) < commonSlowness):
		return Slow
	}
	return None
}

// without returns the sorted values without one that equals x.
func without(sorted []float64, x float64) []float64 {
	at, found := slices.BinarySearch(sorted, x)
	if !found {
		return sorted
	}
	return slices.Delete(slices.Clone(sorted), at, at+1)
}

// medianWithout returns the median of the sorted values without one that equals x; zero if no value is left.
func medianWithout(sorted []float64, x float64) float64 {
	at, found := slices.BinarySearch(sorted, x)
	if !found {
		return median(sorted)
	}
	n := len(sorted) - 1
	if n == 0 {
		return 0
	}
	value := func(i int) float64 {
		if i >= at {
			i++
		}
		return sorted[i]
	}
	return (value((n-1)/2) + value(n/2)) / 2
}

// median returns the median of sorted values; zero if there are none.
func median(sorted []float64) float64 {
	n := len(sorted)
	if n == 0 {
		return 0
	}
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// medianAbsDeviation returns the median absolute deviation of the values from m.
func medianAbsDeviation(values []float64, m float64) float64 {
	deviations := make([]float64, 0, len(values))
	for _, v := range values {
		deviations = append(deviations, math.Abs(v-m))
	}
	slices.Sort(deviations)
	return median(deviations)
}
