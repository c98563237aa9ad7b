package picker

import (
	"fmt"
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/config/service"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// newLocalFirstPicker returns a Picker with four backend servers in each of three data centres, the first of
// which is that of the ingress.
func newLocalFirstPicker(now time.Time) *Picker {
	p := New(1, WithLocalFirst())
	p.Update(now, ServiceUpdated{Service: service.New("rounds").WithRamp(0)})
	for n := range 12 {
		b := backend.New(backend.ID(fmt.Sprintf("i-%d", n)), "rounds", member.ID(fmt.Sprintf("vm-%d", n))).WithSlots(4)
		p.Update(now, BackendUpdated{Backend: b, SameDatacentre: n < 4, InService: true})
	}
	return p
}

// remoteShare sends requests that all stay in flight and returns the share that was sent to other data centres.
func remoteShare(t *testing.T, requests, bytes int) float64 {
	t.Helper()
	now := time.Unix(0, 0)
	p := newLocalFirstPicker(now)
	remote := 0
	for n := range requests {
		chosen, err := p.PickFor(now, Request{Service: "rounds", BodyBytes: bytes})
		if err != nil {
			t.Fatal(err)
		}
		if p.servers[chosen].sameDatacentre {
			p.Update(now, AttemptStarted{Attempt: id.New("vm-0", 1, uint64(n)), Backend: chosen})
			continue
		}
		remote++
		p.Update(now, AttemptStarted{Attempt: id.New("vm-0", 1, uint64(n)), Backend: chosen})
	}
	return float64(remote) / float64(requests)
}

// TestRequestsStayInDatacentreWhileItHasFreeSlots checks that requests leave the data centre only when its
// slots are in use, and that requests with large bodies leave it later than others.
func TestRequestsStayInDatacentreWhileItHasFreeSlots(t *testing.T) {
	if share := remoteShare(t, 10, 0); share > 0 {
		t.Errorf("share of requests sent to other data centres = %.2f while the local one has free slots, want 0", share)
	}
	small, large := remoteShare(t, 40, 0), remoteShare(t, 40, 1<<20)
	if small < 0.3 {
		t.Errorf("share of requests sent to other data centres = %.2f while the local one has no free slots, want at least 0.3",
			small)
	}
	if large >= small {
		t.Errorf("share of requests sent to other data centres = %.2f with large bodies, want less than %.2f without bodies",
			large, small)
	}
}

// TestNonRepeatableRequestsShareFewBackendServers checks that requests that may run only once fill one backend
// server after the other, so that few of them meet the start of an episode of failures.
func TestNonRepeatableRequestsShareFewBackendServers(t *testing.T) {
	now := time.Unix(0, 0)
	p := newLocalFirstPicker(now)
	used := map[backend.ID]int{}
	for n := range 6 {
		chosen, err := p.PickFor(now, Request{Service: "rounds", RunOnce: true})
		if err != nil {
			t.Fatal(err)
		}
		used[chosen]++
		p.Update(now, AttemptStarted{Attempt: id.New("vm-0", 1, uint64(n)), Backend: chosen})
	}
	if len(used) != 2 {
		t.Errorf("6 concurrent requests use %d backend servers of 4 slots, want 2", len(used))
	}
}

// TestIngressesSpreadNonRepeatableRequests guards against the ingresses of a data centre overloading one
// backend server because they all choose it before they hear of each other's requests.
func TestIngressesSpreadNonRepeatableRequests(t *testing.T) {
	const ingresses, servers = 27, 27
	now := time.Unix(100, 0)
	sent := map[backend.ID]int{}
	for n := range uint64(ingresses) {
		p := New(n+1, WithLocalFirst())
		p.Update(now, ServiceUpdated{Service: service.New("rounds").WithRamp(0)})
		for s := range 2 * servers {
			b := backend.New(backend.ID(fmt.Sprintf("i-%02d", s)), "rounds", member.ID(fmt.Sprintf("vm-%02d", s))).WithSlots(8)
			p.Update(now, BackendUpdated{Backend: b, SameDatacentre: s < servers, InService: true})
		}
		chosen, err := p.PickFor(now, Request{Service: "rounds", RunOnce: true})
		if err != nil {
			t.Fatal(err)
		}
		sent[chosen]++
	}
	for name, n := range sent {
		if n > 2*serversPerPart {
			t.Errorf("%d of %d ingresses chose %s with 8 slots", n, ingresses, name)
		}
	}
}
