package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"berylpass/platform/standin"
	"berylpass/store/memory"
)

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// object is a JSON object.
type object = map[string]any

// store is the platform's store, served by the project's own stand-in, and its operator.
type store struct {
	record   *record
	server   *standin.Server
	revision float64
}

func newStore(r *record) (*store, error) {
	s, err := standin.New(loopback(200, 1) + ":0")
	if err != nil {
		return nil, err
	}
	s.Store().SetFaults(memory.Faults{Delay: storeLatency})
	return &store{record: r, server: s}, nil
}

func (s *store) address() string { return s.server.Address() }

// setDown makes every call get 503, or ends that.
func (s *store) setDown(down bool) {
	s.server.Store().SetFaults(memory.Faults{Delay: storeLatency, Unavailable: down})
	s.record.line("store", "down: %t", down)
}

// configure writes a configuration as the operator does. It returns once the store has acknowledged it.
func (s *store) configure(spec object) error {
	metadata := object{"name": "main", "finalizers": []string{}}
	method, path := http.MethodPost, "/berylpass/objects/config"
	if s.revision > 0 {
		metadata["revision"] = s.revision
		method, path = http.MethodPut, path+"/main"
	}
	body, err := json.Marshal(object{"metadata": metadata, "spec": spec})
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, "http://"+s.address()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("the store answers %d to the configuration: %s", answer.StatusCode, text)
	}
	var stored struct {
		Metadata struct {
			Revision float64 `json:"revision"`
		} `json:"metadata"`
	}
	if err := json.Unmarshal(text, &stored); err != nil {
		return err
	}
	s.revision = stored.Metadata.Revision
	s.record.line("operator", "configuration %v acknowledged", spec["version"])
	return nil
}

// configurationOf returns a configuration with the routes, the services they go to, and one tenant.
func configurationOf(version int, routes object, services ...string) object {
	listed := object{}
	for _, name := range services {
		listed[name] = object{"health_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false, "cold_start": "3s", "cold_per_s": 12.0}
	}
	return object{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": listed,
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"tenants": object{tenant: object{"api_keys": []string{apiKey}, "priority": 1, "rate_per_s": 200, "burst": 200}},
	}
}

// routeTo returns a route to a service.
func routeTo(service, prefix, kind string, timeout time.Duration) object {
	return object{
		"host": host, "path_prefix": prefix, "kind": kind, "timeout": fmt.Sprintf("%dms", timeout.Milliseconds()),
		"target_latency": "800ms", "priority": 1, "service": service, "max_attempts": 2, "auth_exempt": false,
	}
}

// What the clients of all scenarios use.
const (
	host   = "kretowisko.example"
	tenant = "parafia"
	apiKey = "3fexd9dnn2ctnfzs989a"
)
