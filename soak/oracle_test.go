package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds that the user documentation promises, except for timingSlack.
const (
	// drainBound is how long requests may still arrive at a backend server after its
	// drain was acknowledged.
	drainBound = 2 * time.Second
	// withdrawalBound is the time after which no daemon accepts a withdrawn key.
	withdrawalBound = 5 * time.Second
	// recoveryBound is the time after the last fault within which the fleet recovers.
	recoveryBound = 15 * time.Second
	// timingSlack is how late the test may record a time on a busy machine.
	timingSlack = 250 * time.Millisecond
)

// run is one execution of a request by a backend server.
type run struct {
	request, organisation, key, backend string
	at                                  time.Time
	// drainAckAt is the time at which the backend server's drain was acknowledged, zero
	// if it wasn't when the request arrived.
	drainAckAt time.Time
}

// callerRequest is one request of a caller and its result.
type callerRequest struct {
	request, organisation, key string
	// unsafe is whether the request may run only once, oldKey whether its key may have
	// been withdrawn.
	unsafe, oldKey  bool
	vm              *vm
	sentAt, endedAt time.Time
	status          int
	// fromBackend is whether a backend server sent the response.
	fromBackend bool
	// defect says what is wrong with the response, empty if nothing is.
	defect string
	// noResponse is whether the connection ended before a complete response.
	noResponse bool
}

// oracle records what callers and backend servers see, and finds the violated guarantees.
type oracle struct {
	mu       sync.Mutex
	runs     map[string][]run
	requests []callerRequest
	// withdrawnAt maps a key to the time at which its withdrawal was acknowledged.
	withdrawnAt map[string]time.Time
	// unplannedFaults holds the times of the faults other than planned work by operators.
	unplannedFaults []interval
}

type interval struct{ from, to time.Time }

func newOracle() *oracle {
	return &oracle{runs: map[string][]run{}, withdrawnAt: map[string]time.Time{}}
}

func (o *oracle) recordRun(r run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[r.request] = append(o.runs[r.request], r)
}

func (o *oracle) recordRequest(s callerRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests = append(o.requests, s)
}

func (o *oracle) recordWithdrawal(key string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.withdrawnAt[key] = at
}

func (o *oracle) recordFault(from, to time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unplannedFaults = append(o.unplannedFaults, interval{from, to})
}

// undisturbed reports whether s overlaps with no unplanned fault and no settleTime after one.
func (o *oracle) undisturbed(s callerRequest) bool {
	for _, u := range o.unplannedFaults {
		if s.sentAt.Before(u.to.Add(settleTime)) && u.from.Before(s.endedAt.Add(timingSlack)) {
			return false
		}
	}
	return true
}

// settleTime is how long after a fault a request may still be affected by it.
const settleTime = 3 * time.Second

// violations describes the violations of guarantees by the requests that have ended.
func (o *oracle) violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []string
	report := func(format string, a ...any) { found = append(found, fmt.Sprintf(format, a...)) }
	for _, s := range o.requests {
		runs := o.runs[s.request]
		if s.unsafe && len(runs) > 1 {
			report("at most once: %s ran %d times: %+v", s.request, len(runs), runs)
		}
		if s.defect != "" {
			report("complete responses: %s: %s", s.request, s.defect)
		}
		if s.unsafe && !s.fromBackend && refusals[s.status] && len(runs) > 0 {
			report("refusals: %s was refused with status %d and ran: %+v", s.request, s.status, runs)
		}
		if s.noResponse && !s.vm.sigtermTime().IsZero() && len(runs) > 0 && o.undisturbed(s) {
			report("graceful shutdown: %s at %s ran and got no response", s.request, s.vm.id)
		}
		for _, r := range runs {
			if r.organisation != s.organisation {
				report("organisations: %s of %q ran for %q", s.request, s.organisation, r.organisation)
			}
			if at, ok := o.withdrawnAt[s.key]; ok && s.sentAt.After(at.Add(withdrawalBound)) {
				report("withdrawn keys: %s ran %v after the withdrawal was acknowledged", s.request, r.at.Sub(at))
			}
		}
	}
	for request, runs := range o.runs {
		for _, r := range runs {
			if strings.Contains(r.key, "key-of") {
				report("keys: %s arrived with the caller's key at %s", request, r.backend)
			}
			if !r.drainAckAt.IsZero() && r.at.After(r.drainAckAt.Add(drainBound+timingSlack)) {
				report("drain: %s arrived at %s %v after its drain was acknowledged", request, r.backend, r.at.Sub(r.drainAckAt))
			}
		}
	}
	return found
}

// refusals is the set of statuses with which a daemon refuses a request without running it.
var refusals = map[int]bool{
	http.StatusUnauthorized: true, http.StatusForbidden: true, http.StatusNotFound: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// servedShare returns the share of the last requests with a key in force that got status
// 200, or 0 if there are fewer requests.
func (o *oracle) servedShare(last int) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	ok, all := 0, 0
	for _, s := range slices.Backward(o.requests) {
		if s.oldKey {
			continue
		}
		all++
		if s.status == http.StatusOK {
			ok++
		}
		if all == last {
			return float64(ok) / float64(last)
		}
	}
	return 0
}
