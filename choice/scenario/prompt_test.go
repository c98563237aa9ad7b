package scenario

import (
	"slices"
	"testing"
	"time"

	"berylpass/choice/verdict"
)

// measureLocalLoad simulates one data centre of a large fleet at a third of its capacity. Its
// ingresses prefer the backend servers of their data centre for requests that may run only once, and
// each learns their load only from its own answers. It returns the 95th percentile of the answer
// time and the fraction of requests that ran in the other data centre.
func measureLocalLoad(seed uint64, promptAttempts int) (p95 time.Duration, remote float64) {
	const servers = 18
	s := settings{seed: seed, ingresses: 22, services: map[string]int{"catalogue-desk": 2 * servers}, remoteServers: servers,
		slots: 5, median: 350 * time.Millisecond, sigma: 0.3, rate: 2.5, deadline: 4 * time.Second, promptAttempts: promptAttempts}
	w := newWorld(s)
	w.startLoad()
	w.run(5 * time.Second)
	var times []time.Duration
	w.answered = func(c *call, v verdict.Verdict) {
		if v == verdict.OK {
			times = append(times, w.now.Sub(c.arrivedAt))
		}
	}
	w.run(40 * time.Second)
	slices.Sort(times)
	elsewhere, all := 0, 0
	for n, name := range w.names {
		all += w.servers[name].completed
		if n < servers {
			elsewhere += w.servers[name].completed
		}
	}
	return times[len(times)*95/100], float64(elsewhere) / float64(all)
}

// TestPromptRequestsFindAFreeSlot checks that requests do not queue at one backend server while
// others of the data centre have free slots: refusing the first attempts instead of queueing them
// must lower the 95th percentile of the answer time.
func TestPromptRequestsFindAFreeSlot(t *testing.T) {
	// objective is the latency objective of these requests. The 95th percentile of the service
	// time takes half of it.
	const objective, maxRemoteShare = 1200 * time.Millisecond, 0.05
	for seed := range uint64(3) {
		withoutPrompt, _ := measureLocalLoad(seed+1, 0)
		p95, remote := measureLocalLoad(seed+1, 2)
		t.Logf("seed %d: 95th percentile %v, %v without prompt requests; %.3f in the other data centre", seed+1,
			p95.Round(time.Millisecond), withoutPrompt.Round(time.Millisecond), remote)
		if p95 >= withoutPrompt || p95 > objective {
			t.Errorf("seed %d: 95th percentile %v, without prompt requests %v, objective %v", seed+1, p95, withoutPrompt, objective)
		}
		if remote > maxRemoteShare {
			t.Errorf("seed %d: %.3f of the requests ran in the other data centre, want at most %.2f", seed+1, remote, maxRemoteShare)
		}
	}
}
