package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision,omitempty"`
	CreatedRev uint64   `json:"created_rev,omitempty"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	revision uint64
	kind     string
	object   object
	deleted  bool
}

// store is a stand-in of the platform's metadata store, after PROTOCOL.md: linearizable, with one
// revision counter, conditional writes, lists and watches.
type store struct {
	address string
	server  *http.Server
	// down makes the store answer 503 to the daemons: nothing is done then.
	down atomic.Bool

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
}

const objectsPath = "/berylpass/objects/"

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if s.down.Load() || err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		answer(w, ok, http.StatusNotFound, o)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		var o object
		if json.Unmarshal(body, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.write(w, kind, name, o, r.Method == http.MethodPost, len(parts) > 2)
	case r.Method == http.MethodDelete:
		revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
		s.remove(w, kind, name, revision)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func answer(w http.ResponseWriter, ok bool, otherwise int, body any) {
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(otherwise)
		if otherwise == http.StatusNotFound {
			return
		}
	}
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(w, true, 0, map[string]any{"items": items, "has_more": false, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				over = true
			}
		}
		if over || len(events) > 0 {
			answer(w, true, 0, map[string]any{"events": events, "as_of": asOf})
			return
		}
	}
}

// record makes a change and wakes the watches. The caller holds mu.
func (s *store) record(kind string, o object, deleted bool) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.history = append(s.history, change{revision: s.revision, kind: kind, object: o, deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (s *store) write(w http.ResponseWriter, kind, name string, o object, create, status bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if create {
		name = o.Metadata.Name
	}
	found, ok := s.objects[kind][name]
	switch {
	case create && ok:
		answer(w, false, http.StatusConflict, found)
		return
	case !create && !ok:
		w.WriteHeader(http.StatusNotFound)
		return
	case !create && o.Metadata.Revision != 0 && o.Metadata.Revision != found.Metadata.Revision:
		answer(w, false, http.StatusConflict, found)
		return
	}
	next := object{Metadata: metadata{Name: name, CreatedRev: found.Metadata.CreatedRev, Finalizers: o.Metadata.Finalizers}, Spec: o.Spec, Status: found.Status}
	if status {
		next.Spec, next.Status = found.Spec, o.Status
	}
	if create {
		next.Metadata.CreatedRev = s.revision + 1
	}
	answer(w, true, 0, s.record(kind, next, false))
}

func (s *store) remove(w http.ResponseWriter, kind, name string, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.objects[kind][name]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case revision != 0 && revision != found.Metadata.Revision:
		answer(w, false, http.StatusConflict, found)
	default:
		answer(w, true, 0, s.record(kind, found, true))
	}
}

// put writes an object as the operator does.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(kind, object{Metadata: metadata{Name: name, Finalizers: []string{}}, Spec: text}, false)
}
