package listener

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// client sends requests until the listener refuses connections, each on a new
// connection, or on one that it reuses if keep is set. It counts the requests that got a
// complete response and those that didn't.
type client struct {
	address              string
	keep                 bool
	answered, incomplete *atomic.Int64
}

func (c client) run(t *testing.T) {
	for {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
		c.sendRequests(t, conn)
		conn.Close()
	}
}

func (c client) sendRequests(t *testing.T, conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
		var response *http.Response
		if err == nil {
			response, err = http.ReadResponse(in, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			c.incomplete.Add(1)
			t.Logf("connection reused %t: %v", c.keep, err)
			return
		}
		c.answered.Add(1)
		if response.Close || !c.keep {
			return
		}
	}
}

// TestShutdownUnderTraffic shuts listeners down while clients keep sending. Every
// request on an accepted connection must get a complete response.
func TestShutdownUnderTraffic(t *testing.T) {
	body := strings.Repeat("x", 100_000)
	var answered, incomplete atomic.Int64
	for range 3 {
		l := start(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, body) })
		var clients sync.WaitGroup
		for n := range 20 {
			c := client{address: l.Address(), keep: n%2 == 0, answered: &answered, incomplete: &incomplete}
			clients.Go(func() { c.run(t) })
		}
		enough := answered.Load() + 300
		for answered.Load() < enough {
			runtime.Gosched()
		}
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if err := l.Shutdown(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		clients.Wait()
	}
	t.Logf("%d requests answered, %d not", answered.Load(), incomplete.Load())
	if incomplete.Load() > 0 {
		t.Errorf("%d requests got no complete response", incomplete.Load())
	}
}
