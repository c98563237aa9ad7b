// Package manifest describes one revision of the configuration by the digests of its chunks.
//
// The digest of a manifest covers the revision number, the manifest that the revision was
// made on, the text of the release note and every chunk, so one signature covers them all.
//
// # Usage
//
//	m, chunks, err := manifest.New(s, base.Digest(), noteText)
//	signed := signature.Sign("ola", private, m.Digest())
//	parsed, err := manifest.Parse(m.Encode())
package manifest

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"berylpass/config/chunk"
	"berylpass/config/snapshot"
	"berylpass/store/object"
)

// ErrMalformed reports bytes that are not a manifest in canonical encoding.
var ErrMalformed = errors.New("malformed manifest")

// Digest is the SHA-256 digest of a manifest or of a note's text.
type Digest = [sha256.Size]byte

// Reference identifies one chunk.
type Reference struct {
	Kind   string
	Bucket int
	Digest chunk.Digest
}

// Manifest describes one revision.
type Manifest struct {
	Revision uint64
	// Base is the digest of the manifest that this one was made on; zero for the first.
	// The note's Base is that manifest's revision number.
	Base Digest
	// Note is the digest of the release note's text.
	Note Digest
	// References identifies the chunks, ordered by kind, as in chunk.Kinds, and bucket.
	References []Reference
}

// New returns the manifest and the chunks of a snapshot. base is the digest of the manifest
// that it was made on, note the text of the release note. The error wraps
// chunk.ErrTooLarge if a chunk is too large.
func New(s snapshot.Snapshot, base Digest, note []byte) (Manifest, []chunk.Chunk, error) {
	chunks, err := chunk.Split(s)
	if err != nil {
		return Manifest{}, nil, err
	}
	m := Manifest{Revision: s.Revision, Base: base, Note: sha256.Sum256(note)}
	for _, c := range chunks {
		m.References = append(m.References, Reference{Kind: c.Kind, Bucket: c.Bucket, Digest: c.Digest()})
	}
	return m, chunks, nil
}

// Digest returns the digest of the encoded manifest, which owners sign.
func (m Manifest) Digest() Digest { return sha256.Sum256(m.Encode()) }

// encoded is the JSON form of a manifest. Digests are in unpadded URL-safe base64.
type encoded struct {
	Revision uint64 `json:"revision"`
	Base     string `json:"base"`
	Note     string `json:"note"`
	// Chunks holds the digests of chunks by kind and bucket number.
	Chunks map[string]map[string]string `json:"chunks"`
}

// Encode returns the manifest in canonical JSON: equal manifests have equal bytes.
func (m Manifest) Encode() []byte {
	e := encoded{Revision: m.Revision, Base: encodeDigest(m.Base), Note: encodeDigest(m.Note), Chunks: map[string]map[string]string{}}
	for _, r := range m.References {
		if e.Chunks[r.Kind] == nil {
			e.Chunks[r.Kind] = map[string]string{}
		}
		e.Chunks[r.Kind][strconv.Itoa(r.Bucket)] = encodeDigest(r.Digest)
	}
	text, err := json.Marshal(e)
	if err != nil {
		// Marshal doesn't fail for integers, strings and maps of strings.
		panic(err)
	}
	return text
}

// Parse parses a manifest that Encode returned. Its error wraps ErrMalformed for any other
// bytes, also for another JSON encoding of the same manifest.
func Parse(text []byte) (Manifest, error) {
	if len(text) > object.MaxValue {
		return Manifest{}, fmt.Errorf("%w: %d bytes, allowed are at most %d bytes", ErrMalformed, len(text), object.MaxValue)
	}
	var e encoded
	if err := json.Unmarshal(text, &e); err != nil {
		return Manifest{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	m := Manifest{Revision: e.Revision}
	var ok [2]bool
	m.Base, ok[0] = decodeDigest(e.Base)
	m.Note, ok[1] = decodeDigest(e.Note)
	if ok != [2]bool{true, true} {
		return Manifest{}, fmt.Errorf("%w: invalid digest of base or note", ErrMalformed)
	}
	for _, kind := range chunk.Kinds() {
		references, err := decodeKind(kind, e.Chunks[kind])
		if err != nil {
			return Manifest{}, err
		}
		m.References = append(m.References, references...)
	}
	if !bytes.Equal(m.Encode(), text) {
		return Manifest{}, fmt.Errorf("%w: not in canonical form", ErrMalformed)
	}
	return m, nil
}

// decodeKind returns the references to the chunks of a kind, ordered by bucket.
func decodeKind(kind string, buckets map[string]string) ([]Reference, error) {
	var references []Reference
	for number, text := range buckets {
		bucket, err := strconv.Atoi(number)
		digest, ok := decodeDigest(text)
		if err != nil || !ok || bucket < 0 || bucket >= chunk.Buckets(kind) {
			return nil, fmt.Errorf("%w: invalid bucket or digest of chunk %q of kind %q", ErrMalformed, number, kind)
		}
		references = append(references, Reference{Kind: kind, Bucket: bucket, Digest: digest})
	}
	slices.SortFunc(references, func(a, b Reference) int { return a.Bucket - b.Bucket })
	return references, nil
}

// encodeDigest returns a digest in unpadded URL-safe base64.
func encodeDigest(d Digest) string { return base64.RawURLEncoding.EncodeToString(d[:]) }

// decodeDigest returns the digest that encodeDigest encoded, and whether text is one.
func decodeDigest(text string) (Digest, bool) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return Digest{}, false
	}
	return Digest(raw), true
}
