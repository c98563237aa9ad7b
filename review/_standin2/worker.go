package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// ackTimeout is the time within which a heartbeat must be acknowledged.
	ackTimeout = time.Second
	slots      = 4
)

// run is one request that a worker ran.
type run struct {
	id, target, service, worker string
	header                      http.Header
	at                          time.Time
}

// runs holds what all workers ran. It is safe for concurrent use.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

// list returns the runs for which keep returns true.
func (r *runs) list(keep func(run) bool) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, one := range r.all {
		if keep(one) {
			out = append(out, one)
		}
	}
	return out
}

// worker is one incarnation of a worker.
type worker struct {
	id, service, address string
	daemon               *daemon
	record               *record
	runs                 *runs
	work                 time.Duration
	born                 int64

	mu       sync.Mutex
	sequence int
	running  int
	draining bool

	server *http.Server
	stop   context.CancelFunc
	beats  sync.WaitGroup
}

// startWorker starts a worker beside a daemon, at an address or, if that is empty, at a free one. It sends
// heartbeats once beat is called.
func startWorker(r *record, all *runs, d *daemon, id, address string, work time.Duration) (*worker, error) {
	if address == "" {
		address = d.ip + ":0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: d.service, address: l.Addr().String(), daemon: d, record: r, runs: all, work: work, born: time.Now().UnixMilli()}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	r.line("worker", "%s of %s started at %s, born %d", w.id, w.service, w.address, w.born)
	return w, nil
}

// ServeHTTP runs one request.
func (w *worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	id := in.Header.Get("X-Berylpass-Attempt-Id")
	h := out.Header()
	h.Set("X-Berylpass-Attempt-Id", id)
	if in.URL.Path == "/health" {
		h.Set("X-Berylpass-Instance-Id", w.id)
		return
	}
	if expected := in.Header.Get("X-Berylpass-Expect-Instance"); expected != "" && expected != w.id {
		h.Set("X-Berylpass-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, in.Body); err != nil {
		return
	}
	w.mu.Lock()
	w.running++
	load := w.running
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	w.runs.add(run{id: id, target: in.RequestURI, service: w.service, worker: w.id, header: in.Header.Clone(), at: time.Now()})
	w.record.line("worker", "%s of %s runs %s: %s %s", w.id, w.service, id, in.Method, in.RequestURI)
	time.Sleep(w.work)
	h.Set("X-Berylpass-Server-Stamp", fmt.Sprintf("%s.%s", w.id, id))
	h.Set("X-Berylpass-Server-Load", fmt.Sprintf("%d,0,%d", load, slots))
	_, _ = io.WriteString(out, w.service+" did "+id)
}

// heartbeat returns the next heartbeat of the worker.
func (w *worker) heartbeat() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body, err := json.Marshal(object{
		"address": w.address, "born": w.born,
		"info":   object{"service": w.service, "version": "v1", "zone": w.daemon.zone, "slots": slots},
		"status": object{"state": state, "sequence": w.sequence, "cold_left": "0ms"},
	})
	if err != nil {
		return nil
	}
	return body
}

// call sends a message to the daemon beside the worker and returns the status of its answer, 0 for none.
func (w *worker) call(method string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+w.daemon.control+"/berylpass/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// beat sends heartbeats until the worker stops them.
func (w *worker) beat() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.beats.Go(func() {
		for {
			w.call(http.MethodPut, w.heartbeat())
			select {
			case <-ctx.Done():
				return
			case <-time.After(heartbeatInterval):
			}
		}
	})
}

// stopBeats ends the heartbeats.
func (w *worker) stopBeats() {
	if w.stop != nil {
		w.stop()
		w.beats.Wait()
		w.stop = nil
	}
}

// drain reports draining and returns whether that was acknowledged.
func (w *worker) drain() bool {
	w.stopBeats()
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	status := w.call(http.MethodPut, w.heartbeat())
	w.record.line("worker", "%s reports draining: %d", w.id, status)
	return status == http.StatusOK
}

// leave sends DELETE and returns whether that was acknowledged.
func (w *worker) leave() bool {
	w.stopBeats()
	status := w.call(http.MethodDelete, nil)
	w.record.line("worker", "%s says that it leaves: %d", w.id, status)
	return status == http.StatusOK
}

// exit ends the worker.
func (w *worker) exit() {
	w.stopBeats()
	_ = w.server.Close()
	w.record.line("worker", "%s exits", w.id)
}
