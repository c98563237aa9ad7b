// Package announcement serves the port on which the backend servers of a VM register
// with the VM's daemon, by HTTP on loopback:
//
//	PUT    /backends/{id}        {"service": "rounds", "address": "127.0.0.1:9001", "slots": 4, "incarnation": 1}
//	POST   /backends/{id}/load   {"busy": 2, "slots": 4, "shedding": false}
//	POST   /backends/{id}/drain
//	DELETE /backends/{id}
//
// A backend server must repeat its announcement or its load report at least every
// SilenceLimit, or it counts as gone. An announcement with a higher incarnation
// means that it has restarted. The answer is 204, or 400 or 404 with a JSON body
// that names the mistake and what is allowed.
//
// # Usage
//
//	port, err := listener.New("127.0.0.1:7004", announcement.New(guard))
package announcement

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"time"

	"berylpass/fleet/backend"
)

// SilenceLimit is the time without an announcement or a load report after which a
// backend server counts as gone.
const SilenceLimit = 10 * time.Second

// The bounds of a request.
const (
	maxBodyBytes = 16 << 10
	maxSlots     = 10_000
)

// ErrInvalid is wrapped by the errors of invalid requests. Their texts name the field and
// what is allowed.
var ErrInvalid = errors.New("invalid announcement")

// ErrUnknown is the error of a request from a backend server that has not announced itself.
var ErrUnknown = errors.New("backend server has not announced itself")

// idPattern matches the IDs of backend servers and the names of services.
var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Load is a backend server's report of its own load.
type Load struct {
	// Busy is the number of requests that run.
	Busy int `json:"busy"`
	// Slots is the number of requests that may run at once.
	Slots    int  `json:"slots"`
	Shedding bool `json:"shedding"`
}

// Registry keeps the backend servers of a VM. Its errors wrap ErrInvalid or ErrUnknown.
type Registry interface {
	// Announce adds a backend server or replaces what is known of it.
	Announce(b backend.Backend) error
	// ReportLoad takes a load report, which also counts as a sign of life.
	ReportLoad(id backend.ID, load Load) error
	// DrainBackend stops new work for a backend server.
	DrainBackend(id backend.ID) error
	// Remove removes a backend server.
	Remove(id backend.ID) error
}

// Handler is the HTTP handler of the port.
type Handler struct {
	registry  Registry
	onRefused func(error)
}

// Option changes a Handler that New makes.
type Option func(*Handler)

// WithOnRefused sets a function that is called with the error of each refused request.
func WithOnRefused(onRefused func(error)) Option {
	return func(a *Handler) { a.onRefused = onRefused }
}

// New returns a handler that passes valid requests to the registry.
func New(registry Registry, options ...Option) *Handler {
	a := &Handler{registry: registry, onRefused: func(error) {}}
	for _, option := range options {
		option(a)
	}
	return a
}

// announceBody is the body of a PUT request.
type announceBody struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Incarnation uint64 `json:"incarnation"`
}

// ServeHTTP handles one request of a backend server.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return
	}
	err = h.handle(r.Method, r.URL.Path, body)
	if err == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	h.onRefused(err)
	status := http.StatusBadRequest
	if errors.Is(err, ErrUnknown) {
		status = http.StatusNotFound
	}
	writeError(w, status, err)
}

// handle passes one request to the registry. Its errors wrap ErrInvalid or ErrUnknown.
func (h *Handler) handle(method, path string, body []byte) error {
	id, verb, err := parsePath(path)
	if err != nil {
		return err
	}
	switch method + " " + verb {
	case "PUT ":
		return h.announce(id, body)
	case "POST load":
		return h.report(id, body)
	case "POST drain":
		return h.registry.DrainBackend(id)
	case "DELETE ":
		return h.registry.Remove(id)
	}
	return fmt.Errorf("%w: %s %s; allowed are PUT and DELETE /backends/{id}, POST /backends/{id}/load and /drain", ErrInvalid, method, path)
}

func (h *Handler) announce(id backend.ID, body []byte) error {
	var m announceBody
	if err := decode(body, &m); err != nil {
		return err
	}
	host, _, err := net.SplitHostPort(m.Address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%w: address %q; allowed is a loopback IP address with a port", ErrInvalid, m.Address)
	}
	if !idPattern.MatchString(m.Service) {
		return fmt.Errorf("%w: service %q; allowed are up to 63 of a-z, 0-9, dot and dash", ErrInvalid, m.Service)
	}
	if m.Slots < 0 || m.Slots > maxSlots {
		return fmt.Errorf("%w: slots %d; allowed are 0 (the service's default) to %d", ErrInvalid, m.Slots, maxSlots)
	}
	return h.registry.Announce(backend.New(id, m.Service, "").
		WithAddress(m.Address).
		WithSlots(m.Slots).
		WithIncarnation(m.Incarnation))
}

func (h *Handler) report(id backend.ID, body []byte) error {
	var load Load
	if err := decode(body, &load); err != nil {
		return err
	}
	if load.Busy < 0 || load.Slots < 0 || load.Slots > maxSlots {
		return fmt.Errorf("%w: busy or slots out of range; allowed are busy from 0 and slots from 0 to %d", ErrInvalid, maxSlots)
	}
	return h.registry.ReportLoad(id, load)
}

// parsePath splits the path /backends/{id}/{verb} into ID and verb; the verb may be empty.
func parsePath(path string) (backend.ID, string, error) {
	rest, ok := strings.CutPrefix(path, "/backends/")
	id, verb, _ := strings.Cut(rest, "/")
	if !ok || !idPattern.MatchString(id) {
		return "", "", fmt.Errorf("%w: path %q; allowed is /backends/{id}, the id up to 63 of a-z, 0-9, dot and dash", ErrInvalid, path)
	}
	return backend.ID(id), verb, nil
}

// decode decodes a JSON body into v and refuses unknown fields.
func decode(body []byte, v any) error {
	if len(body) > maxBodyBytes {
		return fmt.Errorf("%w: body larger than %d bytes", ErrInvalid, maxBodyBytes)
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}

// writeError answers with the status and the error's text as JSON.
func writeError(w http.ResponseWriter, status int, err error) {
	body, _ := json.Marshal(map[string]string{"error": err.Error()})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
