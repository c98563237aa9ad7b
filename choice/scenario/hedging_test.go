package scenario

import (
	"slices"
	"testing"
	"time"

	"berylpass/attempt/allowance"
	"berylpass/attempt/id"
	"berylpass/choice/picker"
	"berylpass/choice/verdict"
	"berylpass/fleet/backend"
)

// hedges holds the allowances by ingress, and the slot time that calls and their hedges took.
type hedges struct {
	allowances  map[int]allowance.Allowance
	sent, won   int
	work, extra time.Duration
}

// ran counts the slot time of an attempt that ends now.
func (h *hedges) ran(r *call, now time.Time) {
	if r.hedgeAfter > 0 {
		h.extra += now.Sub(r.began)
		return
	}
	h.work += now.Sub(r.began)
}

// allowance returns the allowance of an ingress.
func (w *world) allowance(ingress int) allowance.Allowance {
	if w.hedges.allowances == nil {
		w.hedges.allowances = make(map[int]allowance.Allowance)
	}
	return w.hedges.allowances[ingress].WithShare(w.hedgeShare)
}

// recordWork tells the allowance of the ingress how long an attempt took.
func (w *world) recordWork(r *call, o picker.AttemptEnded) {
	a := w.allowance(r.ingress)
	switch {
	case r.hedgeAfter > 0:
		w.hedges.allowances[r.ingress] = a.WithExtra(o.Took - r.hedgeAfter)
	case o.Verdict == verdict.OK:
		w.hedges.allowances[r.ingress] = a.WithWork(o.Took)
	}
}

// scheduleHedge sends the call to a second backend server if it has no answer after the delay of its service.
func (w *world) scheduleHedge(r *call) {
	if w.hedgeShare == 0 || r.runOnce || r.hedgeAfter > 0 {
		return
	}
	p, attempt := w.pickers[r.ingress], r.id
	delay, ok := p.HedgeDelay(w.now, r.service, r.class)
	if !ok {
		return
	}
	w.after(delay, func() {
		if w.calls[attempt] == nil || r.twin != nil || !w.allowance(r.ingress).Allows(delay) {
			return
		}
		chosen, err := p.PickHedge(w.now, picker.Request{Service: r.service, Class: r.class, Exclude: r.tried})
		if err == nil {
			w.hedge(r, chosen, delay)
		}
	})
}

// hedge sends the hedge of a call.
func (w *world) hedge(r *call, chosen backend.ID, delay time.Duration) {
	h := *r
	w.attempts++
	h.id, h.sent, h.hedgeAfter, h.twin = id.New("ingress", 1, w.attempts), w.now, delay, r
	h.tried = append(slices.Clone(r.tried), chosen)
	r.twin = &h
	w.hedges.sent++
	w.hedges.allowances[r.ingress] = w.allowance(r.ingress).WithExtra(delay)
	w.calls[h.id] = &h
	attempt := h.id
	w.pickers[r.ingress].Update(w.now, picker.AttemptStarted{Attempt: h.id, Backend: chosen, Class: h.class})
	w.after(hopDelay, func() { w.servers[chosen].arrive(&h) })
	w.after(h.expires.Sub(w.now), func() { w.timeout(&h, attempt, chosen) })
}

// conclude ends a call for its caller, unless its twin may still answer it. A good answer cancels the twin.
func (w *world) conclude(r *call, v verdict.Verdict) {
	t := r.twin
	if t == nil {
		w.end(r, v)
		return
	}
	r.twin, t.twin = nil, nil
	if v != verdict.OK {
		return
	}
	if r.hedgeAfter > 0 {
		w.hedges.won++
	}
	if w.calls[t.id] != nil {
		delete(w.calls, t.id)
		on := t.tried[len(t.tried)-1]
		w.pickers[t.ingress].Update(w.now, picker.AttemptDiscarded{Attempt: t.id, Backend: on})
		if t.hedgeAfter > 0 {
			w.hedges.allowances[t.ingress] = w.allowance(t.ingress).WithExtra(w.now.Sub(t.sent) - t.hedgeAfter)
		}
		w.servers[on].cancel(t.id)
	}
	w.end(r, v)
}

