package crowd

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"berylpass/platform/wire"
)

// crowd is a number of connections to a daemon that stay open until the test ends.
type crowd struct {
	daemon *daemon
	conns  []net.Conn
}

// newCrowd opens connections with small receive buffers, so that what isn't read stays in the daemon.
func newCrowd(d *daemon, size int) *crowd {
	c := &crowd{daemon: d}
	dialer := net.Dialer{Timeout: patience, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	for range size {
		conn, err := dialer.Dial("tcp", d.callers())
		if err != nil {
			d.t.Fatal(err)
		}
		d.t.Cleanup(func() { _ = conn.Close() })
		c.conns = append(c.conns, conn)
	}
	return c
}

// write writes text on each connection, all at once. It doesn't read, and gives a connection up
// if the daemon closes it or takes no more for 3 s.
func (c *crowd) write(text func() string) {
	var wait sync.WaitGroup
	for _, conn := range c.conns {
		wait.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
			_, _ = conn.Write([]byte(text()))
		})
	}
	wait.Wait()
}

// head returns the head of a request without its last line end.
func head(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: app.example\r\n%s: %s\r\n%s: 15000\r\n", method, path, wire.RequestID, requestID(), wire.Timeout)
}

// settle is the time for which the crowd stays as it is before the ordinary request is sent.
const settle = time.Second

// play lets a crowd write its text, and checks the daemon.
func play(t *testing.T, size int, text func() string) {
	t.Helper()
	d := newDaemon(t, descriptors)
	newCrowd(d, size).write(text)
	time.Sleep(settle)
	d.mustAnswer(http.MethodGet, "/read/small", 0)
	d.mustAnswer(http.MethodPost, "/write/small", 1<<10)
	d.check(descriptors)
}

// TestAnswersThatNobodyReads lets callers ask for large answers and read nothing of them.
func TestAnswersThatNobodyReads(t *testing.T) {
	play(t, 48, func() string { return head(http.MethodGet, fmt.Sprintf("/read/large/%d", 6<<20)) + "\r\n" })
}

