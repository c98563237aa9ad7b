package forwarder

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	nbtls "github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio/nbhttp"

	"berylpass/attempt/id"
	"berylpass/caller/listener"
	"berylpass/config/class"
	"berylpass/hop"
	"berylpass/mesh/meshkey"
)

func meshKey(t testing.TB) *meshkey.MeshKey {
	t.Helper()
	key, err := meshkey.New("secret-of-this-fleet")
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// serve starts a guard on a TLS port, which answers each request with respond, and returns its
// address.
func serve(t testing.TB, key *meshkey.MeshKey, respond func(w http.ResponseWriter, e hop.Envelope)) string {
	t.Helper()
	l, err := listener.New("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e, err := hop.ReadEnvelope(r.Header)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		respond(w, e)
	}), listener.WithTLS(key.NonBlockingServerTLS()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l.Address()
}

// writeAnswer writes a complete answer to the attempt with a body of size bytes.
func writeAnswer(w http.ResponseWriter, attempt id.ID, size int) {
	hop.Report{Attempt: attempt, Ending: hop.Ran}.Write(w.Header())
	_, _ = w.Write(make([]byte, size))
}

func envelope(n uint64) hop.Envelope {
	return hop.Envelope{Attempt: id.New("vm-1", 1, n), Backend: "rounds-1", Incarnation: 7, Expires: 1000, Class: class.Transfer, Route: "lookups"}
}

func TestForward(t *testing.T) {
	key := meshKey(t)
	other := id.New("vm-9", 9, 9)
	whole := serve(t, key, func(w http.ResponseWriter, e hop.Envelope) { writeAnswer(w, e.Attempt, 1<<20) })
	crossed := serve(t, key, func(w http.ResponseWriter, _ hop.Envelope) { writeAnswer(w, other, 10) })
	cut := serve(t, key, func(http.ResponseWriter, hop.Envelope) { panic(http.ErrAbortHandler) })
	f := New(key.ClientTLS(), 1<<20)
	small := New(key.ClientTLS(), 1<<10)
	for _, c := range []struct {
		name    string
		f       *Forwarder
		address string
		want    error
	}{
		{"complete answer", f, whole, nil},
		{"answer over the size limit", small, whole, ErrAnswerLost},
		{"answer of another attempt", f, crossed, ErrMismatch},
		{"truncated answer", f, cut, ErrAnswerLost},
		{"nobody listens", f, "127.0.0.1:1", ErrNotSent},
	} {
		got, err := c.f.Forward(context.Background(), c.address, envelope(1), Request{Method: "GET", Target: "/fields?n=1", Host: "example.org"})
		if !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
		if err == nil && len(got.Body) != 1<<20 {
			t.Errorf("%s: %d bytes", c.name, len(got.Body))
		}
	}
}

func TestForwardEndsWithItsContext(t *testing.T) {
	key := meshKey(t)
	release := make(chan struct{})
	address := serve(t, key, func(w http.ResponseWriter, e hop.Envelope) {
		<-release
		writeAnswer(w, e.Attempt, 1)
	})
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, err := New(key.ClientTLS(), 1<<20).Forward(ctx, address, envelope(1), Request{Method: "GET", Target: "/", Host: "h"}); !errors.Is(err, ErrAnswerLost) {
		t.Errorf("got %v, want ErrAnswerLost", err)
	}
}

// unresponsiveGuard starts a guard that accepts connections and reads no requests, so that sending
// a large body never finishes. It returns the address and the number of accepted connections.
func unresponsiveGuard(t *testing.T, key *meshkey.MeshKey) (address string, accepted *atomic.Int64) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", key.ServerTLS())
	if err != nil {
		t.Fatal(err)
	}
	accepted = &atomic.Int64{}
	var conns []net.Conn
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			conns = append(conns, conn)
			go func() { _ = conn.(*tls.Conn).Handshake() }()
		}
	})
	t.Cleanup(func() {
		l.Close()
		wait.Wait()
		for _, conn := range conns {
			conn.Close()
		}
	})
	return l.Addr().String(), accepted
}

