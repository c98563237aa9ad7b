package signature

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"errors"
	"testing"

	"berylpass/config/chunk"
	"berylpass/config/manifest"
	"berylpass/config/organisation"
	"berylpass/config/rules"
	"berylpass/config/snapshot"
	"berylpass/store/object"
)

// privateKey returns a fixed private key for the name.
func privateKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func publicKey(name string) ed25519.PublicKey { return privateKey(name).Public().(ed25519.PublicKey) }

var owners = map[string]ed25519.PublicKey{"ola": publicKey("ola"), "marek": publicKey("marek"), "ola-again": publicKey("ola")}

// chunkStore holds the chunks of a revision by digest.
type chunkStore map[chunk.Digest][]byte

func (c chunkStore) fetch(_ context.Context, d [32]byte) ([]byte, error) {
	value, ok := c[d]
	if !ok {
		return nil, object.ErrNotFound
	}
	return value, nil
}

// buildRevision returns the manifest of s and its chunks.
func buildRevision(t testing.TB, s snapshot.Snapshot) (manifest.Manifest, chunkStore) {
	t.Helper()
	m, list, err := manifest.New(s, manifest.Digest{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	held := chunkStore{}
	for _, c := range list {
		held[c.Digest()] = c.Value
	}
	return m, held
}

// smallSnapshot returns revision 7 with one organisation of the given name.
func smallSnapshot(name string) snapshot.Snapshot {
	return snapshot.New(7).WithOrganisation(organisation.New(name).WithLimit(2, 5)).Index()
}

// TestOpenNeedsTwoDifferentOwners checks that a manifest counts as signed only with valid
// signatures on it by two trusted owners with different keys.
func TestOpenNeedsTwoDifferentOwners(t *testing.T) {
	m, held := buildRevision(t, smallSnapshot("grove"))
	other, _ := buildRevision(t, smallSnapshot("other"))
	sign := func(owner, keyOf string) Signature { return Sign(owner, privateKey(keyOf), m.Digest()) }
	for name, c := range map[string]struct {
		signatures []Signature
		want       error
	}{
		"two owners":             {[]Signature{sign("ola", "ola"), sign("marek", "marek")}, nil},
		"two owners and a bad":   {[]Signature{sign("x", "x"), sign("ola", "ola"), sign("marek", "marek")}, nil},
		"none":                   {nil, ErrNotSigned},
		"one":                    {[]Signature{sign("ola", "ola")}, ErrNotSigned},
		"one twice":              {[]Signature{sign("ola", "ola"), sign("ola", "ola")}, ErrNotSigned},
		"one key with two names": {[]Signature{sign("ola", "ola"), sign("ola-again", "ola")}, ErrNotSigned},
		"a stranger":             {[]Signature{sign("ola", "ola"), sign("x", "x")}, ErrNotSigned},
		"a stranger as an owner": {[]Signature{sign("ola", "ola"), sign("marek", "x")}, ErrNotSigned},
		"another manifest":       {[]Signature{sign("ola", "ola"), Sign("marek", privateKey("marek"), other.Digest())}, ErrNotSigned},
	} {
		// The list is set directly: With would replace an earlier signature by the same owner.
		e := NewEnvelope(m.Encode())
		e.Signatures = c.signatures
		s, err := NewVerifier(owners).Open(t.Context(), e.Encode(), held.fetch)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
		if err == nil && (s.Revision != 7 || s.Organisations["grove"].Rate != 2) {
			t.Errorf("%s: got %+v", name, s)
		}
	}
}

// signedEnvelope returns the encoded envelope of m with valid signatures of two owners.
func signedEnvelope(m manifest.Manifest) []byte {
	return NewEnvelope(m.Encode()).With(Sign("ola", privateKey("ola"), m.Digest())).With(Sign("marek", privateKey("marek"), m.Digest())).Encode()
}

// TestOpenRefusesChangedOrMissingData checks that a store can neither change nor withhold a
// chunk of a signed manifest unnoticed, and that Open refuses bytes that are no envelope.
func TestOpenRefusesChangedOrMissingData(t *testing.T) {
	m, held := buildRevision(t, smallSnapshot("grove"))
	envelope := signedEnvelope(m)
	v := NewVerifier(owners)
	for d := range held {
		value := held[d]
		held[d] = append([]byte{' '}, value...)
		if _, err := v.Open(t.Context(), envelope, held.fetch); !errors.Is(err, ErrDigest) {
			t.Errorf("changed chunk: got %v, want ErrDigest", err)
		}
		delete(held, d)
		if _, err := v.Open(t.Context(), envelope, held.fetch); !errors.Is(err, object.ErrNotFound) {
			t.Errorf("missing chunk: got %v, want ErrNotFound", err)
		}
	}
	for name, value := range map[string][]byte{"empty": nil, "null": []byte("null"), "large": make([]byte, object.MaxValue+1), "number": []byte("1")} {
		if _, err := v.Open(t.Context(), value, held.fetch); !errors.Is(err, ErrMalformed) && !errors.Is(err, manifest.ErrMalformed) {
			t.Errorf("%s: got %v, want a malformed envelope or manifest", name, err)
		}
	}
}

// TestOpenRefusesASignedConfigurationThatBreaksARule checks that valid signatures don't make
// an invalid configuration acceptable.
func TestOpenRefusesASignedConfigurationThatBreaksARule(t *testing.T) {
	m, held := buildRevision(t, smallSnapshot("Not A Name"))
	if _, err := NewVerifier(owners).Open(t.Context(), signedEnvelope(m), held.fetch); !errors.Is(err, ErrRules) {
		t.Errorf("got %v, want ErrRules", err)
	}
}

// FuzzOpen checks that no envelope and no chunk make Open panic, with and without valid
// signatures.
func FuzzOpen(f *testing.F) {
	m, held := buildRevision(f, smallSnapshot("grove"))
	for _, value := range held {
		f.Add(signedEnvelope(m), value)
	}
	v := NewVerifier(owners)
	f.Fuzz(func(_ *testing.T, envelope, value []byte) {
		fetch := func(context.Context, [32]byte) ([]byte, error) { return value, nil }
		v.Open(context.Background(), envelope, fetch)
		e, err := ParseEnvelope(envelope)
		if err != nil {
			return
		}
		// Sign the manifest so that Open goes on to the chunks.
		if m, err := manifest.Parse(e.Manifest); err == nil {
			for i := range m.References {
				m.References[i].Digest = sha256.Sum256(value)
			}
			s, err := v.Open(context.Background(), signedEnvelope(m), fetch)
			if err == nil {
				rules.Check(s)
			}
		}
	})
}
