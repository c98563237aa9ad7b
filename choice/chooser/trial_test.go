package chooser

import (
	"errors"
	"testing"
	"time"

	"berylpass/choice/picker"
	"berylpass/config/datacentre"
	"berylpass/config/service"
	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/rollout/exposure"
	"berylpass/rollout/participant"
)

// fakeVersions holds the standing of versions, and the trial of every service.
type fakeVersions struct {
	standing map[string]exposure.Standing
	trial    participant.Trial
}

func (v *fakeVersions) Standing(_, version string) exposure.Standing { return v.standing[version] }
func (v *fakeVersions) Trial(string) participant.Trial               { return v.trial }

// newTrialChooser returns a chooser with two backend servers each of the versions v1 and v2.
func newTrialChooser(t *testing.T, v Versions) *Chooser {
	t.Helper()
	self := member.New("vm-0", "srem")
	c := New(Options{Self: self, Seed: 1, Clock: time.Now, Versions: v})
	t.Cleanup(c.Close)
	c.SetConfiguration(snapshot.New(1).WithDatacentre(datacentre.New("srem", "wielkopolska")).WithService(service.New("rounds")).Index())
	for i, id := range []backend.ID{"a1", "a2", "b1", "b2"} {
		b := backend.New(id, "rounds", "vm-1").WithSlots(100).WithVersion([]string{"v1", "v2"}[i/2])
		c.SetBackend(b, member.New("vm-1", "srem"))
	}
	return c
}

// picks picks n times and counts the picks by backend server.
func picks(t *testing.T, c *Chooser, n int, r picker.Request) map[backend.ID]int {
	t.Helper()
	counts := map[backend.ID]int{}
	for range n {
		target, err := c.Pick(r)
		if err != nil {
			t.Fatal(err)
		}
		counts[target.Backend.ID]++
	}
	return counts
}

func TestShareOfAVersionOnTrial(t *testing.T) {
	const n = 1000
	request := picker.Request{Service: "rounds"}
	v := &fakeVersions{standing: map[string]exposure.Standing{"v2": exposure.OnTrial}}
	c := newTrialChooser(t, v)
	if counts := picks(t, c, n, request); counts["b1"]+counts["b2"] != 0 {
		t.Errorf("without a share: %v", counts)
	}
	v.trial = participant.Trial{Share: 0.1, Focus: []backend.ID{"b2"}, FocusShare: 0.8}
	counts := picks(t, c, n, request)
	if toNew := counts["b1"] + counts["b2"]; toNew < n/10-1 || toNew > n/10+1 {
		t.Errorf("%d of %d requests for a share of 0.1", toNew, n)
	}
	if counts["b1"] == 0 || counts["b2"] < 2*counts["b1"] {
		t.Errorf("focus on b2: %v", counts)
	}
	request.Exclude = []backend.ID{"a1"}
	if counts := picks(t, c, n, request); counts["b1"]+counts["b2"] != 0 {
		t.Errorf("requests that are sent again: %v", counts)
	}
	request.Exclude, v.trial = nil, participant.Trial{Share: 1}
	if counts := picks(t, c, n, request); counts["b1"]+counts["b2"] != n {
		t.Errorf("with a share of all: %v", counts)
	}
	v.standing, v.trial = map[string]exposure.Standing{"v1": exposure.Withheld}, participant.Trial{}
	c.VersionsChanged("rounds")
	if counts := picks(t, c, n, request); counts["a1"]+counts["a2"] != 0 {
		t.Errorf("the old version after completion: %v", counts)
	}
	v.standing["v2"] = exposure.Withheld
	c.VersionsChanged("rounds")
	if _, err := c.Pick(request); !errors.Is(err, picker.ErrNoBackend) {
		t.Errorf("with all versions withheld: %v", err)
	}
}
