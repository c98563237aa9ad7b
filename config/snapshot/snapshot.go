// Package snapshot defines one revision of the whole configuration.
//
// A snapshot is immutable: each With method returns a changed copy, and readers of the
// original aren't affected. Index builds the lookup tables that Route and KeyByDigest need;
// call it once after the last change and before sharing the snapshot.
//
// # Usage
//
//	s := snapshot.New(7).WithRoute(r).WithOrganisation(o).Index()
//	r, err := s.Route("POST", "api.example", "/renewals/12")
//	org, k, ok := s.KeyByDigest(key.DigestOf(secret))
package snapshot

import (
	"errors"
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"berylpass/config/datacentre"
	"berylpass/config/key"
	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/service"
)

var (
	// ErrNoRoute reports that no route serves the host and path.
	ErrNoRoute = errors.New("no route for this host and path")
	// ErrMethod reports that routes serve the path, but not with this method.
	ErrMethod = errors.New("method not allowed on this path")
)

// Snapshot is one revision of the configuration.
type Snapshot struct {
	// Revision increases with each release note that is published; 0 is the empty configuration.
	Revision uint64
	// Number is the operators' own number of the configuration, which rises with each change; 0 if
	// it has none.
	Number        uint64
	Organisations map[string]organisation.Organisation
	Routes        map[string]route.Route
	Services      map[string]service.Service
	Datacentres   map[string]datacentre.Datacentre
	// IdleTimeout is how long a caller's connection stays open without a request; 0 means the default.
	IdleTimeout time.Duration
	// HeadTimeout is how long a caller may take to send the head of a request; 0 means the default.
	HeadTimeout time.Duration

	index *index
}

// caller is a key and the name of the organisation that holds it.
type caller struct {
	organisation string
	key          key.Key
}

// index holds the lookup tables of KeyByDigest and Route.
type index struct {
	callers map[key.Digest]caller
	// routes is keyed by routeKey; each list is ordered by name.
	routes map[string][]route.Route
}

// New returns an empty, indexed snapshot of the given revision.
func New(revision uint64) Snapshot {
	return Snapshot{
		Revision:      revision,
		Organisations: map[string]organisation.Organisation{},
		Routes:        map[string]route.Route{},
		Services:      map[string]service.Service{},
		Datacentres:   map[string]datacentre.Datacentre{},
	}.Index()
}

// WithRevision returns a copy with another revision number.
func (s Snapshot) WithRevision(revision uint64) Snapshot {
	s.Revision = revision
	return s
}

// WithNumber returns a copy with the operators' own number.
func (s Snapshot) WithNumber(number uint64) Snapshot {
	s.Number = number
	return s
}

// WithOrganisation returns a copy with o, which replaces an organisation of the same name.
func (s Snapshot) WithOrganisation(o organisation.Organisation) Snapshot {
	s.Organisations, s.index = with(s.Organisations, o.Name, o), nil
	return s
}

// WithRoute returns a copy with r, which replaces a route of the same name.
func (s Snapshot) WithRoute(r route.Route) Snapshot {
	s.Routes, s.index = with(s.Routes, r.Name, r), nil
	return s
}

// WithService returns a copy with v, which replaces a service of the same name.
func (s Snapshot) WithService(v service.Service) Snapshot {
	s.Services, s.index = with(s.Services, v.Name, v), nil
	return s
}

// WithIdleTimeout returns a copy with d as the time for which a caller's connection stays
// open without a request.
func (s Snapshot) WithIdleTimeout(d time.Duration) Snapshot {
	s.IdleTimeout = d
	return s
}

// WithHeadTimeout returns a copy with d as the time that a caller may take to send a head.
func (s Snapshot) WithHeadTimeout(d time.Duration) Snapshot {
	s.HeadTimeout = d
	return s
}

// WithOutOfService returns a copy in which the named data centres are out of service and
// all others in service.
func (s Snapshot) WithOutOfService(names []string) Snapshot {
	s.Datacentres = maps.Clone(s.Datacentres)
	for name, d := range s.Datacentres {
		s.Datacentres[name] = d.WithInService(!slices.Contains(names, name))
	}
	return s
}

