package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"berylpass/answer"
	"berylpass/emulator"
	"berylpass/ingress"
)

// clientTimeout is the time limit of one request.
const clientTimeout = 8 * time.Second

// caller is an organisation that sends requests.
type caller struct {
	organisation string
	secret       string
	// rate, in requests per second, and burst are its limit. sendRate is the number of requests that it sends per
	// second.
	rate, sendRate float64
	burst          int
}

// result is the response that a caller got to one request.
type result struct {
	id         string
	repeatable bool
	outcome    ingress.Outcome
	status     int
	body       string
	// incomplete reports whether the connection ended without a complete response.
	incomplete bool
	at         time.Time
	took       time.Duration
}

// traffic sends requests until it is stopped and collects the results by organisation.
type traffic struct {
	client  *http.Client
	targets func() []string
	stop    chan struct{}
	wait    sync.WaitGroup
	number  atomic.Uint64

	mu      sync.Mutex
	results map[string][]result
}

func newTraffic(targets func() []string) *traffic {
	return &traffic{
		client:  &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		targets: targets,
		stop:    make(chan struct{}),
		results: map[string][]result{},
	}
}

// send starts the requests of one caller: half of them repeatable lookups, half visits that must run at most once.
func (t *traffic) send(c caller, seed uint64) {
	t.wait.Go(func() {
		random := rand.New(rand.NewPCG(seed, 1))
		ticker := time.NewTicker(time.Duration(float64(time.Second) / c.sendRate))
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				repeatable := random.IntN(2) == 0
				n := random.IntN(1 << 20)
				t.wait.Go(func() { t.exchange(c, repeatable, n) })
			case <-t.stop:
				return
			}
		}
	})
}

// stopAndWait stops sending requests and waits until all responses have arrived.
func (t *traffic) stopAndWait() {
	close(t.stop)
	t.wait.Wait()
	t.client.CloseIdleConnections()
}

// exchange sends one request to the target that n selects and records the result.
func (t *traffic) exchange(c caller, repeatable bool, n int) {
	targets := t.targets()
	method, path := http.MethodPost, "/visits"
	if repeatable {
		method, path = http.MethodGet, "/fields"
	}
	id := fmt.Sprintf("%s-%d", c.organisation, t.number.Add(1))
	r := t.call(targets[n%len(targets)], method, path, id, c.secret)
	r.repeatable = repeatable
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results[c.organisation] = append(t.results[c.organisation], r)
}

// call sends one request and returns the result.
func (t *traffic) call(target, method, path, id, secret string) result {
	start := time.Now()
	r := result{id: id, at: start, incomplete: true}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+target+path, strings.NewReader(""))
	if err != nil {
		return r
	}
	request.Header.Set(emulator.RequestHeader, id)
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := t.client.Do(request)
	if err != nil {
		return r
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	r.incomplete = err != nil || answer.Check(response) != nil || !answer.IsDelimited(response)
	r.body, r.status, r.took = string(body), response.StatusCode, time.Since(start)
	r.outcome = ingress.Outcome(response.Header.Get(ingress.OutcomeHeader))
	return r
}
