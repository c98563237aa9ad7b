package chunk

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"berylpass/config/class"
	"berylpass/config/datacentre"
	"berylpass/config/key"
	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/rules"
	"berylpass/config/service"
	"berylpass/config/snapshot"
)

// Short names of the types of items.
type (
	organisationValue = organisation.Organisation
	routeValue        = route.Route
	serviceValue      = service.Service
	datacentreValue   = datacentre.Datacentre
)

// items is the JSON form of a chunk's value. Only the list of the chunk's kind is not empty.
type items struct {
	Datacentres   []datacentreJSON   `json:"datacentres,omitempty"`
	Services      []serviceJSON      `json:"services,omitempty"`
	Routes        []routeJSON        `json:"routes,omitempty"`
	Organisations []organisationJSON `json:"organisations,omitempty"`
}

type datacentreJSON struct {
	Name      string `json:"name"`
	Region    string `json:"region"`
	InService bool   `json:"in-service"`
}

type serviceJSON struct {
	Name  string  `json:"name"`
	Floor float64 `json:"floor"`
	Ramp  string  `json:"ramp"`
	Slots int     `json:"slots"`
}

type routeJSON struct {
	Name       string   `json:"name"`
	Service    string   `json:"service"`
	Host       string   `json:"host,omitempty"`
	Prefix     string   `json:"prefix"`
	Methods    []string `json:"methods,omitempty"`
	Repeatable bool     `json:"repeatable,omitempty"`
	Open       bool     `json:"open,omitempty"`
	Class      string   `json:"class"`
	Deadline   string   `json:"deadline"`
	Objective  float64  `json:"objective,omitempty"`
}

type organisationJSON struct {
	Name  string    `json:"name"`
	Rate  float64   `json:"rate"`
	Burst int       `json:"burst"`
	Keys  []keyJSON `json:"keys,omitempty"`
}

type keyJSON struct {
	ID     string `json:"id"`
	Digest string `json:"digest"`
}

func (i items) empty() bool {
	return len(i.Datacentres)+len(i.Services)+len(i.Routes)+len(i.Organisations) == 0
}

// sortIntoBuckets returns the items of a kind, indexed by bucket; each list is ordered by name.
func sortIntoBuckets(kind string, s snapshot.Snapshot) []items {
	buckets := make([]items, Buckets(kind))
	switch kind {
	case rules.Datacentre:
		for _, name := range slices.Sorted(maps.Keys(s.Datacentres)) {
			b := &buckets[bucketOf(kind, name)]
			b.Datacentres = append(b.Datacentres, encodeDatacentre(s.Datacentres[name]))
		}
	case rules.Service:
		for _, name := range slices.Sorted(maps.Keys(s.Services)) {
			b := &buckets[bucketOf(kind, name)]
			b.Services = append(b.Services, encodeService(s.Services[name]))
		}
	case rules.Route:
		for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
			b := &buckets[bucketOf(kind, name)]
			b.Routes = append(b.Routes, encodeRoute(s.Routes[name]))
		}
	case rules.Organisation:
		for _, name := range slices.Sorted(maps.Keys(s.Organisations)) {
			b := &buckets[bucketOf(kind, name)]
			b.Organisations = append(b.Organisations, encodeOrganisation(s.Organisations[name]))
		}
	}
	return buckets
}

func encodeDatacentre(d datacentre.Datacentre) datacentreJSON {
	return datacentreJSON{Name: d.Name, Region: d.Region, InService: d.InService}
}

func encodeService(v service.Service) serviceJSON {
	return serviceJSON{Name: v.Name, Floor: v.Floor, Ramp: v.Ramp.String(), Slots: v.Slots}
}

func encodeRoute(r route.Route) routeJSON {
	return routeJSON{
		Name: r.Name, Service: r.Service, Host: r.Host, Prefix: r.Prefix, Methods: r.Methods,
		Repeatable: r.Repeatable, Open: r.Open, Class: r.Class.String(),
		Deadline: r.Deadline.String(), Objective: r.Objective,
	}
}

