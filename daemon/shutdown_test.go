package daemon_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"berylpass/emulator"
	"berylpass/ingress"
	"berylpass/store/memory"
)

// uploadSize is the size of an upload's body in bytes.
const uploadSize = 3 << 20

// isDialError reports whether no connection could be made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// TestGracefulShutdownUnderLoad shuts a daemon down while callers send small and large
// requests through all daemons: none is cut, and none ends as unknown.
func TestGracefulShutdownUnderLoad(t *testing.T) {
	f := newTestFleet(t, 3, emulator.WithServiceTime(20*time.Millisecond))
	c := newCaller(t, secret)
	addresses := []string{f.callersAddress(1), f.callersAddress(2), f.callersAddress(3)}
	var turn atomic.Uint64
	upload := make([]byte, uploadSize)
	send := func(body []byte) func(id string) result {
		return func(id string) result {
			if body != nil {
				id = "upload-" + id
			}
			return c.send(addresses[turn.Add(1)%3], "POST", "/visits", id, body)
		}
	}
	small, large := startLoad(6, send(nil)), startLoad(3, send(upload))
	f.waitUntil("rounds-2 has work", func() bool { return f.backends[1].Total() > 20 })
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	if err := f.StopDaemon(ctx, vm(2)); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	before := f.backends[1].Total()
	ran := f.backends[1].InUse()
	all := append(small.finish(), large.finish()...)
	f.checkOutcomes(all)
	cut := 0
	for _, r := range all {
		if r.err != nil && !isDialError(r.err) {
			cut++
			t.Errorf("%s: the connection was cut", r)
		}
		if r.outcome == ingress.Unknown {
			t.Errorf("%s: unknown in a graceful shutdown", r)
		}
	}
	if ran != 0 || f.backends[1].Total() != before {
		t.Errorf("rounds-2 had %d requests in flight and got %d more after the shutdown of its daemon", ran, f.backends[1].Total()-before)
	}
	t.Logf("%d requests, %d cut", len(all), cut)
}

// TestGracefulShutdownDuringUpload checks that an upload whose body is half sent when the
// shutdown starts is answered or refused, and not cut.
func TestGracefulShutdownDuringUpload(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2)
	address := f.callersAddress(1)
	reader, writer := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/visits", reader)
	if err != nil {
		t.Fatal(err)
	}
	request.ContentLength = uploadSize
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set(emulator.RequestHeader, "upload")
	answered := make(chan result, 1)
	go func() {
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			answered <- result{err: err}
			return
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		answered <- result{
			id: "upload", status: response.StatusCode, body: string(body), err: err,
			outcome: ingress.Outcome(response.Header.Get(ingress.OutcomeHeader)),
		}
	}()
	part := strings.Repeat("x", uploadSize/2)
	if _, err := io.WriteString(writer, part); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- f.StopDaemon(context.Background(), vm(1)) }()
	f.waitUntil("the daemon accepts no more connections", func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	if _, err := io.WriteString(writer, part); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	r := <-answered
	if r.err != nil || r.outcome != ingress.Answered && r.outcome != ingress.NotRun {
		t.Errorf("got %s, want answered or not run", r)
	}
	f.checkOutcomes([]result{r})
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// TestGracefulShutdownWithStoreUnavailable checks that work in flight can finish during a
// shutdown although the store is unavailable: the attempts to write to it must not use
// up the shutdown grace.
func TestGracefulShutdownWithStoreUnavailable(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2, emulator.WithServiceTime(time.Second))
	f.Platform().Store().SetFaults(memory.Faults{Unavailable: true})
	c := newCaller(t, secret)
	answered := make(chan result, 1)
	go func() { answered <- c.send(f.callersAddress(1), "POST", "/visits", "slow", nil) }()
	f.waitUntil("the request runs", func() bool { return f.backends[0].InUse()+f.backends[1].InUse() > 0 })
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := f.StopDaemon(ctx, vm(1)); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if r := <-answered; r.outcome != ingress.Answered && r.outcome != ingress.NotRun {
		t.Errorf("got %s, want answered or not run", r)
	}
}
