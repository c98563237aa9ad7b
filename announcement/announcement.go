// Package announcement is the port on which the backend servers of a VM make
// themselves known to the daemon beside them, over HTTP on loopback:
//
//	PUT    /backends/{id}        {"service": "rounds", "address": "127.0.0.1:9001", "slots": 4, "incarnation": 1}
//	POST   /backends/{id}/load   {"busy": 2, "slots": 4, "shedding": false}
//	POST   /backends/{id}/drain
//	DELETE /backends/{id}
//
// A backend server repeats its announcement or its load report at least every
// SilenceLimit, or it is taken as gone. An announcement with a higher incarnation
// means a restart. Answers are 204, or 400 and 404 with a JSON body that names
// the mistake and what is allowed.
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

// SilenceLimit is the time without a word after which a backend server is taken as gone.
const SilenceLimit = 10 * time.Second

// Bounds of an announcement.
const (
	maxBody  = 16 << 10
	maxSlots = 10_000
)

// ErrInvalid reports an announcement that breaks a rule; the text names the field and what is allowed.
var ErrInvalid = errors.New("invalid announcement")

// ErrUnknown reports a backend server that has not announced itself.
var ErrUnknown = errors.New("backend server has not announced itself")

var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Load is a backend server's report of its own load.
type Load struct {
	Busy     int  `json:"busy"`
	Slots    int  `json:"slots"`
	Shedding bool `json:"shedding"`
}

// Registry receives what backend servers say. Its errors are ErrInvalid and ErrUnknown.
type Registry interface {
	Announce(b backend.Backend) error
	Report(id backend.ID, load Load) error
	DrainBackend(id backend.ID) error
	Remove(id backend.ID) error
}

// Announcement serves the port.
type Announcement struct {
	registry Registry
	refused  func(error)
}

// Option changes how announcements are taken.
type Option func(*Announcement)

// WithRefused is called with the reason of each refused announcement.
func WithRefused(refused func(error)) Option {
	return func(a *Announcement) { a.refused = refused }
}

// New returns a handler that passes announcements on to the registry.
func New(registry Registry, options ...Option) *Announcement {
	a := &Announcement{registry: registry, refused: func(error) {}}
	for _, option := range options {
		option(a)
	}
	return a
}

type announced struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Incarnation uint64 `json:"incarnation"`
}

// ServeHTTP handles one announcement.
func (a *Announcement) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		return
	}
	err = a.handle(r.Method, r.URL.Path, body)
	if err == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	a.refused(err)
	status := http.StatusBadRequest
	if errors.Is(err, ErrUnknown) {
		status = http.StatusNotFound
	}
	refuse(w, status, err)
}

func (a *Announcement) handle(method, path string, body []byte) error {
	id, verb, err := target(path)
	if err != nil {
		return err
	}
	switch method + " " + verb {
	case "PUT ":
		return a.announce(id, body)
	case "POST load":
		return a.report(id, body)
	case "POST drain":
		return a.registry.DrainBackend(id)
	case "DELETE ":
		return a.registry.Remove(id)
	}
	return fmt.Errorf("%w: %s %s; allowed are PUT and DELETE /backends/{id}, POST /backends/{id}/load and /drain", ErrInvalid, method, path)
}

func (a *Announcement) announce(id backend.ID, body []byte) error {
	var m announced
	if err := decode(body, &m); err != nil {
		return err
	}
	host, _, err := net.SplitHostPort(m.Address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%w: address %q; allowed is a loopback IP number with a port", ErrInvalid, m.Address)
	}
	if !idPattern.MatchString(m.Service) {
		return fmt.Errorf("%w: service %q; allowed are up to 63 of a-z, 0-9, dot and dash", ErrInvalid, m.Service)
	}
	if m.Slots < 0 || m.Slots > maxSlots {
		return fmt.Errorf("%w: slots %d; allowed are 0 (the service's default) to %d", ErrInvalid, m.Slots, maxSlots)
	}
	return a.registry.Announce(backend.New(id, m.Service, "").
		WithAddress(m.Address).
		WithSlots(m.Slots).
		WithIncarnation(m.Incarnation))
}

func (a *Announcement) report(id backend.ID, body []byte) error {
	var load Load
	if err := decode(body, &load); err != nil {
		return err
	}
	if load.Busy < 0 || load.Slots < 0 || load.Slots > maxSlots {
		return fmt.Errorf("%w: busy and slots; allowed are 0 to %d", ErrInvalid, maxSlots)
	}
	return a.registry.Report(id, load)
}

func target(path string) (backend.ID, string, error) {
	rest, ok := strings.CutPrefix(path, "/backends/")
	id, verb, _ := strings.Cut(rest, "/")
	if !ok || !idPattern.MatchString(id) {
		return "", "", fmt.Errorf("%w: path %q; allowed is /backends/{id}, the id up to 63 of a-z, 0-9, dot and dash", ErrInvalid, path)
	}
	return backend.ID(id), verb, nil
}

func decode(body []byte, into any) error {
	if len(body) > maxBody {
		return fmt.Errorf("%w: body over %d bytes", ErrInvalid, maxBody)
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}

func refuse(w http.ResponseWriter, status int, err error) {
	body, _ := json.Marshal(map[string]string{"error": err.Error()})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
