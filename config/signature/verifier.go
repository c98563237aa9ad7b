package signature

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"

	"berylpass/config/chunk"
	"berylpass/config/manifest"
	"berylpass/config/rules"
	"berylpass/config/snapshot"
)

// RequiredSigners is the number of different owners who must have signed a manifest.
const RequiredSigners = 2

var (
	// ErrNotSigned reports a manifest without valid signatures of two different owners.
	ErrNotSigned = errors.New("not signed by two different owners")
	// ErrDigest reports a chunk, or from archive.Archive.Note a release note, whose digest is
	// not the one in the signed manifest.
	ErrDigest = errors.New("chunk does not match its signed digest")
	// ErrRules reports a signed configuration that breaks a rule.
	ErrRules = errors.New("configuration breaks a rule")
)

// Fetch returns the bytes of the chunk with the given digest. It need not check them.
type Fetch func(ctx context.Context, digest chunk.Digest) ([]byte, error)

// Verifier checks signed manifests. It is safe for concurrent use.
type Verifier struct {
	owners map[string]ed25519.PublicKey
}

// NewVerifier returns a verifier that trusts the given owners: their public keys by name.
func NewVerifier(owners map[string]ed25519.PublicKey) *Verifier {
	return &Verifier{owners: maps.Clone(owners)}
}

// Manifest checks the signatures of an encoded envelope and returns its
// manifest. Its errors wrap ErrMalformed, manifest.ErrMalformed or ErrNotSigned.
func (v *Verifier) Manifest(envelope []byte) (manifest.Manifest, error) {
	e, err := ParseEnvelope(envelope)
	if err != nil {
		return manifest.Manifest{}, err
	}
	m, err := manifest.Parse(e.Manifest)
	if err != nil {
		return manifest.Manifest{}, err
	}
	if n := len(v.Signers(e, m.Digest())); n < RequiredSigners {
		return manifest.Manifest{}, fmt.Errorf("revision %d: %w: %d valid of %d required", m.Revision, ErrNotSigned, n, RequiredSigners)
	}
	return m, nil
}

// Signers returns the different owners whose signatures on the digest are valid, in the
// order of the envelope. Owners with the same public key count as one.
func (v *Verifier) Signers(e Envelope, digest manifest.Digest) []string {
	var signers []string
	counted := map[string]bool{}
	for _, s := range e.Signatures {
		public, ok := v.owners[s.Owner]
		if !ok || counted[string(public)] || !s.Verify(public, digest) {
			continue
		}
		counted[string(public)] = true
		signers = append(signers, s.Owner)
	}
	return signers
}

// Open checks an encoded envelope, fetches its chunks and returns the indexed
// configuration. Its errors wrap those of Manifest and of fetch, ErrDigest,
// chunk.ErrMalformed, chunk.ErrTooLarge or ErrRules. fetch has an unnamed type so that Verifier
// implements revision.Verifier.
func (v *Verifier) Open(ctx context.Context, envelope []byte, fetch func(ctx context.Context, digest [32]byte) ([]byte, error)) (snapshot.Snapshot, error) {
	m, err := v.Manifest(envelope)
	if err != nil {
		return snapshot.Snapshot{}, err
	}
	return Assemble(ctx, m, fetch)
}

// Assemble fetches the chunks of a manifest whose signatures have been checked already, checks
// them and returns the indexed configuration. Its errors are those of Open, except for
// those of Manifest.
func Assemble(ctx context.Context, m manifest.Manifest, fetch Fetch) (snapshot.Snapshot, error) {
	chunks := make([]chunk.Chunk, 0, len(m.References))
	for _, r := range m.References {
		value, err := fetch(ctx, r.Digest)
		if err != nil {
			return snapshot.Snapshot{}, fmt.Errorf("revision %d: chunk %x: %w", m.Revision, r.Digest, err)
		}
		if sha256.Sum256(value) != r.Digest {
			return snapshot.Snapshot{}, fmt.Errorf("revision %d: %w: want %x", m.Revision, ErrDigest, r.Digest)
		}
		chunks = append(chunks, chunk.New(r.Kind, r.Bucket, value))
	}
	s, err := chunk.Join(m.Revision, chunks)
	if err != nil {
		return snapshot.Snapshot{}, fmt.Errorf("revision %d: %w", m.Revision, err)
	}
	if broken := rules.Check(s); len(broken) > 0 {
		b := broken[0]
		return snapshot.Snapshot{}, fmt.Errorf("revision %d: %w: %s %q: %s", m.Revision, ErrRules, b.Kind, b.Name, b.Text)
	}
	return s, nil
}
