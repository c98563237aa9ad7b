package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is a small stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []change
}

// change is an event of a watch.
type change struct {
	revision uint64
	kind     string
	object   object
	deleted  bool
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

func newStore() *store { return &store{revision: 10, objects: map[string]map[string]*object{}} }

// put writes an object as the operator does and returns the store's revision.
func (s *store) put(kind, name string, spec any) uint64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o == nil {
		o = &object{Metadata: metadata{Name: name, CreatedRev: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
		s.objects[kind][name] = o
	}
	o.Spec, o.Metadata.Revision = text, s.revision
	s.history = append(s.history, change{revision: s.revision, kind: kind, object: *o})
	return s.revision
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	path, ok := strings.CutPrefix(r.URL.Path, "/berylpass/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	parts := strings.Split(path, "/")
	if after := r.URL.Query().Get("watch"); after != "" {
		s.watch(w, r, parts[0], after)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := parts[0]
	switch {
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		o := s.objects[kind][parts[1]]
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, parts[1:], body)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	names := []string{}
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []*object{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": s.revision})
}

// watch answers as soon as there is a change of the kind after the revision, or after wait_ms.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, after string) {
	from, _ := strconv.ParseUint(after, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		asOf := s.revision
		s.mu.Unlock()
		if len(events) > 0 || time.Now().After(end) {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind string, rest []string, body []byte) {
	var sent object
	if len(body) > 0 {
		if err := json.Unmarshal(body, &sent); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	name := sent.Metadata.Name
	if len(rest) > 0 {
		name = rest[0]
	}
	condition := sent.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		condition, _ = strconv.ParseUint(q, 10, 64)
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && o != nil:
		reply(w, http.StatusConflict, o)
		return
	case r.Method != http.MethodPost && o == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method != http.MethodPost && condition != 0 && condition != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
		return
	}
	s.revision++
	if r.Method == http.MethodDelete {
		delete(s.objects[kind], name)
		s.history = append(s.history, change{revision: s.revision, kind: kind, object: *o, deleted: true})
		reply(w, http.StatusOK, o)
		return
	}
	if o == nil {
		o = &object{Metadata: metadata{Name: name, CreatedRev: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
		s.objects[kind][name] = o
	}
	if len(rest) > 1 {
		o.Status = sent.Status
	} else {
		o.Spec = sent.Spec
	}
	o.Metadata.Revision = s.revision
	s.history = append(s.history, change{revision: s.revision, kind: kind, object: *o})
	reply(w, http.StatusOK, o)
}

func reply(w http.ResponseWriter, status int, value any) {
	text, _ := json.Marshal(value)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// door is the address at which one machine reaches the store. It can turn the machine away with 503.
type door struct {
	store  *store
	closed atomic.Bool
	url    string
}

func (s *store) door(ip string) *door {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	d := &door{store: s, url: "http://" + l.Addr().String()}
	go func() { _ = http.Serve(l, d) }()
	return d
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.closed.Load() {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.store.ServeHTTP(w, r)
}
