package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in of the application worker beside a daemon.
type worker struct {
	id, service string
	slots       int
	machine     *machine
	record      *record
	address     string
	born        int64
	sequence    atomic.Int64
	running     atomic.Int64
	runs        atomic.Int64
	// serve answers one request that the worker runs; nil for a plain 200.
	// work is how long a request takes.
	work  time.Duration
	serve func(c net.Conn, r *http.Request, body []byte) (keep bool)

	mu       sync.Mutex
	beating  bool
	observed []string
}

func newWorker(id string, m *machine, r *record) *worker {
	l, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		fatal(err)
	}
	w := &worker{id: id, service: m.service, slots: 4, machine: m, record: r, address: l.Addr().String(), born: time.Now().UnixMilli(), beating: true}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.connection(c)
		}
	}()
	return w
}

func (w *worker) connection(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Berylpass-Attempt-Id")
		expect := r.Header.Get("X-Berylpass-Expect-Instance")
		if r.URL.Path == "/health" && r.Method == http.MethodGet && id == "" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Berylpass-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		}
		status := ""
		switch {
		case expect != "" && expect != w.id:
			status = "421 Misdirected Request"
		case id == "":
			status = "400 Bad Request"
		}
		if status == "" && w.running.Add(1) > int64(w.slots) {
			w.running.Add(-1)
			status = "503 Service Unavailable"
		}
		if status != "" {
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Berylpass-Not-Executed: 1\r\nX-Berylpass-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", status, id)
			continue
		}
		w.runs.Add(1)
		theRecord.log("run %s on %s: %s %s, body of %d bytes", id, w.id, r.Method, r.RequestURI, len(body))
		keep := true
		if w.serve != nil {
			keep = w.serve(c, r, body)
		} else {
			time.Sleep(w.work)
			keep = w.answer(c, r, []byte("ok "+w.id+"\n"))
		}
		w.running.Add(-1)
		if !keep {
			return
		}
	}
}

// answer is a worker's whole answer.
func (w *worker) answer(c net.Conn, r *http.Request, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nX-Berylpass-Attempt-Id: %s\r\nX-Berylpass-Server-Stamp: stamp-%s\r\nX-Berylpass-Server-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n",
		r.Header.Get("X-Berylpass-Attempt-Id"), w.id, w.running.Load(), w.slots, len(body))
	if r.Method != http.MethodHead {
		b.Write(body)
	}
	_, err := c.Write(b.Bytes())
	return err == nil
}

// message returns the body of a heartbeat.
func (w *worker) message(state string, cold string) []byte {
	text, _ := json.Marshal(map[string]any{
		"address": w.address, "born": w.born,
		"info":   map[string]any{"service": w.service, "version": "v1", "zone": w.machine.zone, "slots": w.slots},
		"status": map[string]any{"state": state, "sequence": w.sequence.Add(1), "cold_left": cold},
	})
	return text
}

// send sends a heartbeat or a departure to the daemon on the worker's machine and returns the status, 0 for no answer.
func (w *worker) send(method string, body []byte) int {
	request, err := http.NewRequest(method, "http://"+w.machine.address("control")+"/berylpass/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	status := 0
	if r, err := client.Do(request); err == nil {
		_ = r.Body.Close()
		status = r.StatusCode
	}
	theRecord.log("%s at %s sends %s %s; answered %d", w.id, w.machine.name, method, body, status)
	return status
}

// beat sends a heartbeat every 1500 ms until stopBeating.
func (w *worker) beat() {
	for {
		w.mu.Lock()
		beating := w.beating
		w.mu.Unlock()
		if !beating {
			return
		}
		w.send(http.MethodPut, w.message("ready", "0ms"))
		time.Sleep(1500 * time.Millisecond)
	}
}

func (w *worker) stopBeating() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beating = false
}
