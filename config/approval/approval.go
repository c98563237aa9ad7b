// Package approval keeps the owners' signatures on a release note until it is published.
//
// The file stands beside the note and travels between owners with it: each owner
// signs the same manifest digest on a machine of their own. A signature that was
// made on another base, or on another text of the note, has another digest and
// doesn't fit.
//
// # Usage
//
//	a := approval.New(7, digest).With(signature.Sign("ola", key, digest))
//	os.WriteFile("7.ini.signed", a.Encode(), 0o644)
//	a, err := approval.Parse("7.ini.signed", text)
package approval

import (
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"berylpass/config/document"
	"berylpass/config/field"
	"berylpass/config/manifest"
	"berylpass/config/mistake"
	"berylpass/config/signature"
)

// Suffix is added to the note's file name.
const Suffix = ".signed"

const (
	manifestSection   = "manifest"
	signaturesSection = "signatures"
)

// Approval is the signatures on one manifest.
type Approval struct {
	Revision   uint64
	Digest     manifest.Digest
	Signatures []signature.Signature
}

// New returns an approval without signatures.
func New(revision uint64, digest manifest.Digest) Approval {
	return Approval{Revision: revision, Digest: digest}
}

// With returns a copy with one more signature, in place of one by the same owner.
func (a Approval) With(s signature.Signature) Approval {
	kept := slices.DeleteFunc(slices.Clone(a.Signatures), func(old signature.Signature) bool { return old.Owner == s.Owner })
	a.Signatures = append(kept, s)
	return a
}

// Owners returns the names under which the approval is signed.
func (a Approval) Owners() []string {
	names := make([]string, len(a.Signatures))
	for i, s := range a.Signatures {
		names[i] = s.Owner
	}
	return names
}

// Encode returns the approval as an INI file.
func (a Approval) Encode() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[%s]\nrevision = %d\ndigest = %x\n\n[%s]\n", manifestSection, a.Revision, a.Digest, signaturesSection)
	for _, s := range a.Signatures {
		fmt.Fprintf(&b, "%s = %s\n", s.Owner, base64.StdEncoding.EncodeToString(s.Bytes))
	}
	return []byte(b.String())
}

var manifestTable = field.Table[Approval]{
	field.Of("revision", "the number of a revision", func(a *Approval) *uint64 { return &a.Revision }, parseRevision).WithRequired(),
	field.Of("digest", "a SHA-256 digest in 64 hex digits", func(a *Approval) *manifest.Digest { return &a.Digest }, parseDigest).WithRequired(),
}

// Parse reads what Encode wrote. Its error is a mistake.List.
func Parse(file string, text []byte) (Approval, error) {
	var a Approval
	d, found := document.Parse(file, text)
	head := document.Section{Name: manifestSection}
	for _, section := range d.Sections {
		switch section.Name {
		case manifestSection:
			head = section
		case signaturesSection:
			found = append(found, a.readSignatures(file, section)...)
		default:
			found = found.With(file, section.Name, "", "unknown section; allowed are manifest, signatures")
		}
	}
	found = append(found, manifestTable.Read(&a, file, head)...)
	found = append(found, manifestTable.Missing(file, head)...)
	if len(found) > 0 {
		return Approval{}, found
	}
	return a, nil
}

func (a *Approval) readSignatures(file string, section document.Section) mistake.List {
	var found mistake.List
	if len(section.Entries) > signature.MaxSignatures {
		return found.With(file, section.Name, "", fmt.Sprintf("there are %d signatures; allowed are %d", len(section.Entries), signature.MaxSignatures))
	}
	for _, e := range section.Entries {
		raw, err := base64.StdEncoding.DecodeString(e.Value)
		if err != nil || !field.IsName(e.Key) {
			found = found.With(file, section.Name, e.Key, "not a signature; allowed is owner = base64 signature")
			continue
		}
		a.Signatures = append(a.Signatures, signature.Signature{Owner: e.Key, Bytes: raw})
	}
	return found
}

func parseRevision(text string) (uint64, bool) {
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil && n < math.MaxInt64
}

func parseDigest(text string) (manifest.Digest, bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(manifest.Digest{}) {
		return manifest.Digest{}, false
	}
	return manifest.Digest(raw), true
}
