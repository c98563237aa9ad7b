package listener

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"
)

// awaitNothingHeld waits until all bodies are let go of, which comes after the answers.
func awaitNothingHeld(t *testing.T, l *Listener) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	limit := time.After(10 * time.Second)
	for l.bodies.held.Load() != 0 {
		select {
		case <-ticker.C:
		case <-limit:
			t.Fatalf("%d bytes are held after all answers", l.bodies.held.Load())
		}
	}
}

// TestBodiesTogetherAreBounded holds two bodies of 600 KB under a bound of 1 MB:
// one is served, the other refused, and when both are over there is room again.
func TestBodiesTogetherAreBounded(t *testing.T) {
	const size = 600 << 10
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	l, err := New("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-release
	}), WithMaxBodies(1<<20))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	post := func() int {
		response, err := http.Post("http://"+l.Address()+"/", "image/jpeg", bytes.NewReader(make([]byte, size)))
		if err != nil {
			t.Error(err)
			return 0
		}
		defer response.Body.Close()
		return response.StatusCode
	}
	var first int
	var wait sync.WaitGroup
	wait.Go(func() { first = post() })
	<-arrived
	if second := post(); second != http.StatusServiceUnavailable {
		t.Errorf("second body: %d, want 503", second)
	}
	close(release)
	wait.Wait()
	awaitNothingHeld(t, l)
	if first != http.StatusOK {
		t.Errorf("first body: %d, want 200", first)
	}
	if third := post(); third != http.StatusOK {
		t.Errorf("third body: %d, want 200", third)
	}
	awaitNothingHeld(t, l)
}
