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
)

// outcomeHeader is the header in which a daemon tells how a request ended.
const outcomeHeader = "Berylpass-Outcome"

// idleConnections bounds the kept connections per target.
const idleConnections = 512

// Load is one run of a plan.
type Load struct {
	plan   Plan
	client *http.Client
	fleet  *series
	direct *series
	// ignored collects what comes back of the warm-up.
	ignored     *series
	outstanding atomic.Int64
	sequence    atomic.Uint64
	wait        sync.WaitGroup
}

// New returns a run of the plan, which must be without mistakes.
func New(plan Plan) *Load {
	return &Load{
		plan: plan,
		client: &http.Client{
			Timeout: plan.Timeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: idleConnections,
				DisableCompression:  true,
			},
		},
		fleet:   newSeries(),
		direct:  newSeries(),
		ignored: newSeries(),
	}
}

// Run sends the load and returns what came back. It ends early with ctx.
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

func (l *Load) send(ctx context.Context, random *rand.Rand, due time.Time, counted bool) {
	n := l.sequence.Add(1)
	o := l.plan.Organisations[pick(random, organisationWeights(l.plan))]
	r := l.plan.Routes[pick(random, routeWeights(l.plan))]
	target := l.plan.Targets[int(n)%len(l.plan.Targets)]
	fleet, direct := l.fleet, l.direct
	if !counted {
		fleet, direct = l.ignored, l.ignored
	}
	l.start(ctx, fleet, target, o, r, n, due)
	if len(l.plan.Direct) > 0 {
		l.start(ctx, direct, l.plan.Direct[int(n)%len(l.plan.Direct)], Organisation{Name: o.Name}, r, n, due)
	}
}

func (l *Load) start(ctx context.Context, s *series, base string, o Organisation, r Route, n uint64, due time.Time) {
	if l.outstanding.Load() >= int64(l.plan.Outstanding) {
		s.record(o.Name, "not-sent", 0)
		return
	}
	l.outstanding.Add(1)
	l.wait.Go(func() {
		defer l.outstanding.Add(-1)
		outcome := l.exchange(ctx, base, o, r, n)
		s.record(o.Name, outcome, time.Since(due))
	})
}

// exchange sends one request and returns its outcome.
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

func organisationWeights(p Plan) func(i int) (float64, bool) {
	return func(i int) (float64, bool) {
		if i >= len(p.Organisations) {
			return 0, false
		}
		return p.Organisations[i].Weight / math.Pow(float64(i+1), p.Skew), true
	}
}

func routeWeights(p Plan) func(i int) (float64, bool) {
	return func(i int) (float64, bool) {
		if i >= len(p.Routes) {
			return 0, false
		}
		return p.Routes[i].Weight, true
	}
}

// pick draws an index with a chance in proportion to its weight.
func pick(random *rand.Rand, weights func(i int) (float64, bool)) int {
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
