package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a worker ran.
type run struct {
	worker, attempt, method, target, tenant, caller, digest string
	at                                                      time.Time
}

// runs records the runs of all workers.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

// worker is a stand-in of an application worker, after PROTOCOL.md.
type worker struct {
	id, service, zone, address string
	slots                      int
	born                       int64
	work                       time.Duration
	runs                       *runs
	server                     *http.Server
	handle                     func(w http.ResponseWriter, r *http.Request, body []byte) bool

	mu       sync.Mutex
	sequence uint64
	state    string
	running  int
}

func newWorker(id, service, zone, address string, born int64, work time.Duration, all *runs) (*worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, address: l.Addr().String(), slots: 4, born: born, work: work, runs: all, state: "ready"}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// stop ends the worker at once, as a crash does.
func (w *worker) stop() { _ = w.server.Close() }

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	attempt := r.Header.Get("X-Berylpass-Attempt-Id")
	if attempt != "" {
		h.Set("X-Berylpass-Attempt-Id", attempt)
	}
	h.Set("X-Berylpass-Server-Stamp", "stamp-"+w.id)
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		h.Set("X-Berylpass-Instance-Id", w.id)
		return
	}
	if want := r.Header.Get("X-Berylpass-Expect-Instance"); want != "" && want != w.id {
		h.Set("X-Berylpass-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		h.Set("X-Berylpass-Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.running++
	now := w.running
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	if now > w.slots+36 {
		h.Set("X-Berylpass-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	digest := sha256.Sum256(body)
	w.runs.add(run{
		worker: w.id, attempt: attempt, method: r.Method, target: r.RequestURI, tenant: r.Header.Get("X-Berylpass-Tenant-Id"),
		caller: r.Header.Get("X-Berylpass-Caller-Service"), digest: fmt.Sprintf("%x", digest[:8]), at: time.Now(),
	})
	if w.handle != nil && w.handle(out, r, body) {
		return
	}
	time.Sleep(w.work)
	h.Set("X-Berylpass-Server-Load", fmt.Sprintf("%d,0,%d", min(now, w.slots), w.slots))
	_, _ = io.WriteString(out, "answer to "+attempt)
}

// message returns the body of a heartbeat or of the announcement that the worker leaves.
func (w *worker) message() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	text, _ := json.Marshal(map[string]any{
		"address": w.address, "born": w.born,
		"info":   map[string]any{"service": w.service, "version": "v1", "zone": w.zone, "slots": w.slots},
		"status": map[string]any{"state": w.state, "sequence": w.sequence, "cold_left": "0ms"},
	})
	return text
}

func (w *worker) setState(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}

// send sends a message of the worker to the daemon at its side, and reports whether it was
// acknowledged within a second.
func (w *worker) send(d *daemon, method string, body []byte) (acknowledged bool, status string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.backends+"/berylpass/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return false, err.Error()
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false, "no answer"
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode/100 == 2, answer.Status
}

// beat sends a heartbeat each 1.5 s until stop is closed.
func (w *worker) beat(d *daemon, stop <-chan struct{}) {
	for {
		w.send(d, http.MethodPut, w.message())
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}
