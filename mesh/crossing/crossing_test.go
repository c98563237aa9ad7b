package crossing

import (
	"context"
	"net"
	"testing"
)

// TestBytesAreCountedByKindAndHost checks that the bytes of both directions count for the
// host that was dialled and for the kind of traffic.
func TestBytesAreCountedByKindAndHost(t *testing.T) {
	c := New()
	here, there := net.Pipe()
	dial := c.Dial(Requests, func(context.Context, string, string) (net.Conn, error) { return here, nil })
	conn, err := dial(t.Context(), "tcp", "10.0.0.7:443")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_, _ = there.Read(make([]byte, 8))
		_, _ = there.Write([]byte("abc"))
	}()
	if _, err := conn.Write([]byte("12345")); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	got := c.Totals(func(host string) bool { return host == "10.0.0.7" })
	if want := (Traffic{Connections: 1, Sent: 5, Received: 3}); got[Requests] != want || got[Control] != (Traffic{}) {
		t.Errorf("got %+v, want %+v for requests and nothing else", got, want)
	}
	if other := c.Totals(func(host string) bool { return host != "10.0.0.7" }); other[Requests] != (Traffic{}) {
		t.Errorf("got %+v for other hosts, want nothing", other)
	}
}
