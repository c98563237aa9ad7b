package gate

import (
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/report"
	"berylpass/choice/urgency"
	"berylpass/choice/verdict"
	"berylpass/config/class"
	"berylpass/config/service"
	"berylpass/fleet/backend"
)

// BackendUpdated adds or updates a backend server on this VM. A new incarnation restarts the ramp.
type BackendUpdated struct {
	Backend backend.Backend
	// InService reports whether the data centre is in service and the daemon isn't leaving the fleet.
	InService bool
	// ColdUntil is when the backend server becomes warm. Until then it gets requests at the cold rate of its
	// service.
	ColdUntil time.Time
}

// BackendRemoved removes a backend server and sheds the requests queued for it.
type BackendRemoved struct {
	ID backend.ID
}

// ServiceUpdated sets the configuration of a service.
type ServiceUpdated struct {
	Service service.Service
}

// Arrive asks to run a request on a backend server. It is ignored if the ID is already queued or running.
type Arrive struct {
	ID           id.ID
	Backend      backend.ID
	Organisation string
	Class        class.Class
	// Rank decides the place of the request among others. Without a level it follows from Class and Organisation.
	Rank urgency.Rank
	// Target is until when the answer should arrive; zero for no such time.
	Target time.Time
	// Expires is the deadline of the attempt.
	Expires time.Time
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// Forced reports whether the ingress keeps the backend server in use although its breaker is not closed,
	// because of the service's floor or for lack of capacity. It overrides the breaker.
	Forced bool
	// Prompt reports whether the request is shed as Busy if it would have to wait here, because another backend
	// server is likely to take it sooner.
	Prompt bool
}

// Finished reports the end of a request that was run.
type Finished struct {
	ID      id.ID
	Verdict verdict.Verdict
}

// Withdraw removes a queued request because it was cancelled or its API key was withdrawn. It has no effect on
// a running one.
type Withdraw struct {
	ID id.ID
}

// SlotsReported passes on the number of slots that a backend server reports of itself. It counts only if it is below
// the announced or default number; zero means unknown.
type SlotsReported struct {
	Backend backend.ID
	Slots   int
}

// Tick makes the gate evaluate all backend servers at the current time. It is due every 50 to 250 ms.
type Tick struct{}

// Run asks the adapter to forward a request to the backend server.
type Run struct {
	ID      id.ID
	Backend backend.ID
	// Waited is the time that the request was queued.
	Waited time.Duration
}

// Shed asks the adapter to refuse a request as not run.
type Shed struct {
	ID     id.ID
	Reason Reason
	// RetryAfter is the estimated wait for a free slot; zero if there is no estimate.
	RetryAfter time.Duration
}

// Withdrawn confirms that a request was removed from the queue and never ran.
type Withdrawn struct {
	ID id.ID
}

// Notice asks the adapter to send a report to all ingresses, because the state of the backend server has changed
// markedly.
type Notice struct {
	Backend backend.ID
	Report  report.Report
}

// Reason is why a request was shed.
type Reason uint8

// The reasons.
const (
	// UnknownBackend means that the backend server is not registered on this VM.
	UnknownBackend Reason = iota
	// NotServing means that the backend server is draining, gone or out of service.
	NotServing
	// Late means that the request cannot finish before it expires.
	Late
	// QueueFull means that the queue is full and no other request could be displaced.
	QueueFull
	// Displaced means that the request was displaced by a more urgent one or by one of an organisation with fewer
	// queued requests.
	Displaced
	// Stalled means that the backend server completes no requests.
	Stalled
	// Failing means that the circuit breaker of the backend server rejected the request.
	Failing
	// Busy means that a prompt request would have had to wait.
	Busy
)

var reasons = [...]string{"unknown-backend", "not-serving", "late", "queue-full", "pushed-out", "stalled", "failing", "busy"}

// String returns the kebab-case name of the reason.
func (r Reason) String() string {
	if int(r) >= len(reasons) {
		return "unknown"
	}
	return reasons[r]
}
