// Package announcer registers a backend server with the daemon on its VM, and repeats
// the announcement periodically, as each backend server has to.
//
// # Usage
//
//	a := announcer.New("http://127.0.0.1:7004", "rounds-1", announcer.Server{Service: "rounds", Address: e.Address(), Slots: 4, Incarnation: 1})
//	a.Drain(ctx)
//	a.Close() // withdraws the announcement
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
	// announceInterval is the time between two announcements.
	announceInterval = 2 * time.Second
	requestTimeout   = 2 * time.Second
)

// Server is the content of an announcement. The address is host:port.
type Server struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Incarnation uint64 `json:"incarnation"`
}

// Announcer announces one backend server. It is safe for concurrent use.
type Announcer struct {
	url    string
	client *http.Client
	stop   chan struct{}
	wait   sync.WaitGroup

	mu       sync.Mutex
	server   Server
	draining bool
}

// New announces the server under the ID at once and then every two seconds, until Drain
// or Close. The base URL is that of the daemon's announcement port.
func New(baseURL, id string, server Server) *Announcer {
	a := &Announcer{
		url:    baseURL + "/backends/" + id,
		client: &http.Client{Timeout: requestTimeout},
		stop:   make(chan struct{}),
		server: server,
	}
	a.wait.Go(func() {
		ticker := time.NewTicker(announceInterval)
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

// Announce announces the server now. After Drain it does nothing and returns nil.
func (a *Announcer) Announce(ctx context.Context) error {
	a.mu.Lock()
	server, draining := a.server, a.draining
	a.mu.Unlock()
	if draining {
		return nil
	}
	body, err := json.Marshal(server)
	if err != nil {
		return err
	}
	return a.call(ctx, http.MethodPut, "", body)
}

// Drain stops the announcements and asks the daemon to send no more requests.
func (a *Announcer) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	return a.call(ctx, http.MethodPost, "/drain", nil)
}

// Close stops the announcements and withdraws the last one. It may be called only once.
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
		return fmt.Errorf("announcement port returned status %s", response.Status)
	}
	return nil
}
