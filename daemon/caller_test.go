package daemon_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"berylpass/emulator"
	"berylpass/ingress"
	"berylpass/operate/localfleet"
)

// authorizationLine is the header line with a valid key.
const authorizationLine = "Authorization: Bearer " + secret + "\r\n"

// rawRequests are a plain request and requests that two HTTP implementations could read
// in different ways.
var rawRequests = []struct{ name, text string }{
	{"plain", "POST /visits HTTP/1.1\r\nHost: x\r\n" + authorizationLine + "Content-Length: 2\r\n\r\nok"},
	{"length-and-chunked", "POST /visits HTTP/1.1\r\nHost: x\r\n" + authorizationLine + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	{"two-lengths", "POST /visits HTTP/1.1\r\nHost: x\r\n" + authorizationLine + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok"},
	{"length-list", "POST /visits HTTP/1.1\r\nHost: x\r\n" + authorizationLine + "Content-Length: 2, 2\r\n\r\nok"},
	{"signed-length", "POST /visits HTTP/1.1\r\nHost: x\r\n" + authorizationLine + "Content-Length: +2\r\n\r\nok"},
	{"obscured-chunked", "POST /visits HTTP/1.1\r\nHost: x\r\n" + authorizationLine + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
	{"chunked-twice", "POST /visits HTTP/1.1\r\nHost: x\r\n" + authorizationLine + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n"},
	{"chunk-size-overflow", "POST /visits HTTP/1.1\r\nHost: x\r\n" + authorizationLine + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nok\r\n0\r\n\r\n"},
	{"chunk-without-end", "POST /visits HTTP/1.1\r\nHost: x\r\n" + authorizationLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nokXX0\r\n\r\n"},
	{"space-before-colon", "POST /visits HTTP/1.1\r\nHost: x\r\nAuthorization : Bearer " + secret + "\r\nContent-Length: 0\r\n\r\n"},
	{"folded-header", "POST /visits HTTP/1.1\r\nHost: x\r\n" + authorizationLine + "X-A: b\r\n c: d\r\nContent-Length: 0\r\n\r\n"},
	{"no-host", "POST /visits HTTP/1.1\r\n" + authorizationLine + "Content-Length: 0\r\n\r\n"},
	{"two-hosts", "POST /visits HTTP/1.1\r\nHost: x\r\nHost: y\r\n" + authorizationLine + "Content-Length: 0\r\n\r\n"},
	{"nul-in-value", "POST /visits HTTP/1.1\r\nHost: x\r\n" + authorizationLine + "X-A: a\x00b\r\nContent-Length: 0\r\n\r\n"},
	{"bare-line-feed", "POST /visits HTTP/1.1\nHost: x\n" + "Authorization: Bearer " + secret + "\nContent-Length: 0\n\n\r\n\r\n"},
	{"header-of-1-mb", "POST /visits HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("a", 1<<20) + "\r\n\r\n"},
	{"two-keys", "POST /visits HTTP/1.1\r\nHost: x\r\n" + authorizationLine + authorizationLine + "Content-Length: 0\r\n\r\n"},
	{"hidden-by-connection", "POST /visits HTTP/1.1\r\nHost: x\r\n" + authorizationLine + "Connection: Authorization, Bp-Attempt\r\nBp-Attempt: vm-9/1/1/0\r\nContent-Length: 0\r\n\r\n"},
	{"smuggled-second", "POST /visits HTTP/1.1\r\nHost: x\r\n" + authorizationLine + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nZ\r\n0\r\n\r\nPOST /visits HTTP/1.1\r\nHost: x\r\n\r\n"},
	{"not-http", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"},
}

// TestAmbiguousRequests compares the answers to rawRequests with a golden file: all but
// plain and hidden-by-connection are refused, their connections are closed, and none of
// them runs.
func TestAmbiguousRequests(t *testing.T) {
	f := newTestFleet(t, 2)
	before := f.total()
	var transcript bytes.Buffer
	for _, raw := range rawRequests {
		fmt.Fprintf(&transcript, "%s: %s\n", raw.name, exchangeRaw(t, f.callersAddress(1), raw.text))
	}
	fmt.Fprintf(&transcript, "backend servers: %d runs\n", f.total()-before)
	compareGolden(t, "ambiguous-requests.golden", transcript.Bytes())
}

// exchangeRaw sends bytes and describes the answers, up to the first one that leaves the
// connection open or else to the end of the connection.
func exchangeRaw(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(testLimit)); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.WriteString(conn, text) }()
	reader := bufio.NewReader(conn)
	var answers []string
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return strings.Join(append(answers, "closed"), ", ")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return strings.Join(append(answers, "cut"), ", ")
		}
		answers = append(answers, fmt.Sprintf("%d %s", response.StatusCode, response.Header.Get(ingress.OutcomeHeader)))
		if !response.Close {
			return strings.Join(append(answers, "open"), ", ")
		}
	}
}

// TestBodyOverLimit checks that a body over the limit is refused with 413, whether it is
// sent with a Content-Length or chunked.
func TestBodyOverLimit(t *testing.T) {
	const limit = 1 << 20
	f := newEmptyTestFleet(t)
	f.startDaemon(1, localfleet.WithMaxBody(limit))
	f.publish(testConfiguration())
	f.waitUntil("the daemon is ready", func() bool { return f.Daemons()[vm(1)].Status().Ready == "ready" })
	head := "POST /visits HTTP/1.1\r\nHost: x\r\n" + authorizationLine
	long := strings.Repeat("x", limit+1)
	for name, text := range map[string]string{
		"length":  fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(long), long),
		"chunked": fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(long), long),
	} {
		if got := exchangeRaw(t, f.callersAddress(1), text); got != "413 not-run, closed" {
			t.Errorf("%s: got %q, want 413 not-run and the connection closed", name, got)
		}
	}
}

// TestManyUploads sends 100 uploads at once. Each is answered completely or refused
// without having run, and their memory is freed afterwards.
func TestManyUploads(t *testing.T) {
	const uploads, size, kept = 100, largeUploadSize, 64 << 20
	f := newTestFleet(t, 2)
	c := newCaller(t, secret)
	body := make([]byte, size)
	before := liveHeapBytes()
	all := make([]result, uploads)
	var wait sync.WaitGroup
	for n := range uploads {
		wait.Go(func() { all[n] = c.send(f.callersAddress(n%2+1), "POST", "/visits", fmt.Sprint("upload-", n), body) })
	}
	wait.Wait()
	f.checkOutcomes(all)
	answered := 0
	for _, r := range all {
		if r.err != nil || r.outcome == ingress.Unknown {
			t.Errorf("got %s", r)
		}
		if r.outcome == ingress.Answered && strings.Contains(r.body, fmt.Sprintf("body=%d\n", size)) {
			answered++
		}
	}
	if answered == 0 {
		t.Error("no upload was answered with its full size")
	}
	f.waitUntil("the memory has been freed", func() bool { return liveHeapBytes() < before+kept })
	t.Logf("%d of %d uploads answered", answered, uploads)
}

// liveHeapBytes returns the size of the live heap objects after a garbage collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestLargeAnswer checks that an answer of several MB arrives completely, and that one
// which the backend server cuts is reported as unknown.
func TestLargeAnswer(t *testing.T) {
	const size = 4 << 20
	f := newTestFleet(t, 2, emulator.WithMinAnswerSize(size))
	c := newCaller(t, secret)
	if r := c.send(f.callersAddress(1), "POST", "/visits", "whole", nil); r.outcome != ingress.Answered || len(r.body) != size {
		t.Errorf("got %s with %d bytes, want answered with %d", r, len(r.body), size)
	}
	for _, b := range f.backends {
		b.SetFault(emulator.Fault{TruncateAnswers: true})
	}
	for n := range 4 {
		r := c.send(f.callersAddress(1), "POST", "/visits", fmt.Sprint("cut-", n), nil)
		if r.err != nil || r.outcome != ingress.Unknown {
			t.Errorf("got %s for a cut answer, want unknown", r)
		}
	}
}