// hedgeOutcome is what callers saw, and what the hedges cost.
type hedgeOutcome struct {
	p50, p99, p999 time.Duration
	goodShare      float64
	extraShare     float64
	hedges         hedges
}

// measureHedging plays a service of 20 backend servers at the given load, as a share of its slots, with hedges
// up to the given share of its work. The fault lasts for two seconds in every six, as long as detection may take.
func measureHedging(share, load float64, seed uint64, inject func(*world, backend.ID)) hedgeOutcome {
	const slots, meanService = 4, 0.106 // of the log-normal times below, in seconds
	s := settings{seed: seed, ingresses: 40, services: map[string]int{"rounds": 20}, slots: slots,
		rate: load * slots / meanService, median: 80 * time.Millisecond, sigma: 0.7, maxNoticeDelay: time.Second,
		deadline: 3 * time.Second, hedgeShare: share}
	w := newWorld(s)
	w.startLoad()
	w.run(10 * time.Second)
	var times []time.Duration
	offered := 0
	w.answered = func(c *call, v verdict.Verdict) {
		offered++
		if v == verdict.OK {
			times = append(times, w.now.Sub(c.arrivedAt))
		}
	}
	w.hedges.work, w.hedges.extra = 0, 0
	for n := range 5 {
		victim := w.names[n%len(w.names)]
		inject(w, victim)
		w.run(2 * time.Second)
		w.servers[victim].repair()
		w.run(4 * time.Second)
	}
	slices.Sort(times)
	at := func(q float64) time.Duration { return times[int(q*float64(len(times)-1))] }
	return hedgeOutcome{
		p50: at(0.5), p99: at(0.99), p999: at(0.999), goodShare: float64(len(times)) / float64(offered),
		extraShare: w.hedges.extra.Seconds() / w.hedges.work.Seconds(), hedges: w.hedges,
	}
}

// TestHedging checks that hedges cut the slowest answers of a service with spare room while a backend server is
// slow or paused, keep to their limit, and are not sent while there is no spare room.
func TestHedging(t *testing.T) {
	const limit = 0.05
	none := func(*world, backend.ID) {}
	for _, c := range []struct {
		name   string
		load   float64
		inject func(*world, backend.ID)
		// gain is the largest 99.9th percentile, as a share of that without hedges; 0 for no bound.
		gain float64
	}{
		{"one-slow", 0.4, func(w *world, b backend.ID) { w.servers[b].fault.slowFactor = 10 }, 0.8},
		{"one-paused", 0.4, func(w *world, b backend.ID) { w.servers[b].fault.stuck = true }, 0.8},
		{"heavy-tailed", 0.4, none, 0.9},
		{"nearly-full", 0.8, none, 0},
		{"overloaded", 1.3, none, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range *seeds {
				without := measureHedging(0, c.load, seed, c.inject)
				with := measureHedging(limit, c.load, seed, c.inject)
				t.Logf("seed %d: without p50 %v p99 %v p99.9 %v, %.4f good; with p50 %v p99 %v p99.9 %v, %.4f good; %d sent, %d won, extra work %.3f",
					seed, without.p50, without.p99, without.p999, without.goodShare, with.p50, with.p99, with.p999,
					with.goodShare, with.hedges.sent, with.hedges.won, with.extraShare)
				// What the daemons may have saved up before the measurement is spent during it.
				if with.extraShare > 1.1*limit {
					t.Errorf("extra work is %.3f of the work, want at most %.3f", with.extraShare, limit)
				}
				if with.goodShare < without.goodShare-0.005 {
					t.Errorf("%.4f of the calls were answered with hedges, want as many as without: %.4f", with.goodShare, without.goodShare)
				}
				if c.gain > 0 && float64(with.p999) > c.gain*float64(without.p999) {
					t.Errorf("99.9th percentile %v with hedges, want at most %.1f of %v", with.p999, c.gain, without.p999)
				}
				if c.load > 0.7 && with.extraShare > 0.01 {
					t.Errorf("extra work is %.3f of the work without spare room, want none", with.extraShare)
				}
			}
		})
	}
}
