package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"berylpass/config/datacentre"
	"berylpass/config/key"
	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/service"
	"berylpass/config/snapshot"
	"berylpass/daemon"
	"berylpass/emulator"
	"berylpass/ingress"
	"berylpass/operate/localfleet"
)

const (
	// pollInterval is the time between two checks of waitUntil.
	pollInterval = 5 * time.Millisecond
	// shortDeadline is the deadline of the route hurried.
	shortDeadline = 700 * time.Millisecond
	// otherSecret is the key of the organisation hope-bay-library.
	otherSecret = "library-key-0123456789"
	// unlimited is a rate and a burst that no test reaches.
	unlimited = 100000
)

// testFleet is a fleet in one process with a backend server rounds-N on the VM vm-N of each
// daemon that startVM has started.
type testFleet struct {
	*localfleet.LocalFleet
	t        *testing.T
	backends []*localfleet.Backend
	// snapshot is the snapshot that was last published.
	snapshot snapshot.Snapshot
}

// newTestFleet starts n daemons with a backend server each, publishes testConfiguration
// and waits until all daemons answer requests.
func newTestFleet(t *testing.T, n int, options ...emulator.Option) *testFleet {
	t.Helper()
	f := newEmptyTestFleet(t)
	for i := range n {
		f.startVM(i+1, options...)
	}
	f.publishAndAwait(testConfiguration())
	f.awaitAnswers()
	return f
}

// awaitAnswers waits until each daemon answers a request of each organisation. A daemon is
// ready before it can get tokens of the limits.
func (f *testFleet) awaitAnswers() {
	f.t.Helper()
	for _, secret := range []string{secret, otherSecret} {
		c := newCaller(f.t, secret)
		for id, d := range f.Daemons() {
			f.waitUntil(id+" answers", func() bool {
				return c.send(d.Addresses().Callers, "GET", "/fields", "", nil).outcome == ingress.Answered
			})
		}
	}
}

// newEmptyTestFleet starts a stand-in for the platform and no daemons.
func newEmptyTestFleet(t *testing.T, options ...localfleet.Option) *testFleet {
	t.Helper()
	local, err := localfleet.New(options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(local.Close)
	return &testFleet{LocalFleet: local, t: t}
}

// startVM starts the daemon vm-n and the backend server rounds-n. Even VMs are in the data
// centre srem, odd ones in gniezno.
func (f *testFleet) startVM(n int, options ...emulator.Option) {
	f.t.Helper()
	f.startDaemon(n)
	options = append([]emulator.Option{
		emulator.WithSecrets(secret, otherSecret), emulator.WithServiceTime(time.Millisecond), emulator.WithSlots(8),
	}, options...)
	b, err := f.StartBackend(vm(n), fmt.Sprintf("rounds-%d", n), "rounds", options...)
	if err != nil {
		f.t.Fatal(err)
	}
	f.backends = append(f.backends, b)
}

// startDaemon starts the daemon vm-n without a backend server.
func (f *testFleet) startDaemon(n int, changes ...localfleet.DaemonOption) *daemon.Daemon {
	f.t.Helper()
	d, err := f.StartDaemon(vm(n), []string{"srem", "gniezno"}[n%2], changes...)
	if err != nil {
		f.t.Fatal(err)
	}
	return d
}

func vm(n int) string { return fmt.Sprintf("vm-%d", n) }

// publishAndAwait publishes a snapshot as the next revision and waits until all daemons
// are ready with it and know all backend servers. It doesn't wait until the daemons hold
// all shares of the limits.
func (f *testFleet) publishAndAwait(s snapshot.Snapshot) {
	f.t.Helper()
	f.publish(s)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	inForce := func(d *daemon.Daemon) bool {
		s := d.Status()
		return s.Ready == "ready" && s.Revision == f.snapshot.Revision && len(s.Backends) == len(f.backends)
	}
	if err := f.AwaitAll(ctx, inForce); err != nil {
		f.t.Fatalf("revision %d is not in force: %v", f.snapshot.Revision, err)
	}
}

// publish publishes a snapshot as the next revision.
func (f *testFleet) publish(s snapshot.Snapshot) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	s = s.WithRevision(f.snapshot.Revision + 1).Index()
	if err := f.Publish(ctx, s); err != nil {
		f.t.Fatal(err)
	}
	f.snapshot = s
}

// waitUntil waits until the condition holds, and fails the test after testLimit.
func (f *testFleet) waitUntil(what string, holds func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(testLimit)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting until %s", what)
		}
		<-ticker.C
	}
}

// callersAddress returns the callers' address of the daemon vm-n, host:port.
func (f *testFleet) callersAddress(n int) string { return f.Daemons()[vm(n)].Addresses().Callers }

