// Package chunk splits a configuration into content-addressed chunks and joins them again.
//
// The items of a kind, for example all routes, are distributed by a hash of their names to
// a fixed number of buckets, so that a change of one item changes one chunk. The other
// chunks needn't be transferred again, neither to the store nor to any daemon. The
// encoding is deterministic: the same configuration always yields the same chunks.
//
// # Usage
//
//	chunks, err := chunk.Split(s)
//	for _, c := range chunks { put(chunk.Key(c.Digest()), c.Value) }
//	s, err = chunk.Join(revision, chunks)
package chunk

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"

	"berylpass/config/rules"
	"berylpass/config/snapshot"
)

// MaxSize is the largest size of a chunk's value in bytes. It is below object.MaxValue, the
// largest value that the store accepts.
const MaxSize = 512 << 10

var (
	// ErrTooLarge reports a chunk over MaxSize.
	ErrTooLarge = errors.New("configuration chunk is too large")
	// ErrMalformed reports bytes that are not a chunk of the given kind and bucket.
	ErrMalformed = errors.New("malformed configuration chunk")
)

// Chunk holds the items of a configuration of one kind that belong to one bucket.
type Chunk struct {
	// Kind is one of Kinds.
	Kind string
	// Bucket is at least 0 and below Buckets(Kind).
	Bucket int
	// Value holds the items in JSON.
	Value []byte
}

// Kinds returns the kinds of chunks, in the order in which Split returns them.
func Kinds() []string {
	return []string{rules.Datacentre, rules.Service, rules.Route, rules.Organisation}
}

// Buckets returns the number of buckets of a kind, 0 for an unknown kind.
func Buckets(kind string) int {
	switch kind {
	case rules.Organisation:
		return 256
	case rules.Route:
		return 64
	case rules.Service:
		return 4
	case rules.Datacentre:
		return 1
	}
	return 0
}

// New returns a chunk with the given value. It doesn't check the value; Join does.
func New(kind string, bucket int, value []byte) Chunk {
	return Chunk{Kind: kind, Bucket: bucket, Value: value}
}

// Split returns the chunks of a configuration, without the empty ones, ordered by kind and
// bucket. Its error wraps ErrTooLarge if a chunk is too large.
func Split(s snapshot.Snapshot) ([]Chunk, error) {
	var chunks []Chunk
	for _, kind := range Kinds() {
		for bucket, items := range sortIntoBuckets(kind, s) {
			if items.empty() {
				continue
			}
			value, err := json.Marshal(items)
			if err != nil {
				return nil, err
			}
			if len(value) > MaxSize {
				return nil, fmt.Errorf("%w: bucket %d of kind %q has %d bytes, allowed are at most %d bytes", ErrTooLarge, bucket, kind, len(value), MaxSize)
			}
			chunks = append(chunks, New(kind, bucket, value))
		}
	}
	return chunks, nil
}

// Join returns the configuration that the chunks hold. Its error wraps ErrTooLarge or
// ErrMalformed.
func Join(revision uint64, chunks []Chunk) (snapshot.Snapshot, error) {
	s := snapshot.Snapshot{
		Revision:      revision,
		Organisations: map[string]organisationValue{},
		Routes:        map[string]routeValue{},
		Services:      map[string]serviceValue{},
		Datacentres:   map[string]datacentreValue{},
	}
	for _, c := range chunks {
		if err := c.addTo(s); err != nil {
			return snapshot.Snapshot{}, err
		}
	}
	return s.Index(), nil
}

// bucketOf returns the bucket of an item by the FNV-1a hash of its name.
func bucketOf(kind, name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(Buckets(kind)))
}
