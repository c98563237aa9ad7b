// Package signature signs revisions of the configuration and checks their signatures.
//
// Each owner signs the manifest's digest with Ed25519. A daemon accepts a revision
// only if two different owners that its settings name have signed it, so the store,
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

// signingContext is the prefix of every signed message: without it, a signature on some
// other 32 bytes could count as one on a manifest.
const signingContext = "berylpass manifest\n"

// Signature is one owner's signature on the digest of a manifest.
type Signature struct {
	Owner string `json:"owner"`
	Bytes []byte `json:"signature"`
}

// Sign returns the owner's signature on the digest of a manifest.
func Sign(owner string, private ed25519.PrivateKey, digest manifest.Digest) Signature {
	return Signature{Owner: owner, Bytes: ed25519.Sign(private, signedMessage(digest))}
}

// Verify reports whether the signature was made with the private key of public on the
// digest. It doesn't check the owner's name.
func (s Signature) Verify(public ed25519.PublicKey, digest manifest.Digest) bool {
	return len(public) == ed25519.PublicKeySize && ed25519.Verify(public, signedMessage(digest), s.Bytes)
}

// signedMessage returns the bytes that a signature is made on.
func signedMessage(digest manifest.Digest) []byte {
	return append([]byte(signingContext), digest[:]...)
}
