package chunk

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 digest of a chunk's value; it names the chunk in the store.
type Digest = [sha256.Size]byte

// Digest returns the digest of the chunk's value.
func (c Chunk) Digest() Digest { return sha256.Sum256(c.Value) }

// Key returns the store's key for a chunk with the digest.
func Key(d Digest) string { return "config/chunk/" + hex.EncodeToString(d[:]) }