// TestLargeBodiesAreLimited sends many uploads to a guard that is too busy to read them. Only
// maxLargeBodies of them may be sent, the others must end as not sent, and a request with a small
// body must not wait for them.
func TestLargeBodiesAreLimited(t *testing.T) {
	key := meshKey(t)
	address, accepted := unresponsiveGuard(t, key)
	quick := serve(t, key, func(w http.ResponseWriter, e hop.Envelope) { writeAnswer(w, e.Attempt, 1) })
	f := New(key.ClientTLS(), 1<<20)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var notSent, lost atomic.Int64
	var wait sync.WaitGroup
	for n := range uint64(3 * maxLargeBodies) {
		wait.Go(func() {
			_, err := f.Forward(ctx, address, envelope(n), Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, 8<<20)})
			switch {
			case errors.Is(err, ErrNotSent):
				notSent.Add(1)
			case errors.Is(err, ErrAnswerLost):
				lost.Add(1)
			}
		})
	}
	if _, err := f.Forward(ctx, quick, envelope(100), Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, 1<<10)}); err != nil {
		t.Errorf("request with a small body: %v", err)
	}
	wait.Wait()
	if lost.Load() > maxLargeBodies || notSent.Load() < 2*maxLargeBodies || accepted.Load() > maxLargeBodies {
		t.Errorf("%d connections, %d lost, %d not sent; want at most %d sent and all others not sent", accepted.Load(), lost.Load(), notSent.Load(), maxLargeBodies)
	}
}

// TestAttemptIsSentOnlyOnce lets a guard close a reused connection after it has read a request
// from it: the HTTP transport must not send the request again. A guard's refusal proves "not run"
// only as long as no second copy of the attempt follows.
func TestAttemptIsSentOnlyOnce(t *testing.T) {
	key := meshKey(t)
	var mu sync.Mutex
	arrived := map[uint64]int{}
	address := serve(t, key, func(w http.ResponseWriter, e hop.Envelope) {
		mu.Lock()
		arrived[e.Attempt.Request]++
		mu.Unlock()
		if e.Attempt.Request%2 == 0 {
			panic(http.ErrAbortHandler)
		}
		writeAnswer(w, e.Attempt, 1)
	})
	f := New(key.ClientTLS(), 1<<20)
	for n := range uint64(20) {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			r := Request{Method: method, Target: "/", Host: "h", Header: http.Header{"Idempotency-Key": {"k"}}}
			e := envelope(2*n + 1)
			if _, err := f.Forward(context.Background(), address, e, r); err != nil {
				t.Fatal(err)
			}
			if _, err := f.Forward(context.Background(), address, envelope(2*n+2), r); !errors.Is(err, ErrAnswerLost) {
				t.Fatalf("got %v, want ErrAnswerLost", err)
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for n, copies := range arrived {
		if copies != 2 {
			t.Errorf("request %d arrived %d times, want 2: once for each method", n, copies)
		}
	}
}

// BenchmarkForward measures the hop as it is in use: net/http's transport to an nbhttp server.
func BenchmarkForward(b *testing.B) {
	key := meshKey(b)
	address := serve(b, key, func(w http.ResponseWriter, e hop.Envelope) { writeAnswer(w, e.Attempt, 512) })
	f := New(key.ClientTLS(), 1<<20)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := f.Forward(context.Background(), address, envelope(1), Request{Method: "GET", Target: "/", Host: "h"}); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkForwardWithNbhttpClient measures the same hop with nbhttp's client, for comparison.
func BenchmarkForwardWithNbhttpClient(b *testing.B) {
	key := meshKey(b)
	address := serve(b, key, func(w http.ResponseWriter, e hop.Envelope) { writeAnswer(w, e.Attempt, 512) })
	engine := nbhttp.NewEngine(nbhttp.Config{})
	if err := engine.Start(); err != nil {
		b.Fatal(err)
	}
	defer engine.Stop()
	client := &nbhttp.Client{Engine: engine, Timeout: 10 * time.Second, MaxConnsPerHost: 64, TLSClientConfig: nbClientTLS(key.ClientTLS())}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		done := make(chan error, 1)
		for pb.Next() {
			request, err := http.NewRequest(http.MethodGet, "https://"+address+"/", bytes.NewReader(nil))
			if err != nil {
				b.Error(err)
				return
			}
			envelope(1).Write(request.Header)
			client.Do(request, func(response *http.Response, _ net.Conn, err error) { done <- drain(response, err) })
			if err := <-done; err != nil {
				b.Error(err)
				return
			}
		}
	})
}

func drain(response *http.Response, err error) error {
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func nbClientTLS(c *tls.Config) *nbtls.Config {
	return &nbtls.Config{
		Certificates:       []nbtls.Certificate{{Certificate: c.Certificates[0].Certificate, PrivateKey: c.Certificates[0].PrivateKey}},
		InsecureSkipVerify: true,
	}
}
