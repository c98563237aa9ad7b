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

// connectionTimeout bounds a connection to a mesh port, including the refusal of an
// untrusted peer.
const connectionTimeout = 5 * time.Second

// forwardedRequest is a request as an ingress sends it to a guard, but its attempt names a
// daemon that doesn't exist and an earlier incarnation of the guard.
const forwardedRequest = "POST /visits HTTP/1.1\r\nHost: x\r\nBp-Attempt: vm-9/1/1/0\r\nBp-Backend: rounds-2\r\n" +
	"Bp-Incarnation: 1\r\nBp-Expires: 3600000\r\nBp-Token-Lapses: 3600000\r\nBp-Organisation: kowalski-orchards\r\n" +
	"Bp-Key: k1\r\nBp-Route: visits\r\nBp-Class: transfer\r\nBp-Revision: 1\r\nX-Request-Id: forged\r\nContent-Length: 0\r\n\r\n"

// sendForwarded sends forwardedRequest, over TLS unless config is nil, and returns what the
// other side sends before it closes the connection.
func sendForwarded(t *testing.T, address string, config *tls.Config) string {
	t.Helper()
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	if err := raw.SetDeadline(time.Now().Add(connectionTimeout)); err != nil {
		t.Fatal(err)
	}
	conn := raw
	if config != nil {
		conn = tls.Client(raw, config)
	}
	_, _ = io.WriteString(conn, forwardedRequest)
	answer, err := io.ReadAll(conn)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("%s does not close the connection of an untrusted peer", address)
	}
	return string(answer)
}

// TestMeshPortsRefuseUntrustedPeers checks that a peer without the mesh secret gets no
// answer from the data port or the control port, and that the data port answers a peer
// with the secret.
func TestMeshPortsRefuseUntrustedPeers(t *testing.T) {
	f := newTestFleet(t, 2)
	other, err := meshkey.New("another-secret-of-16-bytes")
	if err != nil {
		t.Fatal(err)
	}
	otherSecretTLS := other.ClientTLS()
	otherSecretTLS.VerifyConnection = nil
	anonymous := &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}
	addresses := f.Daemons()[vm(2)].Addresses()
	for port, address := range map[string]string{"data": addresses.Data, "control": addresses.Control} {
		for name, config := range map[string]*tls.Config{"plain": nil, "anonymous": anonymous, "other secret": otherSecretTLS} {
			if answer := sendForwarded(t, address, config); strings.Contains(answer, "HTTP/1.1 200") || strings.Contains(answer, "Bp-Ending") {
				t.Errorf("%s port answers an untrusted peer (%s): %q", port, name, answer)
			}
		}
	}
	if n := f.backends[1].RunCount("forged"); n != 0 {
		t.Errorf("the request of an untrusted peer ran %d times", n)
	}
	trustedKey, err := localfleet.MeshKey()
	if err != nil {
		t.Fatal(err)
	}
	conn, err := tls.Dial("tcp", addresses.Data, trustedKey.ClientTLS())
	if err != nil {
		t.Fatalf("dial the data port with the mesh secret: %v", err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(connectionTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, forwardedRequest); err != nil {
		t.Fatal(err)
	}
	head := make([]byte, 4096)
	n, err := conn.Read(head)
	if err != nil || !strings.Contains(string(head[:n]), "Bp-Ending: not-run") {
		t.Errorf("attempt for an earlier incarnation with the mesh secret: got %q, %v, want Bp-Ending: not-run", head[:n], err)
	}
}

// TestMeshKeyRotation checks that daemons at adjacent steps of a rotation of the mesh
// secret forward requests to each other.
func TestMeshKeyRotation(t *testing.T) {
	const before, after = "secret-before-rotation", "secret-after-rotation"
	steps := []localfleet.DaemonOption{
		localfleet.WithSecrets(before),
		localfleet.WithSecrets(before, after),
		localfleet.WithSecrets(after, before),
		localfleet.WithSecrets(after),
	}
	for n := range len(steps) - 1 {
		t.Run(fmt.Sprintf("step-%d-and-%d", n, n+1), func(t *testing.T) {
			f := newEmptyTestFleet(t)
			for i := range 2 {
				if _, err := f.StartDaemon(vm(i+1), "srem", steps[n+i]); err != nil {
					t.Fatal(err)
				}
				b, err := f.StartBackend(vm(i+1), fmt.Sprintf("rounds-%d", i+1), "rounds", emulator.WithServiceTime(time.Millisecond))
				if err != nil {
					t.Fatal(err)
				}
				f.backends = append(f.backends, b)
			}
			f.publishAndAwait(testConfiguration())
			f.awaitAnswers()
			c := newCaller(t, secret)
			for i, other := range []int{1, 0} {
				request := 0
				f.waitUntil("a request crosses from "+vm(i+1), func() bool {
					request++
					r := c.send(f.callersAddress(i+1), "POST", "/visits", fmt.Sprintf("%d-%d", i, request), nil)
					if r.outcome != ingress.Answered {
						t.Fatalf("got %s during the rotation, want answered", r)
					}
					return f.backends[other].RunCount(r.id) == 1
				})
			}
		})
	}
}
