// Package key identifies callers' API keys by their digests, without storing the keys.
//
// Configuration holds only the SHA-256 digest of a key. A daemon computes the digest of
// the key that came with a request, looks it up, and forwards only the key's ID.
//
// # Usage
//
//	k := key.New("reader-2026", key.DigestOf(secret))
//	if k.Matches(presented) { ... }
package key

import (
	"crypto/sha256"
	"crypto/subtle"
)

// Digest is the SHA-256 digest of a caller's key.
type Digest = [sha256.Size]byte

// Key is a caller's key as configuration holds it: an ID, unique within its
// organisation, and the digest of the key's secret.
type Key struct {
	ID     string
	Digest Digest
}

// New returns a key with the given ID and digest.
func New(id string, digest Digest) Key { return Key{ID: id, Digest: digest} }

// DigestOf returns the digest of a secret.
func DigestOf(secret string) Digest { return sha256.Sum256([]byte(secret)) }

// Matches reports whether the secret is that of k, in constant time.
func (k Key) Matches(secret string) bool {
	d := DigestOf(secret)
	return subtle.ConstantTimeCompare(d[:], k.Digest[:]) == 1
}
