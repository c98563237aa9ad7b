// Package chunk cuts a configuration into content-addressed pieces and puts it together again.
//
// Organisations and routes are grouped by a hash of their names into a fixed
// number of buckets, so that a change moves one chunk and the rest stay where
// they are, in the store and in every daemon. The encoding is deterministic:
// the same configuration always yields the same chunks.
//
// # Usage
//
//	chunks, err := chunk.Split(s)
//	for _, c := range chunks { put("config/chunk/"+c.Digest().String(), c.Value) }
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

// MaxSize is the largest chunk in bytes, half of what the store holds in a value.
const MaxSize = 512 << 10

var (
	// ErrTooLarge reports a chunk over MaxSize.
	ErrTooLarge = errors.New("configuration chunk is too large")
	// ErrMalformed reports bytes that are no chunk, or not the one that was named.
	ErrMalformed = errors.New("malformed configuration chunk")
)

// Chunk is a part of a configuration.
type Chunk struct {
	// Kind is one of Kinds.
	Kind string
	// Bucket counts from 0 and is below Buckets(Kind).
	Bucket int
	Value  []byte
}

// Kinds returns the kinds of chunks, in the order of Split.
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

// New returns a chunk with a value that came from outside.
func New(kind string, bucket int, value []byte) Chunk {
	return Chunk{Kind: kind, Bucket: bucket, Value: value}
}

// Split cuts a configuration into its chunks, without the empty ones. Its error is ErrTooLarge.
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
				return nil, fmt.Errorf("%w: bucket %d of kind %s has %d bytes, allowed are %d", ErrTooLarge, bucket, kind, len(value), MaxSize)
			}
			chunks = append(chunks, New(kind, bucket, value))
		}
	}
	return chunks, nil
}

// Join puts a configuration together. Its errors are ErrTooLarge and ErrMalformed.
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

func bucketOf(kind, name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(Buckets(kind)))
}
