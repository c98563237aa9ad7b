package picker

import (
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/report"
	"berylpass/choice/verdict"
	"berylpass/config/class"
	"berylpass/config/service"
	"berylpass/fleet/backend"
)

// BackendUpdated adds or updates a backend server.
type BackendUpdated struct {
	Backend backend.Backend
	// Datacentre is the name of the data centre of the backend server's VM.
	Datacentre string
	// SameDatacentre and SameVM report whether the backend server runs in the data centre and on the VM of this
	// ingress.
	SameDatacentre, SameVM bool
	// Region is the region of its data centre, empty if unknown; SameRegion reports whether this ingress is in it.
	Region     string
	SameRegion bool
	// InService reports whether its data centre is in service and the daemon on its VM isn't leaving the fleet.
	InService bool
}

// BackendRemoved removes a backend server that has left the fleet or is dead.
type BackendRemoved struct {
	ID backend.ID
}

// ServiceUpdated sets the configuration of a service.
type ServiceUpdated struct {
	Service service.Service
}

// AttemptStarted reports that an attempt was sent to a backend server.
type AttemptStarted struct {
	Attempt id.ID
	Backend backend.ID
	Class   class.Class
}

// AttemptDiscarded ends an attempt whose outcome says nothing about the backend server.
type AttemptDiscarded struct {
	Attempt id.ID
	Backend backend.ID
}

// AttemptEnded reports how an attempt ended. If Attempt is the zero ID, it reports the result of a Probe or a
// RequestReport.
type AttemptEnded struct {
	Attempt id.ID
	Backend backend.ID
	Class   class.Class
	// Took is the time from sending the request to receiving the answer at this ingress.
	Took    time.Duration
	Verdict verdict.Verdict
	// Report is the report that the guard attached to the answer; nil if there was none.
	Report *report.Report
	// AnswerBytes is the length of the answer's body.
	AnswerBytes int
}

// ReportReceived passes on a report that did not arrive with an answer to this ingress.
type ReportReceived struct {
	Backend backend.ID
	Report  report.Report
}

// Tick makes the picker evaluate all paths and backend servers at the current time.
type Tick struct{}

// Ejected reports that a backend server receives no more requests from this ingress, unless the floor keeps it
// in use.
type Ejected struct {
	Backend backend.ID
	Reason  Reason
	// DetectionTime is the time from the first sign of the fault to the ejection.
	DetectionTime time.Duration
	// RecentEjections is the number of recent ejections, including this one.
	RecentEjections int
}

// Restored reports that an ejected backend server receives regular traffic again.
type Restored struct {
	Backend backend.ID
	// Reason is why it had been ejected.
	Reason Reason
	// EjectedFor is the time from the ejection to the restoration.
	EjectedFor time.Duration
}

// Probe requests a probe of a backend server that is on trial and receives no traffic.
type Probe struct {
	Backend backend.ID
}

// RequestReport requests a report from the guard of a backend server without running a request, because requests to the
// backend server are overdue, because one of its peers seems slow, or to follow its trial. The adapter must
// bound the call by ReportTimeout and pass the result to Update as AttemptEnded with a zero Attempt: verdict.Shed and
// the report if the guard answered, verdict.PathFailure if it did not.
type RequestReport struct {
	Backend backend.ID
}

// Reason is why a backend server was ejected.
type Reason uint8

// The reasons, in ascending order of severity: if the floor must keep ejected backend servers in use, it
// prefers those with a lower reason.
const (
	// None means that there is no evidence of a fault.
	None Reason = iota
	// Slow means that its service times are far above those of its peers.
	Slow
	// Failing means that its error share is far above that of its peers.
	Failing
	// Stalled means that it accepts requests and completes none.
	Stalled
	// BadPath means that this ingress cannot reach its guard, or that the guard's answers don't arrive.
	BadPath
)

var reasons = [...]string{"none", "slow", "failing", "stalled", "bad-path"}

// String returns the kebab-case name of the reason.
func (r Reason) String() string {
	if int(r) >= len(reasons) {
		return "unknown"
	}
	return reasons[r]
}
