package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// rawWorker answers the requests of each connection in turn, and decides which bytes it writes.
type rawWorker struct {
	*worker
	listener net.Listener
	// write writes what goes out for the request that is the n-th on its connection, counted from 0.
	write func(c net.Conn, n int, r *http.Request)
}

// newRawWorker starts a worker whose bytes write decides. It records each request that it gets as run.
func newRawWorker(id, service, zone string, all *runs, write func(c net.Conn, n int, r *http.Request)) (*rawWorker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &rawWorker{
		worker:   &worker{id: id, service: service, zone: zone, address: l.Addr().String(), slots: 4, born: time.Now().UnixMilli(), runs: all, state: "ready"},
		listener: l, write: write,
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return w, nil
}

func (w *rawWorker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		digest := sha256.Sum256(body)
		w.runs.add(run{
			worker: w.id, attempt: r.Header.Get("X-Berylpass-Attempt-Id"), method: r.Method, target: r.RequestURI,
			tenant: r.Header.Get("X-Berylpass-Tenant-Id"), caller: r.Header.Get("X-Berylpass-Caller-Service"),
			digest: fmt.Sprintf("%x", digest[:8]), at: time.Now(),
		})
		w.write(c, n, r)
	}
}

// answerTo writes the worker's own answer to a request.
func (w *rawWorker) answerTo(c net.Conn, r *http.Request) {
	attempt := r.Header.Get("X-Berylpass-Attempt-Id")
	body := "answer to " + attempt
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Berylpass-Attempt-Id: %s\r\nX-Berylpass-Server-Stamp: stamp-%s\r\nX-Berylpass-Server-Load: 1,0,4\r\nContent-Length: %d\r\n\r\n%s",
		attempt, w.id, len(body), body)
}
