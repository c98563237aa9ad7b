// Package key identifies callers' keys without holding them.
//
// Configuration holds only the SHA-256 digest of a key. A daemon digests the key
// that came with a request, looks the digest up, and passes only the key's ID on.
//
// # Usage
//
//	k := key.New("reader-2026", key.Sum(secret))
//	if k.Matches(presented) { ... }
package key

import (
	"crypto/sha256"
	"crypto/subtle"
)

// Digest is the SHA-256 digest of a caller's key.
type Digest = [sha256.Size]byte

// Key is a caller's key as configuration knows it: an ID, unique within its
// organisation, and a digest.
type Key struct {
	ID     string
	Digest Digest
}

// New returns a key with the given ID and digest.
func New(id string, digest Digest) Key { return Key{ID: id, Digest: digest} }

// Sum returns the digest of a secret.
func Sum(secret string) Digest { return sha256.Sum256([]byte(secret)) }

// Matches reports in constant time whether the secret is the one behind k.
func (k Key) Matches(secret string) bool {
	d := Sum(secret)
	return subtle.ConstantTimeCompare(d[:], k.Digest[:]) == 1
}
