package listener

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"berylpass/caller/memory"
	"berylpass/caller/memory/holder"
)

const testTimeout = 10 * time.Second

func start(t testing.TB, handler http.HandlerFunc, options ...Option) *Listener {
	t.Helper()
	l, err := New("127.0.0.1:0", handler, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func dial(t testing.TB, l *Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

// sendRaw sends raw bytes on a new connection and returns everything received until it ends.
func sendRaw(t *testing.T, l *Listener, raw string) string {
	t.Helper()
	conn := dial(t, l)
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("after %q: %v", response, err)
	}
	return string(response)
}

// readResponse reads one response to a request with the given method, and its body.
func readResponse(t *testing.T, in *bufio.Reader, method string) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s %d %s", r.Method, r.Host, r.RequestURI, r.ContentLength, body)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func TestRequestSeenByHandler(t *testing.T) {
	l := start(t, echo)
	for raw, want := range map[string]string{
		get("/a?b"): "GET h /a?b 0 ",
		"POST / HTTP/1.1\r\nHost: h:1\r\nContent-Length: 3\r\n\r\nabc":                                    "POST h:1 / 3 abc",
		"PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2;x\r\nbc\r\n0\r\n\r\n": "PUT h / -1 abc",
		"GET /old HTTP/1.0\r\n\r\n": "GET  /old 0 ",
	} {
		conn := dial(t, l)
		io.WriteString(conn, raw)
		if response, body := readResponse(t, bufio.NewReader(conn), "GET"); body != want || response.StatusCode != http.StatusOK {
			t.Errorf("%q: %d %q, want %q", raw, response.StatusCode, body, want)
		}
	}
}

// Each refused request gets exactly one response, with Connection: close, and never reaches
// the handler.
func TestRefusedRequestsAreAnsweredAndClosed(t *testing.T) {
	ran := make(chan string, 100)
	l := start(t, func(_ http.ResponseWriter, r *http.Request) { ran <- r.RequestURI }, WithMaxBody(100), WithMaxHeader(2048))
	head := func(fields string) string { return "POST / HTTP/1.1\r\n" + fields + "\r\n" }
	for name, test := range map[string]struct {
		raw    string
		status string
	}{
		"length and chunks":  {head("Host: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n", "400"},
		"two lengths":        {head("Host: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n") + "abc", "400"},
		"no host":            {head("Content-Length: 0\r\n"), "400"},
		"space before colon": {head("Host: h\r\nAuthorization : x\r\n"), "400"},
		"NUL":                {head("Host: h\r\nX: a\x00b\r\n"), "400"},
		"two keys":           {head("Host: h\r\nAuthorization: a\r\nAuthorization: b\r\n"), "400"},
		"header":             {head("Host: h\r\nX: " + strings.Repeat("x", 1<<20) + "\r\n"), "431"},
		"body":               {head("Host: h\r\nContent-Length: 1000000\r\n") + strings.Repeat("x", 1000000), "413"},
		"chunked body":       {head("Host: h\r\nTransfer-Encoding: chunked\r\n") + "fffff\r\n" + strings.Repeat("x", 1000), "413"},
		"expected body":      {head("Host: h\r\nContent-Length: 101\r\nExpect: 100-continue\r\n"), "413"},
		"bad chunk":          {head("Host: h\r\nTransfer-Encoding: chunked\r\n") + "zz\r\n", "400"},
		"expectation":        {head("Host: h\r\nExpect: x\r\n"), "417"},
	} {
		t.Run(name, func(t *testing.T) {
			response := sendRaw(t, l, test.raw)
			if !strings.HasPrefix(response, "HTTP/1.1 "+test.status+" ") || strings.Count(response, "HTTP/1.1") != 1 {
				t.Fatalf("got %q", response)
			}
			if !strings.Contains(response, "Connection: close\r\n") || !strings.Contains(response, `"outcome":"not-run"`) {
				t.Errorf("got %q", response)
			}
		})
	}
	select {
	case uri := <-ran:
		t.Errorf("the handler ran a refused request: %s", uri)
	default:
	}
}

func TestRefusalFollowsEarlierResponses(t *testing.T) {
	release := make(chan struct{})
	l := start(t, func(w http.ResponseWriter, r *http.Request) { <-release; io.WriteString(w, r.RequestURI) })
	conn := dial(t, l)
	io.WriteString(conn, get("/1")+get("/2")+"BAD\r\n\r\n"+get("/3"))
	close(release)
	all, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(bytes.NewReader(all))
	for _, want := range []string{"/1", "/2"} {
		if _, body := readResponse(t, in, "GET"); body != want {
			t.Errorf("got %q, want %q", body, want)
		}
	}
	if response, _ := readResponse(t, in, "GET"); response.StatusCode != http.StatusBadRequest {
		t.Errorf("got status %d, want 400", response.StatusCode)
	}
	if in.Buffered() > 0 {
		t.Error("a response came after the refusal")
	}
}

func TestExpectContinueIsAnsweredBeforeTheBody(t *testing.T) {
	l := start(t, echo)
	conn := dial(t, l)
	io.WriteString(conn, "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("%q, %v", line, err)
	}
	in.ReadString('\n')
	io.WriteString(conn, "abc")
	if _, body := readResponse(t, in, "PUT"); body != "PUT h / 3 abc" {
		t.Errorf("got %q", body)
	}
}

func TestCallerDisconnectCancelsContext(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	l := start(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	conn := dial(t, l)
	io.WriteString(conn, get("/"))
	<-started
	conn.Close()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the context was not cancelled")
	}
}

func TestResponseFraming(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 1<<16)
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/length":
			w.Header().Set("Content-Length", fmt.Sprint(len(long)))
			io.WriteString(w, long)
		case "/chunks":
			for i := 0; i < len(long); i += 1000 {
				io.WriteString(w, long[i:min(i+1000, len(long))])
			}
		case "/odd":
			w.WriteHeader(599)
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		case "/same":
			w.Header().Set("Content-Length", "77")
			w.WriteHeader(http.StatusNotModified)
		case "/split":
			w.Header().Set("X-A", "1\r\nX-B: 2")
		}
	})
	conn := dial(t, l)
	in := bufio.NewReader(conn)
	for _, test := range []struct {
		method, path string
		status       int
		length       int64
		body         string
	}{
		{"GET", "/length", 200, 1 << 20, long},
		{"GET", "/chunks", 200, -1, long},
		{"HEAD", "/length", 200, 1 << 20, ""},
		{"HEAD", "/chunks", 200, -1, ""},
		{"GET", "/odd", 599, 0, ""},
		{"GET", "/none", 204, 0, ""},
		{"GET", "/same", 304, 0, ""},
		{"GET", "/split", 200, 0, ""},
		{"GET", "/empty", 200, 0, ""},
	} {
		io.WriteString(conn, test.method+" "+test.path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		response, body := readResponse(t, in, test.method)
		if response.StatusCode != test.status || response.ContentLength != test.length || body != test.body {
			t.Errorf("%s %s: %d, length %d, %d bytes", test.method, test.path, response.StatusCode, response.ContentLength, len(body))
		}
		if test.path == "/same" && response.Header.Get("Content-Length") != "77" {
			t.Errorf("304: header %v", response.Header)
		}
		if response.Header.Get("X-B") != "" || response.Close {
			t.Errorf("%s: header %v, close %t", test.path, response.Header, response.Close)
		}
	}
}

