package listener

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"berylpass/caller/memory"
)

// awaitNoReservations waits until all bodies are released, which happens after their
// requests are answered.
func awaitNoReservations(t *testing.T, l *Listener) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	limit := time.After(10 * time.Second)
	for l.settings.memory.Used(memory.Exchanges) != 0 {
		select {
		case <-ticker.C:
		case <-limit:
			t.Fatalf("%d bytes are still reserved after all responses", l.settings.memory.Used(memory.Exchanges))
		}
	}
}

// TestTotalBodyBytesAreBounded posts a second body of 600 KiB while the first one is held,
// under a bound of 1 MiB. The second is refused with 503, and a third is served once the
// first request has ended.
func TestTotalBodyBytesAreBounded(t *testing.T) {
	const size = 600 << 10
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	l, err := New("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-release
	}), WithMaxTotalBody(1<<20))
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
		t.Errorf("second body: status %d, want 503", second)
	}
	close(release)
	wait.Wait()
	awaitNoReservations(t, l)
	if first != http.StatusOK {
		t.Errorf("first body: status %d, want 200", first)
	}
	if third := post(); third != http.StatusOK {
		t.Errorf("third body: status %d, want 200", third)
	}
	awaitNoReservations(t, l)
}
