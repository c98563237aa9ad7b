package forwarder

import (
	"context"
	"crypto/tls"
	"net/http"
	"testing"

	"berylpass/hop"
)

// TestSessionsOfTheDataHopAreResumed sends a request to each of several guards. In a large fleet an ingress sends a
// given guard so few requests that most of them need a new connection.
func TestSessionsOfTheDataHopAreResumed(t *testing.T) {
	const guards = 6
	key := meshKey(t)
	config := key.ClientTLS()
	full := 0
	verify := config.VerifyConnection
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if !state.DidResume {
			full++
		}
		return verify(state)
	}
	f := New(config, 1<<20)
	for n := range uint64(guards) {
		address := serve(t, meshKey(t), func(w http.ResponseWriter, e hop.Envelope) { writeAnswer(w, e.Attempt, 1) })
		for range 2 {
			if _, err := f.Forward(context.Background(), address, envelope(n), Request{Method: "GET", Target: "/", Host: "h"}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if full != 1 {
		t.Errorf("%d of %d guards took a full handshake, want 1", full, guards)
	}
}