// A handler that panics, or writes less than its Content-Length, must not leave a response
// that the caller can take for a complete one.
func TestIncompleteResponseClosesConnection(t *testing.T) {
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/short":
			w.Header().Set("Content-Length", "10")
			io.WriteString(w, "abc")
		case "/panic-late":
			w.Header().Set("Content-Length", "200000")
			io.WriteString(w, strings.Repeat("x", 100000))
			panic(http.ErrAbortHandler)
		case "/panic-chunked":
			io.WriteString(w, strings.Repeat("x", 100000))
			panic("fault")
		case "/panic":
			panic("fault")
		}
	})
	for _, path := range []string{"/short", "/panic", "/panic-late", "/panic-chunked"} {
		conn := dial(t, l)
		io.WriteString(conn, get(path))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			continue
		}
		if body, err := io.ReadAll(response.Body); err == nil {
			t.Errorf("%s: a response of %d bytes passed as complete", path, len(body))
		}
	}
}

func TestLargeResponseToSlowReaderIsComplete(t *testing.T) {
	const size = 8 << 20
	l := start(t, func(w http.ResponseWriter, _ *http.Request) {
		for range size >> 16 {
			w.Write(make([]byte, 1<<16))
		}
	})
	conn := dial(t, l)
	io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, response.Body)
	if n != size || err != nil {
		t.Errorf("%d bytes, %v; want %d", n, err, size)
	}
}

// Shutdown must lose no request: neither those that run or are pipelined behind them, nor
// one that arrives on an idle connection within the shutdown grace. The last response on
// each connection carries Connection: close, and idle connections end after the grace.
func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	started, release := make(chan struct{}, 100), make(chan struct{})
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			started <- struct{}{}
			<-release
		}
		io.WriteString(w, strings.Repeat("x", 300000))
	}, WithShutdownGrace(100*time.Millisecond))
	idle, late := dial(t, l), dial(t, l)
	io.WriteString(late, get("/"))
	lateIn := bufio.NewReader(late)
	readResponse(t, lateIn, "GET")
	var busy []net.Conn
	for range 20 {
		conn := dial(t, l)
		io.WriteString(conn, get("/slow")+get("/second"))
		busy = append(busy, conn)
		<-started
	}
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		ended <- l.Shutdown(ctx)
	}()
	for !l.isDraining() {
		runtime.Gosched()
	}
	io.WriteString(late, get("/"))
	if response, body := readResponse(t, lateIn, "GET"); !response.Close || len(body) != 300000 {
		t.Errorf("request on an idle connection: close %t, %d bytes", response.Close, len(body))
	}
	if n, err := idle.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: read %d bytes, %v; want EOF", n, err)
	}
	close(release)
	for i, conn := range busy {
		in := bufio.NewReader(conn)
		first, body := readResponse(t, in, "GET")
		second, more := readResponse(t, in, "GET")
		if len(body) != 300000 || len(more) != 300000 || first.Close || !second.Close {
			t.Fatalf("connection %d: %d and %d bytes, close %t and %t", i, len(body), len(more), first.Close, second.Close)
		}
		conn.Close()
	}
	idle.Close()
	late.Close()
	if err := <-ended; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
	if _, err := net.Dial("tcp", l.Address()); err == nil {
		t.Error("a connection was accepted after Shutdown")
	}
}

