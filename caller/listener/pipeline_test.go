package listener

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"berylpass/caller/memory"
)

func post(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
}

// TestSlowRequestDoesNotBlockSafeOnesBehindIt sends three safe requests at once. All must start while the first is
// running, and the responses must come in the order of the requests.
func TestSlowRequestDoesNotBlockSafeOnesBehindIt(t *testing.T) {
	release, started := make(chan struct{}), make(chan string, 3)
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		if r.URL.Path == "/slow" {
			<-release
		}
		fmt.Fprint(w, r.URL.Path)
	})
	conn := dial(t, l)
	io.WriteString(conn, get("/slow")+get("/a")+get("/b"))
	for range 3 {
		select {
		case <-started:
		case <-time.After(testTimeout):
			t.Fatal("a safe request behind a slow one did not start")
		}
	}
	close(release)
	in := bufio.NewReader(conn)
	for _, want := range []string{"/slow", "/a", "/b"} {
		if _, body := readResponse(t, in, "GET"); body != want {
			t.Fatalf("got the response of %q, want that of %q", body, want)
		}
	}
}

// TestUnsafeRequestStartsAlone checks that a request that may run only once starts when all before it are answered, and
// that none behind it starts before it is answered.
func TestUnsafeRequestStartsAlone(t *testing.T) {
	var running, overlaps atomic.Int64
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		if r.Method == http.MethodPost && n > 1 {
			overlaps.Add(1)
		}
		time.Sleep(5 * time.Millisecond)
		if r.Method == http.MethodPost && running.Load() > 1 {
			overlaps.Add(1)
		}
		running.Add(-1)
		fmt.Fprint(w, r.URL.Path)
	})
	conn := dial(t, l)
	io.WriteString(conn, get("/1")+get("/2")+post("/3")+get("/4")+post("/5")+post("/6")+get("/7"))
	in := bufio.NewReader(conn)
	for n := range 7 {
		if _, body := readResponse(t, in, "GET"); body != fmt.Sprintf("/%d", n+1) {
			t.Fatalf("got response %q, want that of request %d", body, n+1)
		}
	}
	if overlaps.Load() > 0 {
		t.Error("a POST ran beside another request of its connection")
	}
}

// TestManyPipelinedRequestsAreAnswered sends 200 requests at once while the first is running: more than may be
// unanswered. All are answered in order, and no more than maxPipelined run at once.
func TestManyPipelinedRequestsAreAnswered(t *testing.T) {
	const requests = 200
	release := make(chan struct{})
	var running, most atomic.Int64
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		for {
			seen := most.Load()
			if n <= seen || most.CompareAndSwap(seen, n) {
				break
			}
		}
		<-release
		running.Add(-1)
		fmt.Fprint(w, r.URL.Path)
	})
	conn := dial(t, l)
	var all strings.Builder
	for n := range requests {
		all.WriteString(get(fmt.Sprintf("/%d", n)))
	}
	io.WriteString(conn, all.String())
	for running.Load() < maxPipelined {
		time.Sleep(time.Millisecond)
	}
	close(release)
	in := bufio.NewReader(conn)
	for n := range requests {
		response, body := readResponse(t, in, "GET")
		if response.StatusCode != http.StatusOK || body != fmt.Sprintf("/%d", n) {
			t.Fatalf("request %d: got status %d with %q", n, response.StatusCode, body)
		}
	}
	if most.Load() > maxPipelined {
		t.Errorf("%d requests of one connection ran at once, want at most %d", most.Load(), maxPipelined)
	}
	// A request is released after its response has been sent.
	awaitNoReservations(t, l)
}

