package leg

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// uploadSize is more than the socket buffers of a loopback connection hold, so that an unread upload is still being
// written when the answer comes.
const uploadSize = 16 << 20

// startEarlyBackend returns a backend server that answers long uploads at their head: it sends before, waits until the
// upload fills the socket's buffers, sends after and ends the connection with end. Requests without a body get their own
// answer on a kept connection.
func startEarlyBackend(t *testing.T, before, after string, end func(*net.TCPConn)) *fakeBackend {
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
			go serveEarly(c.(*net.TCPConn), before, after, end)
		}
	}()
	return &fakeBackend{address: l.Addr().String()}
}

func serveEarly(c *net.TCPConn, before, after string, end func(*net.TCPConn)) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.ContentLength <= 0 {
			io.WriteString(c, answerTo(received{Request: r}))
			continue
		}
		io.WriteString(c, before)
		time.Sleep(2 * time.Millisecond)
		io.WriteString(c, after)
		end(c)
		return
	}
}

// reset ends a connection with a reset. What was sent before may still arrive.
func reset(c *net.TCPConn) {
	time.Sleep(time.Millisecond)
	c.SetLinger(0)
	c.Close()
}

// TestResetDuringAnUpload lets a backend server answer a long upload at its head and reset the connection while the
// upload is still being written, before, between and after the bytes of an answer without a length, on a new and on a
// kept connection. No part may come as an answer.
func TestResetDuringAnUpload(t *testing.T) {
	const head, rounds = "HTTP/1.1 200 OK\r\nId: /up\r\n\r\n", 40
	for name, parts := range map[string][2]string{
		"before the first byte":   {"", ""},
		"within the head":         {"HTTP/1.1 200 OK\r\nId: /up\r\n", ""},
		"between head and body":   {head, ""},
		"between parts of a body": {head + "first", "second"},
		"after the last byte":     {head, "everything"},
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept %t", name, kept), func(t *testing.T) {
				s := startEarlyBackend(t, parts[0], parts[1], reset)
				l := New(WithDialect(namingDialect{}))
				defer l.Close()
				for range rounds {
					if kept {
						runAll(t, l, s, 1)
					} else {
						l.Close()
					}
					answer, err := run(t, l, s, Request{Method: "POST", Target: "/up", Host: "h", Body: make([]byte, uploadSize)})
					if !errors.Is(err, ErrUnknown) {
						t.Fatalf("got %d %q, %v; want ErrUnknown", answer.Status, answer.Body, err)
					}
				}
			})
		}
	}
}

// TestEarlyEndOfAnUpload checks that an answer without a length isn't whole if its connection ends before the request has
// been sent whole, even in order, while one with a length or with chunks is.
func TestEarlyEndOfAnUpload(t *testing.T) {
	halfClose := func(c *net.TCPConn) {
		c.CloseWrite()
		time.Sleep(20 * time.Millisecond)
	}
	for name, test := range map[string]struct {
		answer string
		end    func(*net.TCPConn)
		want   error
	}{
		"no length, ended in order": {"HTTP/1.1 200 OK\r\nId: /up\r\n\r\npart", halfClose, ErrUnknown},
		"length, reset":             {"HTTP/1.1 413 Content Too Large\r\nId: /up\r\nContent-Length: 4\r\n\r\npart", reset, nil},
		"chunks, reset":             {"HTTP/1.1 413 Content Too Large\r\nId: /up\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", reset, nil},
		"no last chunk, reset":      {"HTTP/1.1 200 OK\r\nId: /up\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", reset, ErrUnknown},
		"length not reached":        {"HTTP/1.1 200 OK\r\nId: /up\r\nContent-Length: 5\r\n\r\npart", reset, ErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			s := startEarlyBackend(t, test.answer, "", test.end)
			l := New(WithDialect(namingDialect{}))
			defer l.Close()
			for range 10 {
				answer, err := run(t, l, s, Request{Method: "POST", Target: "/up", Host: "h", Body: make([]byte, uploadSize)})
				if !errors.Is(err, test.want) || err == nil && string(answer.Body) != "part" {
					t.Fatalf("got %d %q, %v; want error %v", answer.Status, answer.Body, err, test.want)
				}
			}
		})
	}
}
