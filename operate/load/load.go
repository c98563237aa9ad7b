package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"berylpass/answer"
)

// outcomeHeader is the response header in which a daemon reports the outcome of a request.
const outcomeHeader = "Berylpass-Outcome"

// maxIdlePerTarget is the maximum number of idle connections kept for each target.
const maxIdlePerTarget = 512

// Load is one run of a plan. It is created by New and run once.
type Load struct {
	plan   Plan
	client *http.Client
	fleet  *recorder
	direct *recorder
	// warmUp records the outcomes of the warm-up, which the result leaves out.
	warmUp      *recorder
	outstanding atomic.Int64
	sequence    atomic.Uint64
	wait        sync.WaitGroup
}

// New returns a run of the plan, which must be valid as ParsePlan requires.
func New(plan Plan) *Load {
	return &Load{
		plan: plan,
		client: &http.Client{
			Timeout: plan.Timeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: maxIdlePerTarget,
				DisableCompression:  true,
			},
		},
		fleet:  newRecorder(),
		direct: newRecorder(),
		warmUp: newRecorder(),
	}
}

// Run sends the load, waits for all responses and returns the result. If ctx ends early, Run sends no more requests
// and returns the result so far with the error of ctx.
func (l *Load) Run(ctx context.Context) (Result, error) {
	random := rand.New(rand.NewPCG(l.plan.Seed, 0))
	start := time.Now()
	due := start
	for {
		gap := -math.Log(1-random.Float64()) / l.plan.Rate
		due = due.Add(time.Duration(gap * float64(time.Second)))
		if due.Sub(start) > l.plan.WarmUp+l.plan.Duration {
			break
		}
		if err := sleepUntil(ctx, due); err != nil {
			break
		}
		l.send(ctx, random, due, due.Sub(start) >= l.plan.WarmUp)
	}
	l.wait.Wait()
	l.client.CloseIdleConnections()
	return newResult(l.plan, time.Since(start)-l.plan.WarmUp, l.fleet, l.direct), ctx.Err()
}

// send draws an organisation and a route, and starts one request to a daemon and, if the plan names backend servers, the
// same request to one of them directly. Requests that are not counted belong to the warm-up.
func (l *Load) send(ctx context.Context, random *rand.Rand, due time.Time, counted bool) {
	n := l.sequence.Add(1)
	o := l.plan.Organisations[pickWeighted(random, organisationWeights(l.plan))]
	r := l.plan.Routes[pickWeighted(random, routeWeights(l.plan))]
	target := l.plan.Targets[int(n)%len(l.plan.Targets)]
	fleet, direct := l.fleet, l.direct
	if !counted {
		fleet, direct = l.warmUp, l.warmUp
	}
	l.startRequest(ctx, fleet, target, o, r, n, due)
	if len(l.plan.Direct) > 0 {
		l.startRequest(ctx, direct, l.plan.Direct[int(n)%len(l.plan.Direct)], Organisation{Name: o.Name}, r, n, due)
	}
}

// startRequest starts one request and records its outcome and its latency since due in rec. If too many requests are
// outstanding, it sends nothing and records the outcome not-sent.
func (l *Load) startRequest(ctx context.Context, rec *recorder, base string, o Organisation, r Route, n uint64, due time.Time) {
	if l.outstanding.Load() >= int64(l.plan.Outstanding) {
		rec.record(o.Name, "not-sent", 0)
		return
	}
	l.outstanding.Add(1)
	l.wait.Go(func() {
		defer l.outstanding.Add(-1)
		outcome := l.exchange(ctx, base, o, r, n)
		rec.record(o.Name, outcome, time.Since(due))
	})
}

// exchange sends one request and returns its outcome: that reported by a daemon in outcomeHeader, over-limit for status
// 429, failed for a transport error, an answer that is malformed or may be cut short and any other status from 500, and
// answered otherwise.
func (l *Load) exchange(ctx context.Context, base string, o Organisation, r Route, n uint64) string {
	request, err := http.NewRequestWithContext(ctx, r.Method, base+r.Path, bytes.NewReader(make([]byte, r.Body)))
	if err != nil {
		return "failed"
	}
	request.Header.Set("X-Request-Id", fmt.Sprintf("load-%d-%d", l.plan.Seed, n))
	if o.Key != "" {
		request.Header.Set("Authorization", "Bearer "+o.Key)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return "failed"
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "failed"
	}
	if answer.Check(response) != nil || !answer.IsDelimited(response) {
		return "failed"
	}
	if response.StatusCode == http.StatusTooManyRequests {
		return "over-limit"
	}
	if outcome := response.Header.Get(outcomeHeader); outcome != "" {
		return outcome
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return "failed"
	}
	return "answered"
}

// sleepUntil waits until due, or until ctx ends, and then returns the error of ctx.
func sleepUntil(ctx context.Context, due time.Time) error {
	left := time.Until(due)
	if left <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// organisationWeights returns a function that returns the weight of the organisation with index i, reduced by the plan's
// skew, and false beyond the last.
func organisationWeights(p Plan) func(i int) (float64, bool) {
	return func(i int) (float64, bool) {
		if i >= len(p.Organisations) {
			return 0, false
		}
		return p.Organisations[i].Weight / math.Pow(float64(i+1), p.Skew), true
	}
}

// routeWeights returns a function that returns the weight of the route with index i, and false beyond the last.
func routeWeights(p Plan) func(i int) (float64, bool) {
	return func(i int) (float64, bool) {
		if i >= len(p.Routes) {
			return 0, false
		}
		return p.Routes[i].Weight, true
	}
}

// pickWeighted draws an index with a probability in proportion to its weight.
func pickWeighted(random *rand.Rand, weights func(i int) (float64, bool)) int {
	total := 0.0
	for i := 0; ; i++ {
		w, ok := weights(i)
		if !ok {
			break
		}
		total += w
	}
	left := random.Float64() * total
	for i := 0; ; i++ {
		w, ok := weights(i)
		if !ok {
			return i - 1
		}
		if left -= w; left < 0 {
			return i
		}
	}
}