// TestAnswersReadSlowly lets callers ask for large answers and read a few bytes now and then.
func TestAnswersReadSlowly(t *testing.T) {
	d := newDaemon(t, descriptors)
	c := newCrowd(d, 48)
	for _, conn := range c.conns {
		go func() {
			piece := make([]byte, 512)
			for {
				if _, err := conn.Read(piece); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	c.write(func() string { return head(http.MethodGet, fmt.Sprintf("/read/large/%d", 6<<20)) + "\r\n" })
	time.Sleep(settle)
	d.mustAnswer(http.MethodGet, "/read/small", 0)
	d.mustAnswer(http.MethodPost, "/write/small", 1<<10)
	d.check(descriptors)
}

// TestPipelinedAnswersThatNobodyReads lets callers send many requests at once and read no answer.
func TestPipelinedAnswersThatNobodyReads(t *testing.T) {
	play(t, 40, func() string {
		var b strings.Builder
		for range 16 {
			b.WriteString(head(http.MethodGet, fmt.Sprintf("/read/large/%d", 1<<20)) + "\r\n")
		}
		return b.String()
	})
}

// TestShortAnswersThatNobodyReads lets callers send many requests at once and read nothing of answers that are short enough to be
// held beside long ones.
func TestShortAnswersThatNobodyReads(t *testing.T) {
	play(t, 400, func() string {
		var b strings.Builder
		for range 30 {
			b.WriteString(head(http.MethodGet, fmt.Sprintf("/read/large/%d", 60<<10)) + "\r\n")
		}
		return b.String()
	})
}

// TestHeadsOverTheLimit lets callers send heads far over the limit.
func TestHeadsOverTheLimit(t *testing.T) {
	long := "X-Long: " + strings.Repeat("x", 4<<20) + "\r\n\r\n"
	play(t, 100, func() string { return head(http.MethodGet, "/read/small") + long })
}

// TestHeadsWithoutEnd lets callers send almost as much of a head as is allowed, and nothing more.
func TestHeadsWithoutEnd(t *testing.T) {
	long := "X-Long: " + strings.Repeat("x", maxHeader-1024)
	play(t, 2500, func() string { return head(http.MethodGet, "/read/small") + long })
}

// TestEmptyLinesBeforeARequest lets callers send empty lines in place of a request.
func TestEmptyLinesBeforeARequest(t *testing.T) {
	for name, line := range map[string]string{"CR LF": "\r\n", "LF": "\n"} {
		t.Run(name, func(t *testing.T) {
			lines := strings.Repeat(line, 2<<20)
			play(t, 100, func() string { return lines })
		})
	}
}

// TestManyFields lets callers send header fields by the thousand, and pipelined requests with as many as are allowed.
func TestManyFields(t *testing.T) {
	t.Run("over the limit", func(t *testing.T) {
		fields := strings.Repeat("a: b\r\n", 10_000)
		play(t, 300, func() string { return head(http.MethodGet, "/read/small") + fields + "\r\n" })
	})
	t.Run("pipelined", func(t *testing.T) {
		fields := strings.Repeat("a: "+strings.Repeat("b", 200)+"\r\n", 230)
		play(t, 300, func() string {
			var b strings.Builder
			for range 32 {
				b.WriteString(head(http.MethodGet, "/read/small") + fields + "\r\n")
			}
			return b.String()
		})
	})
}

// TestBodiesThatNeverCome lets callers announce the longest bodies and send nothing of them.
func TestBodiesThatNeverCome(t *testing.T) {
	play(t, 100, func() string {
		return head(http.MethodPost, "/write/x") + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody)
	})
}

// TestChunkSizesWithoutEnd lets callers send a chunk size that doesn't end.
func TestChunkSizesWithoutEnd(t *testing.T) {
	size := strings.Repeat("0", 1<<20)
	play(t, 300, func() string { return head(http.MethodPost, "/write/x") + "Transfer-Encoding: chunked\r\n\r\n" + size })
}

// TestSmallChunks lets callers send bodies in chunks of one byte, without an end.
func TestSmallChunks(t *testing.T) {
	chunks := strings.Repeat("1\r\nx\r\n", 300_000)
	play(t, 64, func() string {
		return head(http.MethodPost, "/write/x") + "Transfer-Encoding: chunked\r\n\r\n" + chunks
	})
}

// TestLongBodiesAtOnce lets callers send long bodies at once, each within the limits, and then one alone.
func TestLongBodiesAtOnce(t *testing.T) {
	d := newDaemon(t, descriptors)
	body := strings.Repeat("x", 6<<20)
	c := newCrowd(d, 24)
	c.write(func() string {
		return head(http.MethodPost, "/write/x") + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	})
	d.mustAnswer(http.MethodPost, "/write/small", 1<<10)
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	d.mustAnswer(http.MethodPost, "/write/large", len(body))
	d.check(descriptors)
}

// TestAnswersThatNobodyReadsFromAnotherVM lets callers of one daemon read nothing of large answers that come from another.
func TestAnswersThatNobodyReadsFromAnotherVM(t *testing.T) {
	first, second := newPair(t)
	newCrowd(first, 48).write(func() string { return head(http.MethodGet, fmt.Sprintf("/read/large/%d", 6<<20)) + "\r\n" })
	time.Sleep(settle)
	first.mustAnswer(http.MethodGet, "/read/small", 0)
	first.mustAnswer(http.MethodPost, "/write/small", 1<<10)
	first.check(descriptors)
	second.check(descriptors)
}

// TestLongBodiesAtOnceForAnotherVM lets callers of one daemon send long bodies at once that another has to run, and then one alone.
func TestLongBodiesAtOnceForAnotherVM(t *testing.T) {
	first, second := newPair(t)
	body := strings.Repeat("x", 6<<20)
	c := newCrowd(first, 24)
	c.write(func() string {
		return head(http.MethodPost, "/write/x") + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	})
	first.mustAnswer(http.MethodPost, "/write/small", 1<<10)
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	first.mustAnswer(http.MethodPost, "/write/large", len(body))
	first.check(descriptors)
	second.check(descriptors)
}

// TestAllConnectionsWithUnreadAnswers lets callers take all connections and read nothing of large answers.
func TestAllConnectionsWithUnreadAnswers(t *testing.T) {
	const few = 600
	d := newDaemon(t, few)
	newCrowd(d, 700).write(func() string { return head(http.MethodGet, fmt.Sprintf("/read/large/%d", 6<<20)) + "\r\n" })
	time.Sleep(settle)
	d.mustAnswer(http.MethodGet, "/read/small", 0)
	d.check(few)
}

// TestIdleConnections lets callers open more connections than the daemon has descriptors, and send nothing.
func TestIdleConnections(t *testing.T) {
	const few = 600
	d := newDaemon(t, few)
	newCrowd(d, 1500)
	time.Sleep(settle)
	d.mustAnswer(http.MethodGet, "/read/small", 0)
	d.check(few)
}
