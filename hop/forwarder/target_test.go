package forwarder

import (
	"context"
	"net/http"
	"testing"

	"berylpass/caller/listener"
	"berylpass/hop"
)

// TestTargetReachesTheGuardUnchanged guards against a path that is encoded anew on its way to the guard, by which an
// escaped slash became a separator.
func TestTargetReachesTheGuardUnchanged(t *testing.T) {
	key := meshKey(t)
	received := make(chan string, 1)
	l, err := listener.New("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.Host + " " + r.RequestURI
		if e, err := hop.ReadEnvelope(r.Header); err == nil {
			writeAnswer(w, e.Attempt, 0)
		}
	}), listener.WithTLS(key.NonBlockingServerTLS()))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f := New(key.ClientTLS(), 1<<20)
	defer f.Close()
	for n, target := range []string{
		"/rounds/7?a=%20&b=|", "/rounds/12%2F4/|", "/rounds/12%2F4/Ś", "/rounds/a%2fb", "/rounds/{7}%2F\"^`\\",
		"/rounds//7", "/rounds/../7/.", "//rounds/7%2F|", "/rounds/%5Brounds%5D", "/?", "/rounds?",
	} {
		e := envelope(uint64(n + 1))
		request := Request{Method: http.MethodGet, Target: target, Host: "app.example"}
		if _, err := f.Forward(context.Background(), l.Address(), e, request); err != nil {
			t.Errorf("%q: %v", target, err)
			continue
		}
		if got := <-received; got != "app.example "+target {
			t.Errorf("%q: the guard received %q", target, got)
		}
	}
}