func encodeOrganisation(o organisation.Organisation) organisationJSON {
	encoded := organisationJSON{Name: o.Name, Rate: o.Rate, Burst: o.Burst}
	for _, k := range o.Keys {
		encoded.Keys = append(encoded.Keys, keyJSON{ID: k.ID, Digest: hex.EncodeToString(k.Digest[:])})
	}
	return encoded
}

// addTo decodes the chunk's items and adds them to the maps of s. Its error wraps
// ErrTooLarge or ErrMalformed.
func (c Chunk) addTo(s snapshot.Snapshot) error {
	if len(c.Value) > MaxSize {
		return fmt.Errorf("%w: %d bytes, allowed are at most %d bytes", ErrTooLarge, len(c.Value), MaxSize)
	}
	if c.Bucket < 0 || c.Bucket >= Buckets(c.Kind) {
		return fmt.Errorf("%w: no bucket %d of kind %q", ErrMalformed, c.Bucket, c.Kind)
	}
	var list items
	d := json.NewDecoder(bytes.NewReader(c.Value))
	d.DisallowUnknownFields()
	if err := d.Decode(&list); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("%w: bytes after the value", ErrMalformed)
	}
	for _, v := range list.Datacentres {
		decoded := datacentre.New(v.Name, v.Region).WithInService(v.InService)
		if err := putItem(c, rules.Datacentre, s.Datacentres, v.Name, decoded); err != nil {
			return err
		}
	}
	for _, v := range list.Services {
		if err := addService(c, s, v); err != nil {
			return err
		}
	}
	for _, v := range list.Routes {
		if err := addRoute(c, s, v); err != nil {
			return err
		}
	}
	for _, v := range list.Organisations {
		if err := addOrganisation(c, s, v); err != nil {
			return err
		}
	}
	return nil
}

func addService(c Chunk, s snapshot.Snapshot, v serviceJSON) error {
	ramp, err := time.ParseDuration(v.Ramp)
	if err != nil {
		return fmt.Errorf("%w: service %q: %w", ErrMalformed, v.Name, err)
	}
	decoded := service.New(v.Name).WithFloor(v.Floor).WithRamp(ramp).WithSlots(v.Slots)
	return putItem(c, rules.Service, s.Services, v.Name, decoded)
}

func addRoute(c Chunk, s snapshot.Snapshot, v routeJSON) error {
	parsedClass, err := class.Parse(v.Class)
	if err != nil {
		return fmt.Errorf("%w: route %q: %w", ErrMalformed, v.Name, err)
	}
	deadline, err := time.ParseDuration(v.Deadline)
	if err != nil {
		return fmt.Errorf("%w: route %q: %w", ErrMalformed, v.Name, err)
	}
	decoded := route.New(v.Name, v.Service).WithMatch(v.Host, v.Prefix, v.Methods...).
		WithRepeatable(v.Repeatable).WithOpen(v.Open).WithClass(parsedClass).
		WithDeadline(deadline).WithObjective(v.Objective)
	return putItem(c, rules.Route, s.Routes, v.Name, decoded)
}

func addOrganisation(c Chunk, s snapshot.Snapshot, v organisationJSON) error {
	decoded := organisation.New(v.Name).WithLimit(v.Rate, v.Burst)
	for _, k := range v.Keys {
		raw, err := hex.DecodeString(k.Digest)
		if err != nil || len(raw) != len(key.Digest{}) {
			return fmt.Errorf("%w: key %q of organisation %q: invalid digest", ErrMalformed, k.ID, v.Name)
		}
		decoded.Keys = append(decoded.Keys, key.New(k.ID, key.Digest(raw)))
	}
	return putItem(c, rules.Organisation, s.Organisations, v.Name, decoded)
}

// putItem adds an item to m. Its error wraps ErrMalformed if the item belongs to a chunk of
// another kind or bucket, or m holds an item of that name already.
func putItem[V any](c Chunk, kind string, m map[string]V, name string, v V) error {
	if c.Kind != kind || bucketOf(kind, name) != c.Bucket {
		return fmt.Errorf("%w: %s %q is in bucket %d of kind %q", ErrMalformed, kind, name, c.Bucket, c.Kind)
	}
	if _, ok := m[name]; ok {
		return fmt.Errorf("%w: %s %q occurs twice", ErrMalformed, kind, name)
	}
	m[name] = v
	return nil
}
