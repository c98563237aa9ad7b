package leg

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// namingDialect is a dialect whose answers name their request, by its target, in the header
// Id.
type namingDialect struct{ defaultDialect }

func (namingDialect) RequestHeader(r Request, _ time.Duration) http.Header {
	return http.Header{"Id": {r.Target}}
}

func (namingDialect) Read(r Request, _ int, h http.Header) AnswerInfo {
	return AnswerInfo{OtherRequest: h.Get("Id") != r.Target}
}

func (namingDialect) AnswersNameRequests() bool { return true }

func (namingDialect) AllowsCloseDelimited() bool { return true }

// answerTo returns the complete answer to r; its body is the target.
func answerTo(r received) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", r.RequestURI, len(r.RequestURI), r.RequestURI)
}

// runAll sends requests one after the other and checks that each gets its own answer.
func runAll(t *testing.T, l *Leg, s *fakeBackend, requests int) {
	t.Helper()
	for n := range requests {
		target := fmt.Sprintf("/%d", n)
		if answer, err := run(t, l, s, get(target)); err != nil || string(answer.Body) != target {
			t.Fatalf("%s: %q, %v", target, answer.Body, err)
		}
	}
}

// TestCleanConnectionsAreReused checks that requests one after the other share a connection.
func TestCleanConnectionsAreReused(t *testing.T) {
	s := startBackend(t, func(w io.Writer, r received) bool {
		io.WriteString(w, answerTo(r))
		return true
	})
	l := New(WithDialect(namingDialect{}))
	defer l.Close()
	runAll(t, l, s, 20)
	if n := l.Dials(); n != 1 {
		t.Errorf("%d connections for 20 requests, want 1", n)
	}
}

// TestExtraAndLateAnswersOnAReusedConnection checks that no request gets the answer of
// another if the backend server sends each answer twice, or repeats the last one before the
// next.
func TestExtraAndLateAnswersOnAReusedConnection(t *testing.T) {
	for name, late := range map[string]bool{"extra": false, "late": true} {
		last := map[net.Conn]string{}
		s := startBackend(t, func(w io.Writer, r received) bool {
			if late {
				io.WriteString(w, last[r.conn])
			}
			last[r.conn] = answerTo(r)
			io.WriteString(w, answerTo(r))
			if !late {
				io.WriteString(w, answerTo(r))
			}
			return true
		})
		l := New(WithDialect(namingDialect{}))
		t.Run(name, func(t *testing.T) { runAll(t, l, s, 20) })
		l.Close()
	}
}

// TestEarlyAnswerEndsTheConnection checks that a connection on which the answer came before
// the whole body was written is not reused: the backend server would take the next request
// for the rest of the body.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	heads := make(chan string, 2)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				head := make([]byte, 5)
				io.ReadFull(c, head)
				heads <- string(head)
				io.WriteString(c, "HTTP/1.1 413 Content Too Large\r\nId: /long\r\nContent-Length: 0\r\n\r\n")
			}()
		}
	}()
	l := New(WithDialect(namingDialect{}))
	defer l.Close()
	long := Request{Method: "POST", Target: "/long", Host: "h", Body: make([]byte, 32<<20)}
	for range 2 {
		answer, err := l.Run(context.Background(), listener.Addr().String(), long)
		if err != nil || answer.Status != http.StatusRequestEntityTooLarge {
			t.Fatalf("%d, %v", answer.Status, err)
		}
		if head := <-heads; head != "POST " {
			t.Errorf("the connection begins with %q, want a request line", head)
		}
	}
}

// TestAnswerThatEndsWithItsConnection checks that an orderly close ends an answer without a
// length, while a reset makes its outcome unknown.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	s := startBackend(t, func(w io.Writer, r received) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nuntil the end", r.RequestURI)
		if strings.HasPrefix(r.RequestURI, "/reset") {
			r.conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	l := New(WithDialect(namingDialect{}))
	defer l.Close()
	if answer, err := run(t, l, s, get("/orderly")); err != nil || string(answer.Body) != "until the end" {
		t.Errorf("orderly end: %q, %v", answer.Body, err)
	}
	if _, err := run(t, l, s, get("/reset")); !errors.Is(err, ErrUnknown) {
		t.Errorf("reset: got %v, want ErrUnknown", err)
	}
}

// TestResetOnAReusedConnectionIsUnknown checks that a request is not sent again after a reset
// of a reused connection: the backend server may have run it before the reset.
func TestResetOnAReusedConnectionIsUnknown(t *testing.T) {
	s := startBackend(t, func(w io.Writer, r received) bool {
		if r.number == 2 {
			r.conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		io.WriteString(w, answerTo(r))
		return true
	})
	l := New(WithDialect(namingDialect{}))
	defer l.Close()
	runAll(t, l, s, 1)
	if _, err := run(t, l, s, get("/second")); !errors.Is(err, ErrUnknown) {
		t.Errorf("got %v, want ErrUnknown", err)
	}
	if n := s.runs.Load(); n != 2 {
		t.Errorf("%d requests arrived, want 2", n)
	}
}

// TestClosedIdleConnectionIsNotReused checks that an idle connection that the backend server
// has closed is not reused.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 1)
	s := startBackend(t, func(w io.Writer, r received) bool {
		io.WriteString(w, answerTo(r))
		if r.number == 1 {
			r.conn.Close()
			closed <- struct{}{}
			return false
		}
		return true
	})
	l := New(WithDialect(namingDialect{}))
	defer l.Close()
	runAll(t, l, s, 1)
	<-closed
	if answer, err := run(t, l, s, get("/next")); err != nil || string(answer.Body) != "/next" {
		t.Errorf("%q, %v", answer.Body, err)
	}
}

// TestReuseTimeIsLearnedFromDroppedConnections checks that connections are reused for a
// shorter time once a backend server has dropped idle ones without notice, so that only few
// requests are lost, and that the shorter time is forgotten after earlyDropMemory.
func TestReuseTimeIsLearnedFromDroppedConnections(t *testing.T) {
	const idle, requests, mostLost = 900 * time.Millisecond, 20, 3
	var answered sync.Map
	s := startBackend(t, func(w io.Writer, r received) bool {
		if _, before := answered.LoadOrStore(r.conn, true); before {
			return false
		}
		io.WriteString(w, answerTo(r))
		return true
	})
	l := New(WithDialect(namingDialect{}))
	defer l.Close()
	lost := 0
	for n := range requests {
		target := fmt.Sprintf("/%d", n)
		if _, err := run(t, l, s, get(target)); err != nil {
			lost++
		}
		l.pool.mu.Lock()
		for _, c := range l.pool.idle[s.address] {
			c.idleSince = c.idleSince.Add(-idle)
		}
		l.pool.mu.Unlock()
	}
	if lost == 0 || lost > mostLost {
		t.Errorf("%d of %d requests were lost, want 1 to %d", lost, requests, mostLost)
	}
	if life := l.pool.reuseTime(s.address, &conn{idleTimeout: time.Minute}, time.Now()); life >= idle {
		t.Errorf("connections idle for up to %s are reused, although those idle for %s are dropped", life, idle)
	}
	if life := l.pool.reuseTime(s.address, &conn{idleTimeout: time.Minute}, time.Now().Add(earlyDropMemory)); life != time.Minute {
		t.Errorf("after %s, connections idle for up to %s are reused, want the time that the backend server gives", earlyDropMemory, life)
	}
}
