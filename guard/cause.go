package guard

import "time"

// deadlineTolerance is the largest difference between the deadline of a call and that
// of the attempt that makes it. Both are sent as whole milliseconds over the VM's
// loopback interface, so they don't match exactly.
const deadlineTolerance = 25 * time.Millisecond

// RepeatProbability returns the probability that a call to a service is made by a repeated run,
// from 0 to 1. A call inherits the deadline of the attempt that makes it, so RepeatProbability
// returns the share of repeated runs among those of the attempts with that deadline, or among
// all if no running attempt has it. If exactly one has it, RepeatProbability also records that
// the attempt's route calls the service.
func (g *Guard) RepeatProbability(deadline time.Time, service string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var matching, all share
	for _, a := range g.attempts {
		if !a.running {
			continue
		}
		all.add(a)
		if a.deadline.Sub(deadline).Abs() <= deadlineTolerance {
			matching.add(a)
		}
	}
	if matching.total == 0 {
		return all.value()
	}
	if matching.total == 1 {
		g.calls.RecordCall(matching.route, service)
	}
	return matching.value()
}

// share counts running attempts and the repeated runs among them.
type share struct {
	repeated, total int
	// route is the route of the attempt added last.
	route string
}

func (s *share) add(a *attempt) {
	s.total++
	s.route = a.envelope.Route
	if a.envelope.Repeated {
		s.repeated++
	}
}

func (s share) value() float64 {
	if s.total == 0 {
		return 0
	}
	return float64(s.repeated) / float64(s.total)
}

// mayRepeat reports whether all services that attempts of the route call accept the
// calls of a repeated run. The caller holds g.mu.
func (g *Guard) mayRepeat(route string) bool {
	for _, service := range g.calls.Services(route) {
		if !g.MayRepeatCall(service) {
			return false
		}
	}
	return true
}
