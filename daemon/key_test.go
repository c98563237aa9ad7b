package daemon_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"berylpass/config/snapshot"
	"berylpass/emulator"
	"berylpass/emulator/announcer"
	"berylpass/ingress"
	"berylpass/operate/localfleet"
)

// maxKeyWithdrawalTime is the longest time for which a key may still work after its withdrawal.
const maxKeyWithdrawalTime = 2 * time.Second

// withoutKey returns the snapshot without the key k1 of the organisation.
func withoutKey(s snapshot.Snapshot, organisation string) snapshot.Snapshot {
	return s.WithOrganisation(s.Organisations[organisation].WithoutKey("k1"))
}

// TestWithdrawnKeyOnOpenConnections checks that a withdrawn key is refused on connections
// that were opened before the withdrawal too.
func TestWithdrawnKeyOnOpenConnections(t *testing.T) {
	f := newTestFleet(t, 3)
	c := newCaller(t, secret)
	f.publish(withoutKey(f.snapshot, "kowalski-orchards"))
	withdrawnAt := time.Now()
	for n := range 3 {
		address := f.callersAddress(n + 1)
		// The first refusal may come from a guard, while the ingress itself is still outdated and
		// answers 503 until it has the revision. It must not let the key in again.
		refused := false
		f.waitUntil("the key is refused at "+vm(n+1)+", by its own configuration", func() bool {
			inForce := f.Daemons()[vm(n+1)].Status().Revision == f.snapshot.Revision
			r := c.send(address, "POST", "/visits", "", nil)
			if refused && r.outcome != ingress.NotRun {
				t.Errorf("got %s after a refusal", r)
			}
			refused = refused || r.status == http.StatusUnauthorized
			return inForce && r.status == http.StatusUnauthorized
		})
	}
	took := time.Since(withdrawnAt)
	t.Logf("withdrawn-key-stops-ms %d", took.Milliseconds())
	if took > maxKeyWithdrawalTime {
		t.Errorf("a withdrawn key worked for %s, want at most %s", took, maxKeyWithdrawalTime)
	}
	for n := range 30 {
		r := c.send(f.callersAddress(n%3+1), "POST", "/visits", fmt.Sprint("after-", n), nil)
		if r.status != http.StatusUnauthorized || r.outcome != ingress.NotRun || f.runs(r.id) != 0 {
			t.Fatalf("got %s after the withdrawal, %d runs", r, f.runs(r.id))
		}
	}
}

// TestWithdrawnKeyOfQueuedRequests checks that requests which wait for a slot are refused
// as not run when their key is withdrawn, and never run.
func TestWithdrawnKeyOfQueuedRequests(t *testing.T) {
	const slots, queued = 2, 10
	f := newEmptyTestFleet(t)
	f.startDaemon(1)
	f.startVM(2, emulator.WithSlots(slots))
	f.publishAndAwait(testConfiguration())
	f.awaitAnswers()
	f.backends[0].SetFault(emulator.Fault{NoAnswer: true})
	farmers, readers := newCaller(t, secret), newCaller(t, otherSecret)
	for n := range slots {
		farmers.sendAsync(f.callersAddress(1), "POST", "/visits", fmt.Sprint("running-", n))
	}
	f.waitUntil("all slots are in use", func() bool { return f.backends[0].InUse() == slots })
	var waiting []<-chan result
	for n := range queued {
		waiting = append(waiting, readers.sendAsync(f.callersAddress(1), "POST", "/visits", fmt.Sprint("queued-", n)))
	}
	f.waitUntil("all requests are in flight", func() bool { return f.Daemons()[vm(2)].Status().InFlight == slots+queued })
	f.publishAndAwait(withoutKey(f.snapshot, "hope-bay-library"))
	for _, answer := range waiting {
		if r := <-answer; r.outcome != ingress.NotRun || r.status != http.StatusUnauthorized {
			t.Errorf("got %s, want not run with 401", r)
		}
	}
	f.backends[0].Close()
	for n := range queued {
		if id := fmt.Sprint("queued-", n); f.runs(id) != 0 {
			t.Errorf("%s ran", id)
		}
	}
}