// TestPipelinedBytesAreBounded checks that a connection that sends without end while its first request runs is
// refused after maxHeld bytes, behind the responses to what was read, and releases what it held.
func TestPipelinedBytesAreBounded(t *testing.T) {
	release := make(chan struct{})
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		fmt.Fprint(w, r.URL.Path)
	})
	conn := dial(t, l)
	io.WriteString(conn, strings.Repeat(get("/"), 2*maxHeld/len(get("/"))))
	refused := func() bool {
		for _, c := range l.snapshot() {
			c.readMu.Lock()
			defer c.readMu.Unlock()
			return c.refused
		}
		return false
	}
	for deadline := time.Now().Add(testTimeout); !refused(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the connection is not refused")
		}
	}
	// The requests that have started stay reserved; what is held behind them must not.
	started := maxPipelined * (requestBytes + parsedHeads*int64(len(get("/"))))
	if reserved := l.settings.memory.Used(memory.Exchanges); reserved != started {
		t.Errorf("%d bytes are reserved for a connection that was refused, want %d", reserved, started)
	}
	close(release)
	in := bufio.NewReader(conn)
	for range maxPipelined {
		if response, _ := readResponse(t, in, "GET"); response.StatusCode != http.StatusOK || response.Close {
			t.Fatalf("got status %d, close %v", response.StatusCode, response.Close)
		}
	}
	if response, _ := readResponse(t, in, "GET"); response.StatusCode != http.StatusBadRequest || !response.Close {
		t.Errorf("got status %d, close %v, want a refusal that closes", response.StatusCode, response.Close)
	}
}

// TestResponseThatClosesWaitsForStartedRequests lets the first of three requests ask for the connection to be closed
// while the second has started: its response comes before the connection closes. The third, which has not started
// because the second may run only once, is dropped unread.
func TestResponseThatClosesWaitsForStartedRequests(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{})
	var posts atomic.Int64
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/closing":
			<-release
			w.Header().Set("Connection", "close")
		case "/started":
			close(started)
		case "/unread":
			posts.Add(1)
		}
		fmt.Fprint(w, r.URL.Path)
	})
	conn := dial(t, l)
	io.WriteString(conn, get("/closing")+get("/started")+post("/unread"))
	<-started
	close(release)
	in := bufio.NewReader(conn)
	if response, body := readResponse(t, in, "GET"); body != "/closing" || response.Close {
		t.Errorf("first: got %q, close %v, want no close before the started request is answered", body, response.Close)
	}
	if response, body := readResponse(t, in, "GET"); body != "/started" || !response.Close {
		t.Errorf("second: got %q, close %v, want its response, which closes", body, response.Close)
	}
	if rest, err := io.ReadAll(in); err != nil || len(rest) > 0 || posts.Load() > 0 {
		t.Errorf("after the last response: %q, %v; %d unread requests ran", rest, err, posts.Load())
	}
}

// TestNothingStartsBehindConnectionClose checks that requests behind one with Connection: close count as not read.
func TestNothingStartsBehindConnectionClose(t *testing.T) {
	var behind atomic.Int64
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/behind" {
			behind.Add(1)
		}
		fmt.Fprint(w, r.URL.Path)
	})
	last := "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	received := sendRaw(t, l, get("/first")+last+get("/behind"))
	if strings.Count(received, "HTTP/1.1 200") != 2 || behind.Load() > 0 {
		t.Errorf("%d requests behind the last one ran; received %q", behind.Load(), received)
	}
}

// TestErrorBehindPipelinedRequests sends a malformed request behind two proper ones: they are answered first.
func TestErrorBehindPipelinedRequests(t *testing.T) {
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(10 * time.Millisecond)
		fmt.Fprint(w, r.URL.Path)
	})
	received := sendRaw(t, l, get("/1")+get("/2")+"BAD\r\n\r\n"+get("/4"))
	first, second := strings.Index(received, "/1"), strings.Index(received, "/2")
	refusal := strings.Index(received, "HTTP/1.1 400")
	if first < 0 || second < first || refusal < second || strings.Contains(received, "/4") {
		t.Errorf("received %q", received)
	}
}

// TestCallerThatLeavesEndsAllItsRequests closes a connection with several running requests.
func TestCallerThatLeavesEndsAllItsRequests(t *testing.T) {
	const requests = 5
	started, ended := make(chan struct{}, requests), make(chan struct{}, requests)
	l := start(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	conn := dial(t, l)
	io.WriteString(conn, strings.Repeat(get("/"), requests))
	for range requests {
		<-started
	}
	conn.Close()
	for range requests {
		select {
		case <-ended:
		case <-time.After(testTimeout):
			t.Fatal("a request still runs after its caller has left")
		}
	}
}