// runs returns how often the request with this ID ran at all backend servers together.
func (f *testFleet) runs(request string) int {
	n := 0
	for _, b := range f.backends {
		n += b.RunCount(request)
	}
	return n
}

// testConfiguration returns a snapshot with two organisations without effective limits.
func testConfiguration() snapshot.Snapshot {
	farmers := organisation.New("kowalski-orchards").WithLimit(unlimited, unlimited).WithKey(key.New("k1", key.DigestOf(secret)))
	readers := organisation.New("hope-bay-library").WithLimit(unlimited, unlimited).WithKey(key.New("k1", key.DigestOf(otherSecret)))
	return snapshot.New(1).
		WithOrganisation(farmers).
		WithOrganisation(readers).
		WithDatacentre(datacentre.New("srem", "wielkopolska")).
		WithDatacentre(datacentre.New("gniezno", "wielkopolska")).
		WithService(service.New("rounds").WithRamp(0)).
		WithRoute(route.New("lookups", "rounds").WithMatch("", "/fields", "GET").WithRepeatable(true)).
		WithRoute(route.New("visits", "rounds").WithMatch("", "/visits", "POST")).
		WithRoute(route.New("hurried", "rounds").WithMatch("", "/hurried", "POST").WithDeadline(shortDeadline)).
		WithRoute(route.New("notices", "rounds").WithMatch("", "/notices", "GET").WithOpen(true)).
		Index()
}

// result is the answer to one request as its caller received it.
type result struct {
	id      string
	status  int
	outcome ingress.Outcome
	reason  string
	body    string
	// sentAt is the time before the request was sent, answeredAt the time after its answer
	// was read. startLoad sets them.
	sentAt, answeredAt time.Time
	// err is set if the request was not sent or its answer did not arrive completely.
	err error
}

func (r result) String() string {
	return fmt.Sprintf("%s: %d %s %s %.80q %v", r.id, r.status, r.outcome, r.reason, r.body, r.err)
}

// caller sends requests with one key over its own connections.
type caller struct {
	client *http.Client
	secret string
}

func newCaller(t *testing.T, secret string) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	t.Cleanup(transport.CloseIdleConnections)
	return &caller{client: &http.Client{Transport: transport, Timeout: testLimit}, secret: secret}
}

// send sends one request with the request ID id and reads its answer.
func (c *caller) send(address, method, path, id string, body []byte) result {
	r := result{id: id}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	request.Header.Set(emulator.RequestHeader, id)
	if c.secret != "" {
		request.Header.Set("Authorization", "Bearer "+c.secret)
	}
	response, err := c.client.Do(request)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	r.status, r.body, r.err = response.StatusCode, string(text), err
	r.outcome = ingress.Outcome(response.Header.Get(ingress.OutcomeHeader))
	var refusal struct {
		Reason string `json:"reason"`
	}
	if r.outcome != ingress.Answered && json.Unmarshal(text, &refusal) == nil {
		r.reason = refusal.Reason
	}
	return r
}

// sendAsync sends one request in the background.
func (c *caller) sendAsync(address, method, path, id string) <-chan result {
	out := make(chan result, 1)
	go func() { out <- c.send(address, method, path, id, nil) }()
	return out
}

// load collects the results of concurrent callers.
type load struct {
	stop chan struct{}
	wait sync.WaitGroup

	mu      sync.Mutex
	results []result
}

// startLoad starts callers that each send one request after the other until finish is called.
func startLoad(callers int, send func(id string) result) *load {
	l := &load{stop: make(chan struct{})}
	for n := range callers {
		l.wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				default:
				}
				sent := time.Now()
				r := send(fmt.Sprintf("%d-%d", n, i))
				r.sentAt, r.answeredAt = sent, time.Now()
				l.mu.Lock()
				l.results = append(l.results, r)
				l.mu.Unlock()
			}
		})
	}
	return l
}

// finish stops the callers and returns all results.
func (l *load) finish() []result {
	close(l.stop)
	l.wait.Wait()
	return l.results
}

// checkOutcomes checks the outcomes that callers received against the runs at the backend
// servers: a request runs at most once, an answered one exactly once with its own answer,
// and one refused as not run never.
func (f *testFleet) checkOutcomes(all []result) {
	f.t.Helper()
	for _, r := range all {
		n := f.runs(r.id)
		switch {
		case n > 1:
			f.t.Errorf("%s: ran %d times", r, n)
		case r.outcome == ingress.NotRun && n != 0:
			f.t.Errorf("%s: refused as not run, but ran", r)
		case r.outcome == ingress.Answered && n != 1:
			f.t.Errorf("%s: answered, but ran %d times", r, n)
		case r.outcome == ingress.Answered && !bytes.Contains([]byte(r.body), []byte("request="+r.id+" ")):
			f.t.Errorf("%s: the answer belongs to another request", r)
		}
	}
}
