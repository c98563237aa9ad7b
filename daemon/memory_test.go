package daemon

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"berylpass/caller/listener"
	"berylpass/caller/memory"
	"berylpass/config/settings"
	"berylpass/config/snapshot"
)

// TestCallerConnectionsFitTheMachine checks that callers' connections leave descriptors and memory to the daemon.
func TestCallerConnectionsFitTheMachine(t *testing.T) {
	for _, test := range []struct {
		limits settings.Limits
		want   int
	}{
		{settings.Limits{CallerConnections: 20000, Descriptors: 600, Memory: 1 << 30}, 450},
		{settings.Limits{CallerConnections: 100, Descriptors: 600, Memory: 1 << 30}, 100},
		{settings.Limits{CallerConnections: 20000, Descriptors: 8192, Memory: 64 << 20}, 1024},
	} {
		if got := callerConnections(test.limits); got != test.want {
			t.Errorf("%+v: %d connections, want %d", test.limits, got, test.want)
		}
	}
}

// TestMemoryWithoutASetting checks that a daemon whose settings name no memory takes at most defaultMemory.
func TestMemoryWithoutASetting(t *testing.T) {
	p := MemoryParts(settings.Limits{})
	if most := memory.Divide(defaultMemory); p.Runtime <= 0 || p.Runtime > most.Runtime {
		t.Errorf("got %+v, want at most %+v", p, most)
	}
}

// TestTimeoutsOfTheConfigurationAreInForce checks that an unfinished head and an idle connection are closed after the
// operators' timeouts, and that a connection with a request isn't.
func TestTimeoutsOfTheConfigurationAreInForce(t *testing.T) {
	started, release := make(chan struct{}, 1), make(chan struct{})
	l, err := listener.New("127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d := &Daemon{}
	d.startedCallers.Store(l)
	dial := func(text string) net.Conn {
		conn, err := net.Dial("tcp", l.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, text)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		return conn
	}
	busy := dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	// The timeouts are so short that they could end this connection before its request has arrived.
	<-started
	d.applyTimeouts(snapshot.New(1).WithHeadTimeout(time.Millisecond).WithIdleTimeout(10 * time.Millisecond))
	for _, conn := range []net.Conn{dial("GET / HTTP/1.1\r\nHo"), dial("")} {
		if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("got %v, want the connection closed", err)
		}
	}
	close(release)
	if response, err := http.ReadResponse(bufio.NewReader(busy), nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("the connection with a request: %v", err)
	}
}