func TestShutdownReturnsWhenContextEnds(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	l := start(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	io.WriteString(dial(t, l), get("/"))
	<-started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := l.Shutdown(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	select {
	case <-ended:
	default:
		t.Error("the handler is still running after Shutdown")
	}
}

// TestConnectionsOverLimitAreClosed checks that a connection over the limit is closed while all others have requests.
func TestConnectionsOverLimitAreClosed(t *testing.T) {
	started, release := make(chan struct{}, 2*maxPipelined), make(chan struct{})
	defer close(release)
	l := start(t, func(http.ResponseWriter, *http.Request) { started <- struct{}{}; <-release }, WithMaxConnections(1))
	first := dial(t, l)
	io.WriteString(first, strings.Repeat(get("/"), maxPipelined+1))
	<-started
	if _, err := io.ReadAll(dial(t, l)); err != nil && !errors.Is(err, net.ErrClosed) && !strings.Contains(err.Error(), "reset") {
		t.Errorf("second connection: %v", err)
	}
}

// TestConnectionOverLimitTakesThePlaceOfAQuietOne checks that of two connections without a request the one that has
// been quiet for longer is closed for a third, also if it has sent a part of a head.
func TestConnectionOverLimitTakesThePlaceOfAQuietOne(t *testing.T) {
	var evicted atomic.Int64
	l := start(t, echo, WithMaxConnections(2), WithEvictionHandler(func() { evicted.Add(1) }))
	first := dial(t, l)
	io.WriteString(first, "GET / HT")
	for l.Connections() < 1 {
		runtime.Gosched()
	}
	second := dial(t, l)
	in := bufio.NewReader(second)
	io.WriteString(second, get("/"))
	readResponse(t, in, "GET")
	third := dial(t, l)
	io.WriteString(third, get("/"))
	readResponse(t, bufio.NewReader(third), "GET")
	if _, err := first.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("first connection: %v, want it closed", err)
	}
	io.WriteString(second, get("/"))
	readResponse(t, in, "GET")
	if evicted.Load() != 1 {
		t.Errorf("%d connections were evicted, want 1", evicted.Load())
	}
}

// TestAnswerThatNobodyReadsGivesWay checks that a connection that reads nothing of its answer is closed when another
// request needs the memory, and that one that reads isn't.
func TestAnswerThatNobodyReadsGivesWay(t *testing.T) {
	const size = 12 << 20
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		if holder.Reserve(r.Context(), size) != nil {
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(size))
		w.Write(make([]byte, size))
	}, WithMaxTotalBody(size+size/2))
	first := dial(t, l)
	io.WriteString(first, get("/"))
	second := dial(t, l)
	for l.settings.memory.Used(memory.Exchanges) < size {
		runtime.Gosched()
	}
	io.WriteString(second, get("/"))
	if response, body := readResponse(t, bufio.NewReader(second), "GET"); response.StatusCode != http.StatusOK || len(body) != size {
		t.Errorf("got status %d with %d bytes", response.StatusCode, len(body))
	}
	if n, err := io.Copy(io.Discard, first); n >= size || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the first connection read %d bytes of an answer that should have been given up, %v", n, err)
	}
	awaitNoReservations(t, l)
}

// TestStalledConnectionGivesWay checks that a connection whose caller reads nothing of its response is closed for
// another if all connections have requests.
func TestStalledConnectionGivesWay(t *testing.T) {
	const size = 32 << 20
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			w.Write(make([]byte, size))
		}
	}, WithMaxConnections(1))
	first := dial(t, l)
	io.WriteString(first, get("/large"))
	served := func() bool {
		conn := dial(t, l)
		io.WriteString(conn, get("/"))
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil
	}
	for deadline := time.Now().Add(testTimeout); !served(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no other connection is served")
		}
	}
	if n, err := io.Copy(io.Discard, first); n >= size || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the first connection read %d bytes of a response that should have been given up, %v", n, err)
	}
}

// TestTimeoutsCanChange checks that a changed timeout for heads is in force for the next head.
func TestTimeoutsCanChange(t *testing.T) {
	l := start(t, echo)
	l.SetTimeouts(50*time.Millisecond, time.Hour)
	conn := dial(t, l)
	io.WriteString(conn, "GET / HTTP/1.1\r\nHo")
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v, want the connection closed", err)
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	l := start(t, echo, WithIdleTimeout(50*time.Millisecond))
	conn := dial(t, l)
	io.WriteString(conn, get("/"))
	in := bufio.NewReader(conn)
	readResponse(t, in, "GET")
	if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v", err)
	}
}
