package soak

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestOracleReportsViolations passes the oracle records that violate each guarantee, and
// some that violate none, and checks what it reports.
func TestOracleReportsViolations(t *testing.T) {
	now := time.Now()
	v := &vm{id: "vm-1", sigtermAt: now}
	ok := callerRequest{request: "c-1", organisation: "t-1", key: "k-1", unsafe: true, vm: v, sentAt: now, endedAt: now, status: http.StatusOK, fromBackend: true}
	oneRun := run{request: "c-1", organisation: "t-1", at: now}
	for name, test := range map[string]struct {
		change func(o *oracle, s *callerRequest, r *run)
		want   string
	}{
		"nothing":        {func(*oracle, *callerRequest, *run) {}, ""},
		"at most once":   {func(o *oracle, _ *callerRequest, r *run) { o.recordRun(*r) }, "at most once"},
		"other response": {func(_ *oracle, s *callerRequest, _ *run) { s.defect = "short" }, "complete responses"},
		"false refusal": {func(_ *oracle, s *callerRequest, _ *run) {
			s.status, s.fromBackend = http.StatusServiceUnavailable, false
		}, "refusals"},
		"503 from a backend server": {func(_ *oracle, s *callerRequest, _ *run) { s.status = http.StatusServiceUnavailable }, ""},
		"no response on shutdown":   {func(_ *oracle, s *callerRequest, _ *run) { s.status, s.noResponse = 0, true }, "graceful shutdown"},
		"no response in a fault": {func(o *oracle, s *callerRequest, _ *run) {
			s.status, s.noResponse = 0, true
			o.recordFault(now.Add(-time.Second), now)
		}, ""},
		"organisation": {func(_ *oracle, _ *callerRequest, r *run) { r.organisation = "t-2" }, "organisations"},
		"withdrawn key": {func(o *oracle, s *callerRequest, _ *run) {
			o.recordWithdrawal("k-1", now.Add(-time.Minute))
		}, "withdrawn keys"},
		"key":   {func(_ *oracle, _ *callerRequest, r *run) { r.key = "Bearer key-of-t-1" }, "keys"},
		"drain": {func(_ *oracle, _ *callerRequest, r *run) { r.drainAckAt = now.Add(-time.Minute) }, "drain"},
	} {
		o, s, r := newOracle(), ok, oneRun
		test.change(o, &s, &r)
		o.recordRun(r)
		o.recordRequest(s)
		got := strings.Join(o.violations(), "; ")
		if (got == "") != (test.want == "") || !strings.HasPrefix(got, test.want) {
			t.Errorf("%s: found %q, want %q", name, got, test.want)
		}
	}
}

// TestSoakDetectsInjectedFaults runs the real program while guarantees are violated on
// purpose: requests are duplicated, responses corrupted, and a key that is in force is
// recorded as withdrawn. The oracle must report each violation.
func TestSoakDetectsInjectedFaults(t *testing.T) {
	const fleetNumber = 99
	f := newFleet(t, 1, fleetNumber)
	stop := f.startCallers(1)
	time.Sleep(time.Second)
	if found := f.oracle.violations(); len(found) > 0 {
		t.Errorf("violations without a fault: %v", found)
	}
	f.backends[0].link.setFaults(linkFaults{Duplicate: true})
	f.backends[0].link.reset()
	f.backends[1].link.setFaults(linkFaults{Corrupt: true})
	// The key stays in force.
	f.oracle.recordWithdrawal(f.keys.issued[0].secret, time.Now().Add(-time.Minute))
	wanted := []string{"at most once", "complete responses", "withdrawn keys"}
	deadline := time.Now().Add(startLimit)
	for len(wanted) > 0 && time.Now().Before(deadline) {
		time.Sleep(200 * time.Millisecond)
		found := strings.Join(f.oracle.violations(), "\n")
		wanted = slices.DeleteFunc(wanted, func(w string) bool { return strings.Contains(found, w) })
	}
	stop()
	if len(wanted) > 0 {
		t.Errorf("not detected within %v: %v", startLimit, wanted)
	}
}
