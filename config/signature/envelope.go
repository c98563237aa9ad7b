package signature

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"berylpass/store/object"
)

// MaxSignatures is the largest number of signatures in an envelope.
const MaxSignatures = 16

// ErrMalformed reports bytes that are not a valid envelope.
var ErrMalformed = errors.New("malformed signed manifest")

// Envelope is a signed manifest: a manifest with the signatures on its digest. It has nothing
// to do with hop.Envelope.
type Envelope struct {
	// Manifest is the manifest as manifest.Manifest.Encode writes it.
	Manifest   json.RawMessage `json:"manifest"`
	Signatures []Signature     `json:"signatures"`
}

// NewEnvelope returns an envelope without signatures.
func NewEnvelope(manifest []byte) Envelope { return Envelope{Manifest: manifest} }

// With returns a copy with s added, in place of an earlier signature by the same owner.
func (e Envelope) With(s Signature) Envelope {
	kept := slices.DeleteFunc(slices.Clone(e.Signatures), func(old Signature) bool { return old.Owner == s.Owner })
	e.Signatures = append(kept, s)
	return e
}

// Encode returns the envelope in JSON, or nil if its manifest is not valid JSON.
func (e Envelope) Encode() []byte {
	text, err := json.Marshal(e)
	if err != nil {
		return nil
	}
	return text
}

// ParseEnvelope reads an envelope that Encode wrote. It checks sizes but no signatures. Its
// errors wrap ErrMalformed.
func ParseEnvelope(text []byte) (Envelope, error) {
	if len(text) > object.MaxValue {
		return Envelope{}, fmt.Errorf("%w: %d bytes, allowed are at most %d", ErrMalformed, len(text), object.MaxValue)
	}
	var e Envelope
	if err := json.Unmarshal(text, &e); err != nil {
		return Envelope{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(e.Signatures) > MaxSignatures {
		return Envelope{}, fmt.Errorf("%w: %d signatures, allowed are at most %d", ErrMalformed, len(e.Signatures), MaxSignatures)
	}
	return e, nil
}