// WithDatacentre returns a copy with d, which replaces a data centre of the same name.
func (s Snapshot) WithDatacentre(d datacentre.Datacentre) Snapshot {
	s.Datacentres, s.index = with(s.Datacentres, d.Name, d), nil
	return s
}

// WithoutOrganisation returns a copy without the named organisation.
func (s Snapshot) WithoutOrganisation(name string) Snapshot {
	s.Organisations, s.index = without(s.Organisations, name), nil
	return s
}

// WithoutRoute returns a copy without the named route.
func (s Snapshot) WithoutRoute(name string) Snapshot {
	s.Routes, s.index = without(s.Routes, name), nil
	return s
}

// WithoutService returns a copy without the named service.
func (s Snapshot) WithoutService(name string) Snapshot {
	s.Services, s.index = without(s.Services, name), nil
	return s
}

// WithoutDatacentre returns a copy without the named data centre.
func (s Snapshot) WithoutDatacentre(name string) Snapshot {
	s.Datacentres, s.index = without(s.Datacentres, name), nil
	return s
}

// Index returns a copy with the lookup tables that Route and KeyByDigest use.
func (s Snapshot) Index() Snapshot {
	x := &index{callers: map[key.Digest]caller{}, routes: map[string][]route.Route{}}
	for _, o := range s.Organisations {
		for _, k := range o.Keys {
			x.callers[k.Digest] = caller{organisation: o.Name, key: k}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		r := s.Routes[name]
		indexKey := routeKey(r.Host, r.Prefix)
		x.routes[indexKey] = append(x.routes[indexKey], r)
	}
	s.index = x
	return s
}

// Route returns the route that serves a request with the given method, host and path. The path
// is the one that the caller sent, still escaped: a decoded one could match a prefix that doesn't
// begin it. Among the routes that allow the method, the longest prefix wins, and at the same
// prefix a route with a host wins over one without. The error is ErrNoRoute, or ErrMethod if
// routes match but none allows the method. Route panics on a snapshot without Index.
func (s Snapshot) Route(method, host, path string) (route.Route, error) {
	err := ErrNoRoute
	host = strings.ToLower(host)
	for prefix := range prefixes(path) {
		for _, h := range [2]string{host, ""} {
			for _, r := range s.index.routes[routeKey(h, prefix)] {
				if r.MatchesMethod(method) {
					return r, nil
				}
				err = ErrMethod
			}
		}
	}
	return route.Route{}, err
}

// prefixes returns the prefixes that serve a path, the longest first: the path itself, and at
// each of its slashes the part up to and including the slash, and the part before it.
func prefixes(path string) iter.Seq[string] {
	return func(yield func(string) bool) {
		if !strings.HasSuffix(path, "/") && !yield(path) {
			return
		}
		for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
			if !yield(path[:end+1]) || !yield(path[:end]) {
				return
			}
		}
	}
}

// KeyByDigest returns the key with the given digest and the organisation that holds it, and
// whether there is such a key. KeyByDigest panics on a snapshot without Index.
func (s Snapshot) KeyByDigest(digest key.Digest) (organisation.Organisation, key.Key, bool) {
	c, ok := s.index.callers[digest]
	if !ok {
		return organisation.Organisation{}, key.Key{}, false
	}
	return s.Organisations[c.organisation], c.key, true
}

// HasKey reports whether the organisation exists and has a key with the given ID.
func (s Snapshot) HasKey(organisationName, keyID string) bool {
	o, ok := s.Organisations[organisationName]
	if !ok {
		return false
	}
	return slices.ContainsFunc(o.Keys, func(k key.Key) bool { return k.ID == keyID })
}

// InService reports whether the data centre is known and takes new work.
func (s Snapshot) InService(datacentreName string) bool {
	return s.Datacentres[datacentreName].InService
}

// routeKey returns the key of index.routes for a host, empty for any, and a prefix.
func routeKey(host, prefix string) string { return host + "\x00" + prefix }

// with returns a copy of m in which name has the value v.
func with[V any](m map[string]V, name string, v V) map[string]V {
	m = maps.Clone(m)
	m[name] = v
	return m
}

func without[V any](m map[string]V, name string) map[string]V {
	m = maps.Clone(m)
	delete(m, name)
	return m
}
