package meshkey

import (
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"testing"
)

// controlBytesPerSecond is the number of bytes of control traffic that a daemon may send
// and receive in a second.
const controlBytesPerSecond = 2 << 10

// countingConn counts the bytes that cross a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (m countingConn) Write(p []byte) (int, error) {
	m.bytes.Add(int64(len(p)))
	return m.Conn.Write(p)
}

func (m countingConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.bytes.Add(int64(n))
	return n, err
}

// TestHandshakeFitsControlBudget checks that a new connection takes at most
// controlBytesPerSecond: after the restart of a fleet each daemon opens many.
func TestHandshakeFitsControlBudget(t *testing.T) {
	key, err := New("secret-of-this-fleet")
	if err != nil {
		t.Fatal(err)
	}
	client, server := net.Pipe()
	defer client.Close()
	served := make(chan error, 1)
	go func() {
		conn := tls.Server(server, key.ServerTLS())
		_, err := io.Copy(conn, io.LimitReader(conn, 1))
		served <- err
	}()
	var bytes atomic.Int64
	conn := tls.Client(countingConn{client, &bytes}, key.ClientTLS())
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if err := <-served; err != nil {
		t.Fatal(err)
	}
	if got := bytes.Load(); got > controlBytesPerSecond {
		t.Errorf("a handshake takes %d bytes, want at most %d", got, controlBytesPerSecond)
	}
}
