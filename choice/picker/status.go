package picker

import (
	"time"

	"berylpass/choice/probation"
	"berylpass/fleet/backend"
)

// BackendStatus is the state of one backend server as shown to operators.
type BackendStatus struct {
	Backend    backend.ID `json:"backend"`
	Service    string     `json:"service"`
	Datacentre string     `json:"datacentre"`
	// State is one of in-use, suspected, kept-by-floor, ejected, on-trial,
	// draining, gone and out-of-service.
	State string `json:"state"`
	// Reason is why it was ejected or is suspected, in kebab case; "none" if neither.
	Reason string `json:"reason"`
	// Since is when the current ejection, trial or restoration began; zero if there was none.
	Since time.Time `json:"since"`
	// InFlight is the number of unanswered requests of this ingress.
	InFlight int `json:"in-flight"`
	// InUse, Queued and Limit are the numbers of running and queued requests and the concurrency limit in the
	// last report of the guard.
	InUse  int `json:"in-use"`
	Queued int `json:"queued"`
	Limit  int `json:"limit"`
}

// Status returns the state of every backend server, sorted by service and ID.
func (p *Picker) Status(_ time.Time) []BackendStatus {
	lines := make([]BackendStatus, 0, len(p.servers))
	for _, g := range p.groupOrder {
		g.refresh()
		for _, s := range g.servers {
			lines = append(lines, s.status())
		}
	}
	return lines
}

// status returns the state of s.
func (s *server) status() BackendStatus {
	r := s.record
	if s.path.rank() > r.rank() {
		r = s.path.record
	}
	reason := r.reason
	if r.probation.State == probation.Clear {
		reason = s.suspect
	}
	return BackendStatus{
		Backend:    s.backend.ID,
		Service:    s.backend.Service,
		Datacentre: s.datacentre,
		State:      s.state(),
		Reason:     reason.String(),
		Since:      r.probation.Since,
		InFlight:   len(s.inFlight),
		InUse:      s.report.InUse,
		Queued:     s.report.Queued,
		Limit:      s.report.Limit,
	}
}

// state returns the name of the state of s in kebab case.
func (s *server) state() string {
	switch {
	case s.backend.State != backend.Serving:
		return s.backend.State.String()
	case !s.inService:
		return "out-of-service"
	case s.active && s.severity() > 0:
		// Also if it is the lack of capacity, rather than the floor, that keeps it in use.
		return "kept-by-floor"
	case s.severity() > 0 && s.onTrial():
		return "on-trial"
	case s.severity() > 0:
		return "ejected"
	case s.suspect != None:
		return "suspected"
	}
	return "in-use"
}
