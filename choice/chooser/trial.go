package chooser

import (
	"math/rand/v2"
	"slices"
	"time"

	"berylpass/choice/picker"
	"berylpass/fleet/backend"
	"berylpass/rollout/exposure"
	"berylpass/rollout/participant"
)

// sampledShare is the greatest share of the requests with which a version on trial is sampled: each of its backend
// servers gets requests, also one that seems to fail. With a greater share the picker chooses by load and health.
const sampledShare = 0.2

// Versions decides which versions of a service may be used.
type Versions interface {
	Standing(service, version string) exposure.Standing
	Trial(service string) participant.Trial
}

// trials holds the backend servers on trial. The picker has them in a group of their own for each service.
type trials struct {
	random *rand.Rand
	// servers holds the IDs of the backend servers that can get requests, sorted, by service.
	servers map[string][]backend.ID
	// credit is, by service, the number of requests that are due for the version on trial; one request is sent for
	// each whole one.
	credit map[string]float64
}

func newTrials(seed uint64) trials {
	return trials{
		random: rand.New(rand.NewPCG(seed, seed+1)), servers: map[string][]backend.ID{}, credit: map[string]float64{},
	}
}

// remove removes a backend server.
func (t *trials) remove(id backend.ID) {
	for service, ids := range t.servers {
		if at, found := slices.BinarySearch(ids, id); found {
			t.servers[service] = slices.Delete(ids, at, at+1)
		}
	}
}

// add adds a backend server of a service.
func (t *trials) add(service string, id backend.ID) {
	if at, found := slices.BinarySearch(t.servers[service], id); !found {
		t.servers[service] = slices.Insert(t.servers[service], at, id)
	}
}

// due counts one request of a service and reports whether it is due for the version on trial. The first credit is
// random, so that the ingresses of a fleet together send the share, however few requests each has.
func (t *trials) due(service string, share float64) bool {
	if _, ok := t.credit[service]; !ok {
		t.credit[service] = t.random.Float64()
	}
	t.credit[service] += share
	if t.credit[service] < 1 {
		return false
	}
	t.credit[service]--
	return true
}

// trialGroup returns the name of the picker's group of a service's backend servers on trial.
func trialGroup(service string) string { return service + " (on trial)" }

// VersionsChanged applies the standing of a service's versions.
func (c *Chooser) VersionsChanged(service string) {
	now := c.options.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.targets {
		if t.Backend.Service == service {
			c.updateTarget(now, t)
		}
	}
}

// versioned returns a target's backend server as the picker is to know it, and whether it can be used, if it can apart
// from its version. The caller must hold c.mu.
func (c *Chooser) versioned(now time.Time, t Target, usable bool) (backend.Backend, bool) {
	b := t.Backend
	if c.options.Versions == nil {
		return b, usable
	}
	standing := c.options.Versions.Standing(b.Service, b.Version)
	c.trials.remove(b.ID)
	if standing != exposure.OnTrial {
		return b, usable && standing == exposure.Usual
	}
	if usable && b.State == backend.Serving {
		c.trials.add(b.Service, b.ID)
	}
	if s, ok := c.snapshot.Services[b.Service]; ok {
		s.Name = trialGroup(b.Service)
		c.picker.Update(now, picker.ServiceUpdated{Service: s})
	}
	b.Service = trialGroup(b.Service)
	return b, usable
}

// trialOf returns how a service's requests are shared with a version on trial.
func (c *Chooser) trialOf(service string) participant.Trial {
	if c.options.Versions == nil {
		return participant.Trial{}
	}
	return c.options.Versions.Trial(service)
}

// pickOnTrial returns a backend server of the version on trial if the request is due for it. A request that has been
// sent elsewhere before stays with the version in service. The caller must hold c.mu.
func (c *Chooser) pickOnTrial(now time.Time, r picker.Request, trial participant.Trial) (Target, bool) {
	ids := c.trials.servers[r.Service]
	if trial.Share <= 0 || len(ids) == 0 || len(r.Exclude) > 0 && trial.Share < 1 || !c.trials.due(r.Service, trial.Share) {
		return Target{}, false
	}
	sampled := trial.Share <= sampledShare && r.HomeRegions == nil
	var chosen backend.ID
	if sampled {
		chosen = c.sample(ids, trial)
	} else {
		of := r
		of.Service = trialGroup(r.Service)
		id, err := c.picker.PickFor(now, of)
		if err != nil {
			return Target{}, false
		}
		chosen = id
	}
	t, ok := c.targets[chosen]
	t.Forced, t.TrialOnly = sampled || c.picker.Forced(chosen), sampled || c.picker.TrialOnly(chosen)
	onTrial := r
	onTrial.Service = trialGroup(r.Service)
	t.HasOther = c.picker.HasOther(r, chosen) || c.picker.HasOther(onTrial, chosen)
	return t, ok
}

// sample returns one of the backend servers on trial. Some of them get more requests than the others, so that a fault
// under load shows. The caller must hold c.mu.
func (c *Chooser) sample(ids []backend.ID, trial participant.Trial) backend.ID {
	var focus []backend.ID
	for _, id := range trial.Focus {
		if _, known := slices.BinarySearch(ids, id); known {
			focus = append(focus, id)
		}
	}
	if len(focus) > 0 && c.trials.random.Float64() < trial.FocusShare {
		ids = focus
	}
	return ids[c.trials.random.IntN(len(ids))]
}
