package daemon_test

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"berylpass/emulator"
	"berylpass/ingress"
	"berylpass/mesh/meshkey"
	"berylpass/operate/localfleet"
)

const strangerTimeout = 5 * time.Second

// forwarded is a request as an ingress sends it to a guard, but for what names a living attempt.
const forwarded = "POST /visits HTTP/1.1\r\nHost: x\r\nBp-Attempt: vm-9/1/1/0\r\nBp-Backend: rounds-2\r\n" +
	"Bp-Incarnation: 1\r\nBp-Expires: 3600000\r\nBp-Token-Lapses: 3600000\r\nBp-Organisation: kowalski-orchards\r\n" +
	"Bp-Key: k1\r\nBp-Route: visits\r\nBp-Class: transfer\r\nBp-Revision: 1\r\nX-Request-Id: forged\r\nContent-Length: 0\r\n\r\n"

// speak sends what a stranger would and returns what comes back before the connection ends.
func speak(t *testing.T, address string, config *tls.Config) string {
	t.Helper()
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	if err := raw.SetDeadline(time.Now().Add(strangerTimeout)); err != nil {
		t.Fatal(err)
	}
	conn := raw
	if config != nil {
		conn = tls.Client(raw, config)
	}
	_, _ = io.WriteString(conn, forwarded)
	answer, err := io.ReadAll(conn)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("%s keeps a stranger's connection open", address)
	}
	return string(answer)
}

// TestStrangerInMesh holds that nobody without the mesh secret speaks to the data or the control port.
func TestStrangerInMesh(t *testing.T) {
	w := newWorld(t, 2)
	other, err := meshkey.New("another-secret-of-16-bytes")
	if err != nil {
		t.Fatal(err)
	}
	anyServer := other.ClientTLS()
	anyServer.VerifyConnection = nil
	anonymous := &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}
	addresses := w.Daemons()[vm(2)].Addresses()
	for port, address := range map[string]string{"data": addresses.Data, "control": addresses.Control} {
		for name, config := range map[string]*tls.Config{"plain": nil, "anonymous": anonymous, "other secret": anyServer} {
			if answer := speak(t, address, config); strings.Contains(answer, "HTTP/1.1 200") || strings.Contains(answer, "Bp-Ending") {
				t.Errorf("%s port answers a stranger (%s): %q", port, name, answer)
			}
		}
	}
	if n := w.backends[1].Runs("forged"); n != 0 {
		t.Errorf("a stranger's request ran %d times", n)
	}
	known, err := localfleet.MeshKey()
	if err != nil {
		t.Fatal(err)
	}
	conn, err := tls.Dial("tcp", addresses.Data, known.ClientTLS())
	if err != nil {
		t.Fatalf("the same words from a daemon: %v", err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(strangerTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, forwarded); err != nil {
		t.Fatal(err)
	}
	head := make([]byte, 4096)
	n, err := conn.Read(head)
	if err != nil || !strings.Contains(string(head[:n]), "Bp-Ending: not-run") {
		t.Errorf("a daemon's attempt for an earlier incarnation: got %q, %v, want a report of not run", head[:n], err)
	}
}

// TestMeshKeyRotation holds that daemons at neighbouring steps of a rotation work with each other.
func TestMeshKeyRotation(t *testing.T) {
	const before, after = "secret-before-rotation", "secret-after-rotation"
	steps := []localfleet.Setting{
		localfleet.WithSecrets(before),
		localfleet.WithSecrets(before, after),
		localfleet.WithSecrets(after, before),
		localfleet.WithSecrets(after),
	}
	for n := range len(steps) - 1 {
		t.Run(fmt.Sprintf("step-%d-and-%d", n, n+1), func(t *testing.T) {
			w := startWorld(t)
			for i := range 2 {
				if _, err := w.StartDaemon(vm(i+1), "srem", steps[n+i]); err != nil {
					t.Fatal(err)
				}
				b, err := w.StartBackend(vm(i+1), fmt.Sprintf("rounds-%d", i+1), "rounds", emulator.WithServiceTime(time.Millisecond))
				if err != nil {
					t.Fatal(err)
				}
				w.backends = append(w.backends, b)
			}
			w.change(faultConfiguration())
			w.warm()
			c := newCaller(t, secret)
			for i, other := range []int{1, 0} {
				request := 0
				w.until("a request crosses from "+vm(i+1), func() bool {
					request++
					r := c.send(w.callers(i+1), "POST", "/visits", fmt.Sprintf("%d-%d", i, request), nil)
					if r.outcome != ingress.Answered {
						t.Fatalf("got %s in a rotation", r)
					}
					return w.backends[other].Runs(r.id) == 1
				})
			}
		})
	}
}
