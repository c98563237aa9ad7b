package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"berylpass/attempt/clock"
	"berylpass/attempt/id"
	"berylpass/attempt/lifecycle"
	"berylpass/choice/admission"
	"berylpass/choice/chooser"
	"berylpass/choice/picker"
	"berylpass/config/class"
	"berylpass/config/route"
	"berylpass/config/service"
	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/hop"
	"berylpass/hop/forwarder"
	"berylpass/limit/enforcer"
)

// fixedConfiguration is a Configuration with one open, repeatable route.
type fixedConfiguration struct{}

func (fixedConfiguration) Ready(time.Time) error       { return nil }
func (fixedConfiguration) Behind(time.Time) bool       { return false }
func (fixedConfiguration) ProvenNewest(time.Time) bool { return true }
func (fixedConfiguration) Current() snapshot.Snapshot {
	return snapshot.New(1).WithService(service.New("rounds")).
		WithRoute(route.New("status", "rounds").WithMatch("", "/").WithOpen(true).WithRepeatable(true).WithMaxAttempts(2).WithDeadline(5 * time.Second)).Index()
}

// trialChooser is a Chooser that sends the first attempt of each request that may serve as
// a trial to the backend server "fails", and all others to "works".
type trialChooser struct{}

func (trialChooser) Pick(r picker.Request) (chooser.Target, error) {
	name := backend.ID("works")
	if r.MayBeTrial && len(r.Exclude) == 0 {
		name = "fails"
	}
	return chooser.Target{
		Backend: backend.New(name, "rounds", "vm-1"), Guard: member.New("vm-1", "srem").WithIncarnation(1), TrialOnly: name == "fails",
	}, nil
}
func (trialChooser) AttemptStarted(id.ID, chooser.Target, class.Class) {}
func (trialChooser) AttemptEnded(picker.AttemptEnded)                  {}
func (trialChooser) AttemptDiscarded(id.ID, chooser.Target)            {}

// scriptedHop is a Hop that answers for the two backend servers of trialChooser. Attempts
// on "fails" are announced on arrived and fail once release is closed.
type scriptedHop struct {
	arrived chan struct{}
	release chan struct{}
}

func (h scriptedHop) Forward(_ context.Context, _ string, e hop.Envelope, _ forwarder.Request) (forwarder.Answer, error) {
	status := http.StatusOK
	if e.Backend == "fails" {
		status = http.StatusInternalServerError
		h.arrived <- struct{}{}
		<-h.release
	}
	return forwarder.Answer{Status: status, Header: http.Header{}, Report: hop.Report{Attempt: e.Attempt, Ending: hop.Ran}}, nil
}

// fakeGuards is a Guards whose clocks can be read and whose control calls fail.
type fakeGuards struct{}

func (fakeGuards) RecordClock(member.ID, uint64, int64) {}
func (fakeGuards) Clock(context.Context, member.ID) (clock.Clock, error) {
	return clock.Clock{}.WithReading(1, time.Second, time.Now()), nil
}
func (fakeGuards) Cancel(context.Context, member.ID, hop.Envelope) lifecycle.Certainty {
	return lifecycle.Unreachable
}

// fakeLimit is a Limit that always has a token.
type fakeLimit struct{}

func (fakeLimit) Draw(context.Context, string) (enforcer.Token, error) { return enforcer.Token{}, nil }
func (fakeLimit) Started(enforcer.Token)                               {}
func (fakeLimit) Return(enforcer.Token)                                {}

// noObserver is an Observer that does nothing.
type noObserver struct{}

func (noObserver) Ended(time.Time, RequestRecord)         {}
func (noObserver) HeardRevision(uint64, member.ID)        {}
func (noObserver) AttemptEnded(AttemptRecord)             {}
func (noObserver) LimitRefused(string, *enforcer.Refusal) {}
func (noObserver) AnswerDropped(id.ID)                    {}
func (noObserver) BudgetEmpty(string)                     {}
func (noObserver) LevelClosed(admission.Closed)           {}
func (noObserver) LevelOpened(admission.Opened)           {}

// TestTrialRequestsReserveARetry checks that a request only serves as a trial if a retry is
// reserved for it. With a retry budget of one attempt, nine requests run while another one
// waits for a failing backend server on trial: if one of the nine were a trial too, its
// caller would see the failure.
func TestTrialRequestsReserveARetry(t *testing.T) {
	h := scriptedHop{arrived: make(chan struct{}, 100), release: make(chan struct{})}
	i := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: fixedConfiguration{}, Chooser: trialChooser{}, Limit: fakeLimit{}, Hop: h, Guards: fakeGuards{}, Observer: noObserver{},
		RetryBudget: func() RetryBudget { return RetryBudget{Share: 0, Burst: 1} },
	})
	statuses := make(chan int, 100)
	send := func() {
		w := httptest.NewRecorder()
		i.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/fields", nil))
		statuses <- w.Code
	}
	go send()
	<-h.arrived
	for range 9 {
		send()
	}
	close(h.release)
	for range 10 {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("got status %d, want 200", status)
		}
	}
	if trials := 1 + len(h.arrived); trials != 1 {
		t.Errorf("%d requests served as trials with a retry budget of one attempt, want 1", trials)
	}
}
