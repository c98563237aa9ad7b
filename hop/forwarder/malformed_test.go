package forwarder

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"berylpass/attempt/id"
	"berylpass/hop"
	"berylpass/mesh/meshkey"
)

// rawGuard starts a guard that answers each request at its head with raw bytes and resets the connection. It returns its
// address.
func rawGuard(t *testing.T, key *meshkey.MeshKey, raw string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				conn := tls.Server(c, key.ServerTLS())
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.WriteString(conn, raw)
				}
				// No close_notify: the end of the TCP connection is all that the forwarder sees.
				c.(*net.TCPConn).CloseWrite()
				io.Copy(io.Discard, c)
				c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// reportOf returns the header lines of a report that the attempt has run.
func reportOf(attempt id.ID) string {
	h := http.Header{}
	hop.Report{Attempt: attempt, Ending: hop.Ran}.Write(h)
	var b strings.Builder
	h.Write(&b)
	return b.String()
}

// TestMalformedAnswersAreLost lets a guard send bytes that are no whole answer. None may come as one: the attempt may have
// run.
func TestMalformedAnswersAreLost(t *testing.T) {
	key := meshKey(t)
	report := reportOf(envelope(1).Attempt)
	for name, raw := range map[string]string{
		"no length":              "HTTP/1.1 200 OK\r\n" + report + "\r\npart",
		"no length, closes":      "HTTP/1.1 200 OK\r\nConnection: close\r\n" + report + "\r\npart",
		"HTTP/1.0":               "HTTP/1.0 200 OK\r\n" + report + "\r\npart",
		"length not reached":     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + report + "\r\npart",
		"no last chunk":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + report + "\r\n4\r\npart\r\n",
		"status 000":             "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n" + report + "\r\npart",
		"status 099":             "HTTP/1.1 099 Trouble\r\nContent-Length: 4\r\n" + report + "\r\npart",
		"status 101":             "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n" + report + "\r\npart",
		"status 600":             "HTTP/1.1 600 Trouble\r\nContent-Length: 4\r\n" + report + "\r\npart",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Own: 1\r\nContent-Length: 4\r\n" + report + "\r\npart",
		"blank after a name":     "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n" + report + "\r\npart",
		"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01Own: 1\r\nContent-Length: 4\r\n" + report + "\r\npart",
		"different lengths":      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n" + report + "\r\nparts",
	} {
		t.Run(name, func(t *testing.T) {
			f := New(key.ClientTLS(), 1<<20)
			defer f.Close()
			address := rawGuard(t, key, raw)
			for _, size := range []int{0, 4 << 20} {
				r := Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, size)}
				if got, err := f.Forward(context.Background(), address, envelope(1), r); !errors.Is(err, ErrAnswerLost) {
					t.Errorf("body of %d bytes: got %d %v %q, %v; want ErrAnswerLost", size, got.Status, got.Header, got.Body, err)
				}
			}
		})
	}
}
