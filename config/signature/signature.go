// Package signature lets two owners answer for a revision of the configuration.
//
// Each owner signs the manifest's digest with Ed25519. A daemon takes a revision
// only if two different owners of its settings have signed it, so the store,
// which holds the signed manifest and its chunks, can't forge one.
//
// # Usage
//
//	e := signature.NewEnvelope(m.Encode()).
//		With(signature.Sign("ola", olaKey, m.Digest())).
//		With(signature.Sign("marek", marekKey, m.Digest()))
//	store.Put(ctx, "config/current", e.Encode(), version)
//
//	v := signature.NewVerifier(settings.Owners)
//	s, err := v.Open(ctx, value, fetch)
package signature

import (
	"crypto/ed25519"

	"berylpass/config/manifest"
)

// purpose keeps a signature from counting for anything but a manifest.
const purpose = "berylpass manifest\n"

// Signature is one owner's signature.
type Signature struct {
	Owner string `json:"owner"`
	Bytes []byte `json:"signature"`
}

// Sign signs the digest of a manifest in the name of an owner.
func Sign(owner string, private ed25519.PrivateKey, digest manifest.Digest) Signature {
	return Signature{Owner: owner, Bytes: ed25519.Sign(private, message(digest))}
}

// Verify reports whether the signature is by the key's owner on the digest.
func (s Signature) Verify(public ed25519.PublicKey, digest manifest.Digest) bool {
	return len(public) == ed25519.PublicKeySize && ed25519.Verify(public, message(digest), s.Bytes)
}

func message(digest manifest.Digest) []byte { return append([]byte(purpose), digest[:]...) }
