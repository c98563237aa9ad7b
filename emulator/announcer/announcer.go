// Package announcer makes a backend server known to the daemon beside it and
// keeps it known, as every backend server has to do for itself.
//
// # Usage
//
//	a := announcer.New("http://127.0.0.1:7004", "rounds-1", announcer.Server{Service: "rounds", Address: e.Address(), Slots: 4, Incarnation: 1})
//	a.Drain(ctx)
//	a.Close() // leaves
package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// interval is the pause between two announcements.
	interval    = 2 * time.Second
	callTimeout = 2 * time.Second
)

// Server is what is announced.
type Server struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Incarnation uint64 `json:"incarnation"`
}

// Announcer announces one backend server.
type Announcer struct {
	url    string
	client *http.Client
	stop   chan struct{}
	wait   sync.WaitGroup

	mu     sync.Mutex
	server Server
	silent bool
}

// New announces the server under its ID at once and then every two seconds.
// The base URL is that of the daemon's announcement port.
func New(baseURL, id string, server Server) *Announcer {
	a := &Announcer{
		url:    baseURL + "/backends/" + id,
		client: &http.Client{Timeout: callTimeout},
		stop:   make(chan struct{}),
		server: server,
	}
	a.wait.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			_ = a.Announce(context.Background())
			select {
			case <-ticker.C:
			case <-a.stop:
				return
			}
		}
	})
	return a
}

// Announce announces the server now.
func (a *Announcer) Announce(ctx context.Context) error {
	a.mu.Lock()
	server, silent := a.server, a.silent
	a.mu.Unlock()
	if silent {
		return nil
	}
	body, err := json.Marshal(server)
	if err != nil {
		return err
	}
	return a.call(ctx, http.MethodPut, "", body)
}

// Drain asks the daemon to send no more work, and stops announcing.
func (a *Announcer) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.silent = true
	a.mu.Unlock()
	return a.call(ctx, http.MethodPost, "/drain", nil)
}

// Close withdraws the announcement and waits for the announcer's goroutine.
func (a *Announcer) Close() {
	close(a.stop)
	a.wait.Wait()
	_ = a.call(context.Background(), http.MethodDelete, "", nil)
	a.client.CloseIdleConnections()
}

func (a *Announcer) call(ctx context.Context, method, path string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, a.url+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := a.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("announce: status %s", response.Status)
	}
	return nil
}
