package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one request of a client and what came of it.
type sent struct {
	attempt, machine, method, path string
	at, ended                      time.Time
	status                         int
	stamp, err                     string
}

// clients sends requests to the daemons and records them.
type clients struct {
	http *http.Client
	key  string
	next atomic.Uint64

	mu  sync.Mutex
	all []sent
}

func newClients(key string) *clients {
	return &clients{key: key, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// request sends one request to the outbound address of a machine.
func (c *clients) request(d *daemon, method, path string, body []byte, timeout time.Duration) sent {
	s := sent{attempt: fmt.Sprintf("%016x", 0xa000000000000000+c.next.Add(1)), machine: d.name, method: method, path: path, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.GetBody = nil
	r.Host = "app.example"
	r.Header.Set("X-Berylpass-Attempt-Id", s.attempt)
	r.Header.Set("X-Berylpass-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+c.key)
	answer, err := c.http.Do(r)
	if err != nil {
		s.err = "no answer"
	} else {
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		s.status, s.stamp = answer.StatusCode, answer.Header.Get("X-Berylpass-Server-Stamp")
		if err != nil {
			s.err = "answer ended early"
		}
	}
	s.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, s)
	return s
}

// traffic sends a request each interval, to the machines by turns, until stop is closed.
func (c *clients) traffic(machines []*daemon, method, path string, interval time.Duration, stop <-chan struct{}, wait *sync.WaitGroup) {
	wait.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				wait.Go(func() { c.request(machines[n%len(machines)], method, path, nil, 3*time.Second) })
			}
		}
	})
}

func (c *clients) list() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.all...)
}
