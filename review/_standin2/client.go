package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// sent is one request of a client and its answer.
type sent struct {
	id, target string
	at         time.Time
	// status is that of the answer, 0 if the connection ended without a complete one.
	status int
	body   string
	stamp  string
}

// send sends one request on a connection of its own to a daemon and waits for the answer. The target is sent as it is.
func send(r *record, d *daemon, method, target string) sent {
	s := sent{id: fmt.Sprintf("%016x", lastRequest.Add(1)), target: target, at: time.Now()}
	defer func() { r.line("client", "%s %s %s at %s: %d %q", s.id, method, target, d.name, s.status, s.body) }()
	c, err := net.DialTimeout("tcp", d.outbound, time.Second)
	if err != nil {
		return s
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: 0\r\n"
	}
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Berylpass-Attempt-Id: %s\r\nX-Berylpass-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\n%s\r\n",
		method, target, host, s.id, apiKey, length)
	if err != nil {
		return s
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return s
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return s
	}
	s.status, s.body, s.stamp = answer.StatusCode, string(body), answer.Header.Get("X-Berylpass-Server-Stamp")
	return s
}
