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

	"berylpass/emulator"
	"berylpass/ingress"
)

const clientTimeout = 8 * time.Second

// caller is an organisation that sends requests.
type caller struct {
	organisation string
	secret       string
	// rate and burst are its limit, sent is how many requests a second it sends.
	rate, sent float64
	burst      int
}

// told is what a caller was told of a request.
type told struct {
	id         string
	repeatable bool
	outcome    ingress.Outcome
	status     int
	body       string
	// cut tells that the connection ended without a whole answer.
	cut  bool
	at   time.Time
	took time.Duration
}

// traffic sends requests until it is stopped and keeps what was told.
type traffic struct {
	client  *http.Client
	targets func() []string
	stop    chan struct{}
	wait    sync.WaitGroup
	number  atomic.Uint64

	mu   sync.Mutex
	told map[string][]told
}

func newTraffic(targets func() []string) *traffic {
	return &traffic{
		client:  &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		targets: targets,
		stop:    make(chan struct{}),
		told:    map[string][]told{},
	}
}

// send starts the requests of one caller: half lookups, half confirmations that must not double.
func (t *traffic) send(c caller, seed uint64) {
	t.wait.Go(func() {
		random := rand.New(rand.NewPCG(seed, 1))
		ticker := time.NewTicker(time.Duration(float64(time.Second) / c.sent))
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

func (t *traffic) end() {
	close(t.stop)
	t.wait.Wait()
	t.client.CloseIdleConnections()
}

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
	t.told[c.organisation] = append(t.told[c.organisation], r)
}

func (t *traffic) call(target, method, path, id, secret string) told {
	start := time.Now()
	r := told{id: id, at: start, cut: true}
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
	r.cut = err != nil
	r.body, r.status, r.took = string(body), response.StatusCode, time.Since(start)
	r.outcome = ingress.Outcome(response.Header.Get(ingress.OutcomeHeader))
	return r
}
