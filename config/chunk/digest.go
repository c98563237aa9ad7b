package chunk

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 digest of a chunk's value, under which the store holds the chunk.
type Digest = [sha256.Size]byte

// Digest returns the digest of the chunk's value.
func (c Chunk) Digest() Digest { return sha256.Sum256(c.Value) }

// Key returns the key in the store of the chunk with the given digest.
func Key(d Digest) string { return "config/chunk/" + hex.EncodeToString(d[:]) }
