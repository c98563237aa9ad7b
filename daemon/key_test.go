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

// keyTarget is the longest time for which a withdrawn key may still work.
const keyTarget = 2 * time.Second

func withoutKey(s snapshot.Snapshot, organisation string) snapshot.Snapshot {
	return s.WithOrganisation(s.Organisations[organisation].WithoutKey("k1"))
}

// TestWithdrawnKeyOnOpenConnections holds that open connections get no grace.
func TestWithdrawnKeyOnOpenConnections(t *testing.T) {
	w := newWorld(t, 3)
	c := newCaller(t, secret)
	w.publish(withoutKey(w.snapshot, "kowalski-orchards"))
	at := time.Now()
	for n := range 3 {
		address := w.callers(n + 1)
		w.until("the key is refused at "+vm(n+1), func() bool {
			return c.send(address, "POST", "/visits", "", nil).status == http.StatusUnauthorized
		})
	}
	took := time.Since(at)
	t.Logf("withdrawn-key-stops-ms %d", took.Milliseconds())
	if took > keyTarget {
		t.Errorf("a withdrawn key worked for %s, want at most %s", took, keyTarget)
	}
	for n := range 30 {
		r := c.send(w.callers(n%3+1), "POST", "/visits", fmt.Sprint("after-", n), nil)
		if r.status != http.StatusUnauthorized || r.outcome != ingress.NotRun || w.runs(r.id) != 0 {
			t.Fatalf("got %s after the withdrawal, %d runs", r, w.runs(r.id))
		}
	}
}

// TestWithdrawnKeyOfQueuedRequests holds that requests which wait for a slot end
// as not run when their key is withdrawn, and never run.
func TestWithdrawnKeyOfQueuedRequests(t *testing.T) {
	const slots, queued = 2, 10
	w := startWorld(t)
	w.daemon(1)
	w.add(2, emulator.WithSlots(slots))
	w.change(faultConfiguration())
	w.warm()
	w.backends[0].SetFault(emulator.Fault{Deaf: true})
	farmers, readers := newCaller(t, secret), newCaller(t, otherSecret)
	for n := range slots {
		farmers.sendLater(w.callers(1), "POST", "/visits", fmt.Sprint("running-", n))
	}
	w.until("all slots are in use", func() bool { return w.backends[0].InUse() == slots })
	var waiting []<-chan told
	for n := range queued {
		waiting = append(waiting, readers.sendLater(w.callers(1), "POST", "/visits", fmt.Sprint("queued-", n)))
	}
	w.until("the requests wait", func() bool { return w.Daemons()[vm(2)].Status().InFlight == slots+queued })
	w.change(withoutKey(w.snapshot, "hope-bay-library"))
	for _, result := range waiting {
		if r := <-result; r.outcome != ingress.NotRun || r.status != http.StatusUnauthorized {
			t.Errorf("got %s, want not run with 401", r)
		}
	}
	w.backends[0].Close()
	for n := range queued {
		if id := fmt.Sprint("queued-", n); w.runs(id) != 0 {
			t.Errorf("%s ran", id)
		}
	}
}

// TestWithdrawnKeySeenByOneDaemon holds that a change reaches daemons that can't
// reach the platform through one that can.
func TestWithdrawnKeySeenByOneDaemon(t *testing.T) {
	t.Parallel()
	nowhere := localfleet.WithPlatformURL("http://127.0.0.1:1")
	w := startWorld(t)
	w.add(1)
	w.daemon(2, nowhere)
	w.daemon(3, nowhere)
	w.change(faultConfiguration())
	w.warm()
	c := newCaller(t, secret)
	w.publish(withoutKey(w.snapshot, "kowalski-orchards"))
	at := time.Now()
	for n := range 3 {
		address := w.callers(n + 1)
		w.until("the key is refused at "+vm(n+1), func() bool {
			return c.send(address, "POST", "/visits", "", nil).status == http.StatusUnauthorized
		})
	}
	if took := time.Since(at); took > keyTarget {
		t.Errorf("a withdrawn key worked for %s, want at most %s", took, keyTarget)
	}
	readers := newCaller(t, otherSecret)
	for n := range 3 {
		if r := readers.send(w.callers(n+1), "GET", "/fields", "", nil); r.outcome != ingress.Answered {
			t.Errorf("%s: got %s, want the other organisation answered", vm(n+1), r)
		}
	}
}

// recorder is a backend server that keeps the heads of what it runs.
type recorder struct {
	mu   sync.Mutex
	seen []string
}

func (b *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen = append(b.seen, fmt.Sprintf("%s %s %v", r.Method, r.RequestURI, r.Header))
	w.WriteHeader(http.StatusNoContent)
}

// TestNoKeyReachesBackend holds that the key by which a caller is known reaches no
// backend server, wherever else the caller repeats it in its headers.
func TestNoKeyReachesBackend(t *testing.T) {
	w := startWorld(t)
	w.daemon(1)
	w.daemon(2)
	b := &recorder{}
	server := httptest.NewServer(b)
	t.Cleanup(server.Close)
	a := announcer.New("http://"+w.Daemons()[vm(2)].Addresses().Backends, "recorder", announcer.Server{
		Service: "rounds", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8, Incarnation: 1,
	})
	t.Cleanup(a.Close)
	w.publish(faultConfiguration())
	w.until("the backend server is known", func() bool { return len(w.Daemons()[vm(1)].Status().Backends) == 1 })
	w.until("a request runs", func() bool {
		return sendHeader(t, w.callers(1), "/fields", http.Header{"X-Api-Key": {secret}}) == http.StatusNoContent
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
		r := sendHeader(t, w.callers(1), "/fields/"+fmt.Sprint(len(header)), header)
		if r != http.StatusNoContent {
			t.Errorf("%v: got %d, want 204", header, r)
		}
	}
	if r := sendHeader(t, w.callers(1), "/fields?key="+secret, http.Header{"X-Api-Key": {secret}}); r != http.StatusBadRequest {
		t.Errorf("key in the target: got %d, want 400", r)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, seen := range b.seen {
		if strings.Contains(seen, secret) {
			t.Errorf("a backend server saw a key: %s", seen)
		}
		if strings.Contains(seen, "Bp-Organisation") {
			t.Errorf("a backend server saw an internal header of a caller: %s", seen)
		}
	}
}

func sendHeader(t *testing.T, address, target string, header http.Header) int {
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
