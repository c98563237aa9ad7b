package daemon_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"berylpass/emulator"
	"berylpass/operate/localfleet"
)

// logBuffer collects the log of a fleet. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) contains(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), s)
}

// TestCallerDisconnectCausesNoPanic checks that a request whose caller disconnects while
// it runs is logged as ended, and that no handler panics.
func TestCallerDisconnectCausesNoPanic(t *testing.T) {
	var log logBuffer
	f := newEmptyTestFleet(t, localfleet.WithLogger(zerolog.New(&log)))
	f.startVM(1)
	f.publishAndAwait(testConfiguration())
	f.awaitAnswers()
	f.backends[0].SetFault(emulator.Fault{NoAnswer: true})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.callersAddress(1)+"/fields", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true}}
	left := make(chan error, 1)
	go func() {
		response, err := client.Do(request)
		if err == nil {
			response.Body.Close()
		}
		left <- err
	}()
	f.waitUntil("the request runs", func() bool { return f.backends[0].InUse() > 0 })
	cancel()
	<-left
	f.waitUntil("the end of the request is logged", func() bool { return log.contains("caller-left") })
	if log.contains("handler-panicked") {
		t.Error("a handler panicked")
	}
}
