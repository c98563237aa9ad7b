package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// result is what a client saw of one request.
type result struct {
	id     string
	status int
	stamp  string
	body   []byte
	err    error
	took   time.Duration
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// clients are the clients on one machine; they keep connections.
type clients struct {
	machine *machine
	http    *http.Client
}

func newClients(m *machine) *clients {
	dialer := net.Dialer{Timeout: time.Second}
	return &clients{machine: m, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 10 * time.Second,
	}}}
}

// do sends one request, once, and records what was sent and answered.
func (c *clients) do(method, path, key string, deadline time.Duration, body []byte) result {
	out := result{id: newID()}
	theRecord.log("sent %s %s %s, body of %d bytes, to %s", out.id, method, path, len(body), c.machine.name)
	c.send(&out, method, path, key, deadline, body)
	if out.err != nil {
		theRecord.log("no answer to %s after %v: %v", out.id, out.took.Round(time.Millisecond), out.err)
	} else {
		theRecord.log("answered %s: status %d, stamp %q, body of %d bytes, after %v", out.id, out.status, out.stamp, len(out.body), out.took.Round(time.Millisecond))
	}
	return out
}

func (c *clients) send(out *result, method, path, key string, deadline time.Duration, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.machine.address("outbound")+path, reader)
	if err != nil {
		out.err = err
		return
	}
	request.GetBody = nil
	request.Host = "app.example"
	request.Header.Set("X-Berylpass-Attempt-Id", out.id)
	request.Header.Set("X-Berylpass-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	start := time.Now()
	r, err := c.http.Do(request)
	if err != nil {
		out.err, out.took = err, time.Since(start)
		return
	}
	defer r.Body.Close()
	out.status, out.stamp = r.StatusCode, r.Header.Get("X-Berylpass-Server-Stamp")
	out.body, out.err = io.ReadAll(r.Body)
	out.took = time.Since(start)
}

// theKey is the key of the only tenant.
const theKey = "3fexd9dnn2ctnfzs989a"

// configuration is a configuration like that of a small site.
func configuration(version string) map[string]any {
	route := func(prefix, kind, service, timeout string, attempts int) map[string]any {
		return map[string]any{"host": "app.example", "path_prefix": prefix, "kind": kind, "timeout": timeout,
			"target_latency": "800ms", "priority": 1, "service": service, "max_attempts": attempts, "auth_exempt": false}
	}
	service := map[string]any{"health_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false, "cold_start": "3s", "cold_per_s": 12.0}
	return map[string]any{
		"version": version,
		"routes": map[string]any{
			"r-safe": route("/lookup/", "safe", "rounds", "1200ms", 2), "r-unsafe": route("/book/", "unsafe", "rounds", "1500ms", 2),
			"r-upload": route("/survey/", "upload", "rounds", "3000ms", 2),
		},
		"services": map[string]any{"rounds": service},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"tenants":  map[string]any{"tenant-1": map[string]any{"api_keys": []string{theKey}, "rate_per_s": 0, "burst": 0, "priority": 1}},
	}
}