// TestWithdrawnKeyReachesDaemonsWithoutStore checks that daemons which can't reach the
// platform's store get a new revision from a daemon that can.
func TestWithdrawnKeyReachesDaemonsWithoutStore(t *testing.T) {
	t.Parallel()
	unreachablePlatform := localfleet.WithPlatformURL("http://127.0.0.1:1")
	f := newEmptyTestFleet(t)
	f.startVM(1)
	f.startDaemon(2, unreachablePlatform)
	f.startDaemon(3, unreachablePlatform)
	f.publishAndAwait(testConfiguration())
	f.awaitAnswers()
	c := newCaller(t, secret)
	f.publish(withoutKey(f.snapshot, "kowalski-orchards"))
	withdrawnAt := time.Now()
	for n := range 3 {
		address := f.callersAddress(n + 1)
		f.waitUntil("the key is refused at "+vm(n+1), func() bool {
			return c.send(address, "POST", "/visits", "", nil).status == http.StatusUnauthorized
		})
	}
	if took := time.Since(withdrawnAt); took > maxKeyWithdrawalTime {
		t.Errorf("a withdrawn key worked for %s, want at most %s", took, maxKeyWithdrawalTime)
	}
	readers := newCaller(t, otherSecret)
	for n := range 3 {
		if r := readers.send(f.callersAddress(n+1), "GET", "/fields", "", nil); r.outcome != ingress.Answered {
			t.Errorf("%s: got %s, want the other organisation answered", vm(n+1), r)
		}
	}
}

// recordingBackend is a backend server that records the method, target and headers of its requests.
type recordingBackend struct {
	mu       sync.Mutex
	requests []string
}

func (b *recordingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, fmt.Sprintf("%s %s %v", r.Method, r.RequestURI, r.Header))
	w.WriteHeader(http.StatusNoContent)
}

// TestNoKeyReachesBackend checks that a caller's key reaches no backend server, even if
// the caller repeats it in other headers.
func TestNoKeyReachesBackend(t *testing.T) {
	f := newEmptyTestFleet(t)
	f.startDaemon(1)
	f.startDaemon(2)
	b := &recordingBackend{}
	server := httptest.NewServer(b)
	t.Cleanup(server.Close)
	a := announcer.New("http://"+f.Daemons()[vm(2)].Addresses().Backends, "recorder", announcer.Server{
		Service: "rounds", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8, Incarnation: 1,
	})
	t.Cleanup(a.Close)
	f.publish(testConfiguration())
	f.waitUntil("the backend server is known", func() bool { return len(f.Daemons()[vm(1)].Status().Backends) == 1 })
	f.waitUntil("a request runs", func() bool {
		return getWithHeader(t, f.callersAddress(1), "/fields", http.Header{"X-Api-Key": {secret}}) == http.StatusNoContent
	})
	for _, header := range []http.Header{
		{"Authorization": {"Bearer " + secret}},
		{"Authorization": {"bearer   " + secret}},
		{"X-Api-Key": {secret}},
		{"Authorization": {"Bearer " + secret}, "Proxy-Authorization": {"Bearer " + secret}},
		{"Authorization": {"Bearer " + secret}, "Cookie": {"session=17; key=" + secret}},
		{"Authorization": {"Bearer " + secret}, "X-Forwarded-Authorization": {"Bearer " + secret}},
		{"Authorization": {"Bearer " + secret}, "Connection": {"X-Hidden"}, "X-Hidden": {secret}},
		{"X-Api-Key": {secret}, "Bp-Key": {secret}, "Bp-Organisation": {"hope-bay-library"}},
	} {
		status := getWithHeader(t, f.callersAddress(1), "/fields/"+fmt.Sprint(len(header)), header)
		if status != http.StatusNoContent {
			t.Errorf("%v: got %d, want 204", header, status)
		}
	}
	if status := getWithHeader(t, f.callersAddress(1), "/fields?key="+secret, http.Header{"X-Api-Key": {secret}}); status != http.StatusBadRequest {
		t.Errorf("key in the target: got %d, want 400", status)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, seen := range b.requests {
		if strings.Contains(seen, secret) {
			t.Errorf("a backend server saw a key: %s", seen)
		}
		if strings.Contains(seen, "Bp-Organisation") {
			t.Errorf("a backend server saw an internal header of a caller: %s", seen)
		}
	}
}

// getWithHeader sends a GET request with these headers and returns the answer's status.
func getWithHeader(t *testing.T, address, target string, header http.Header) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+target, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header = header
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}
