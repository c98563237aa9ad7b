// Package approval reads and writes the file that holds the owners' signatures of a release
// note until the note is published.
//
// The file lies beside the note. Owners pass both files on, because each signs the same
// manifest digest on their own machine. A signature made for another base, or for
// another text of the note, is of another digest and isn't valid.
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

// Suffix is appended to the note's file name to name the approval's file.
const Suffix = ".signed"

const (
	manifestSection   = "manifest"
	signaturesSection = "signatures"
)

// Approval holds the signatures of one manifest.
type Approval struct {
	Revision uint64
	// Digest is the digest of the manifest, which the signatures sign.
	Digest     manifest.Digest
	Signatures []signature.Signature
}

// New returns an approval without signatures.
func New(revision uint64, digest manifest.Digest) Approval {
	return Approval{Revision: revision, Digest: digest}
}

// With returns a copy with s, which replaces a signature by the same owner.
func (a Approval) With(s signature.Signature) Approval {
	others := slices.DeleteFunc(slices.Clone(a.Signatures), func(old signature.Signature) bool { return old.Owner == s.Owner })
	a.Signatures = append(others, s)
	return a
}

// Owners returns the names of the owners whose signatures the approval holds.
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

// manifestTable describes the fields of the section [manifest].
var manifestTable = field.Table[Approval]{
	field.Of("revision", "the number of a revision", func(a *Approval) *uint64 { return &a.Revision }, parseRevision).WithRequired(),
	field.Of("digest", "a SHA-256 digest in 64 hex digits", func(a *Approval) *manifest.Digest { return &a.Digest }, parseDigest).WithRequired(),
}

// Parse parses an approval in the form that Encode returns. file names it in errors. The
// error is a mistake.List of all mistakes. Parse doesn't verify the signatures.
func Parse(file string, text []byte) (Approval, error) {
	var a Approval
	d, found := document.Parse(file, text)
	manifestPart := document.Section{Name: manifestSection}
	for _, section := range d.Sections {
		switch section.Name {
		case manifestSection:
			manifestPart = section
		case signaturesSection:
			found = append(found, a.readSignatures(file, section)...)
		default:
			found = found.With(file, section.Name, "", "unknown section; allowed are manifest, signatures")
		}
	}
	found = append(found, manifestTable.Read(&a, file, manifestPart)...)
	found = append(found, manifestTable.Missing(file, manifestPart)...)
	if len(found) > 0 {
		return Approval{}, found
	}
	return a, nil
}

// readSignatures adds the signatures of the section [signatures] and returns the mistakes in it.
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

// parseRevision parses a revision number below math.MaxInt64.
func parseRevision(text string) (uint64, bool) {
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil && n < math.MaxInt64
}

// parseDigest parses a digest in hex.
func parseDigest(text string) (manifest.Digest, bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(manifest.Digest{}) {
		return manifest.Digest{}, false
	}
	return manifest.Digest(raw), true
}
