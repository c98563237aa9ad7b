package daemon_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"berylpass/emulator"
	"berylpass/emulator/announcer"
	"berylpass/ingress"
	"berylpass/operate/localfleet"
)

// TestOutcomeOfUnresponsiveBackend checks that a request which a backend server accepts
// and never answers ends as unknown at the deadline and has run once.
func TestOutcomeOfUnresponsiveBackend(t *testing.T) {
	f := newTestFleet(t, 2)
	for _, b := range f.backends {
		b.SetFault(emulator.Fault{NoAnswer: true})
	}
	start := time.Now()
	r := newCaller(t, secret).send(f.callersAddress(1), "POST", "/hurried", "deaf", nil)
	if r.outcome != ingress.Unknown || r.status != http.StatusGatewayTimeout {
		t.Errorf("got %s, want unknown with 504", r)
	}
	if n := f.runs("deaf"); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
	if took := time.Since(start); took > 2*shortDeadline {
		t.Errorf("took %s with a deadline of %s", took, shortDeadline)
	}
}

// TestOutcomeOfCutAnswer checks that no part of a truncated answer reaches the caller.
func TestOutcomeOfCutAnswer(t *testing.T) {
	f := newTestFleet(t, 2, emulator.WithMinAnswerSize(64<<10))
	for _, b := range f.backends {
		b.SetFault(emulator.Fault{TruncateAnswers: true})
	}
	c := newCaller(t, secret)
	for n := range 8 {
		id := fmt.Sprintf("cut-%d", n)
		r := c.send(f.callersAddress(n%2+1), "POST", "/visits", id, nil)
		if r.outcome != ingress.Unknown || r.status != http.StatusBadGateway || strings.Contains(r.body, "request=") {
			t.Errorf("got %s, want unknown with 502", r)
		}
		if runs := f.runs(id); runs != 1 {
			t.Errorf("%s ran %d times, want 1", id, runs)
		}
	}
}

// startShedder starts a backend server on the VM vm-n that sheds all requests, and
// returns the number of POST requests that it has received.
func startShedder(t *testing.T, f *testFleet, n int) *atomic.Int64 {
	t.Helper()
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			received.Add(1)
		}
		out.Header().Set("Berylpass-Not-Run", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(server.Close)
	a := announcer.New("http://"+f.Daemons()[vm(n)].Addresses().Backends, "shedder", announcer.Server{
		Service: "rounds", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8, Incarnation: 1,
	})
	t.Cleanup(a.Close)
	f.waitUntil("all daemons know the shedder", func() bool {
		for _, d := range f.Daemons() {
			if len(d.Status().Backends) != len(f.backends)+1 {
				return false
			}
		}
		return true
	})
	return &received
}

// TestOutcomeOfShedding checks that a request which a backend server sheds runs once at
// another one.
func TestOutcomeOfShedding(t *testing.T) {
	f := newTestFleet(t, 2)
	received := startShedder(t, f, 2)
	c := newCaller(t, secret)
	var all []result
	f.waitUntil("the shedder has received a request", func() bool {
		r := c.send(f.callersAddress(1), "POST", "/visits", fmt.Sprintf("shed-%d", len(all)), nil)
		all = append(all, r)
		return received.Load() > 0
	})
	for _, r := range all {
		if r.outcome != ingress.Answered {
			t.Errorf("got %s, want answered", r)
		}
	}
	f.checkOutcomes(all)
}

// TestOutcomeOfSheddingEverywhere checks that a request which all backend servers shed
// ends as not run.
func TestOutcomeOfSheddingEverywhere(t *testing.T) {
	f := newTestFleet(t, 1)
	startShedder(t, f, 1)
	f.backends[0].Announcer.Close()
	f.backends[0].Announcer = announcer.New("http://127.0.0.1:1", "none", announcer.Server{})
	f.waitUntil("only the shedder is left", func() bool { return len(f.Daemons()[vm(1)].Status().Backends) == 1 })
	r := newCaller(t, secret).send(f.callersAddress(1), "POST", "/visits", "shed", nil)
	if r.outcome != ingress.NotRun || r.status != http.StatusServiceUnavailable {
		t.Errorf("got %s, want not run with 503", r)
	}
}

// TestOutcomeOfKilledGuard kills the daemon of a VM whose backend server runs requests:
// these end as unknown.
func TestOutcomeOfKilledGuard(t *testing.T) {
	f := newTestFleet(t, 3)
	f.backends[1].SetFault(emulator.Fault{NoAnswer: true})
	c := newCaller(t, secret)
	var results []<-chan result
	f.waitUntil("a request runs at rounds-2", func() bool {
		// Several at once, because the backend servers in the ingress's own data centre are
		// preferred while they are idle.
		for range 8 {
			results = append(results, c.sendAsync(f.callersAddress(1), "POST", "/visits", fmt.Sprintf("killed-%d", len(results))))
		}
		return f.backends[1].InUse() > 0
	})
	if err := f.KillDaemon(vm(2)); err != nil {
		t.Fatal(err)
	}
	all := make([]result, 0, len(results))
	unknown := 0
	for _, answer := range results {
		r := <-answer
		all = append(all, r)
		if r.outcome == ingress.Unknown {
			unknown++
		} else if f.backends[1].RunCount(r.id) > 0 {
			t.Errorf("got %s, want unknown", r)
		}
	}
	if unknown == 0 {
		t.Error("no request ended as unknown")
	}
	f.checkOutcomes(all)
}

// TestOutcomeOfRestartedGuard kills a daemon and starts another with the same ID under
// requests that must not be repeated: each gets a complete answer and runs at most once.
func TestOutcomeOfRestartedGuard(t *testing.T) {
	f := newTestFleet(t, 3, emulator.WithServiceTime(10*time.Millisecond))
	c := newCaller(t, secret)
	entry := []string{f.callersAddress(1), f.callersAddress(3)}
	var turn atomic.Uint64
	l := startLoad(6, func(id string) result {
		return c.send(entry[turn.Add(1)%2], "POST", "/visits", id, nil)
	})
	f.waitUntil("requests run at rounds-2", func() bool { return f.backends[1].Total() > 10 })
	if err := f.KillDaemon(vm(2)); err != nil {
		t.Fatal(err)
	}
	f.startDaemon(2)
	before := f.backends[1].Total()
	announceAgain(t, f, 2, f.backends[1])
	f.waitUntil("requests run at rounds-2 again", func() bool { return f.backends[1].Total() > before+10 })
	all := l.finish()
	f.checkOutcomes(all)
	for _, r := range all {
		if r.err != nil {
			t.Errorf("%s: want a complete answer", r)
		}
	}
}

// announceAgain announces a running backend server to the restarted daemon vm-n.
func announceAgain(t *testing.T, f *testFleet, n int, b *localfleet.Backend) {
	t.Helper()
	a := announcer.New("http://"+f.Daemons()[vm(n)].Addresses().Backends, fmt.Sprintf("rounds-%d", n), announcer.Server{
		Service: "rounds", Address: b.Address(), Slots: b.Slots(), Incarnation: 1,
	})
	t.Cleanup(a.Close)
}
