package link

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestDialerSetsAckTimeout checks that a dialled connection has ackTimeout as its
// TCP_USER_TIMEOUT.
func TestDialerSetsAckTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := New(time.Second).Dialer().Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var ms int
	if err := raw.Control(func(fd uintptr) {
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil || time.Duration(ms)*time.Millisecond != ackTimeout {
		t.Errorf("TCP_USER_TIMEOUT: got %d ms, %v, want %s", ms, err, ackTimeout)
	}
}
