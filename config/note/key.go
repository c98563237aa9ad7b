package note

import (
	"encoding/hex"
	"slices"
	"strings"

	"berylpass/config/document"
	"berylpass/config/field"
	"berylpass/config/key"
	"berylpass/config/mistake"
	"berylpass/config/snapshot"
)

// keyNameAllowed says which names the section of a key may have.
const keyNameAllowed = `"ORGANISATION/ID", both in kebab case`

// keyEditor edits the keys of organisations. A key's name is ORGANISATION/ID.
type keyEditor struct{}

var keyTable = field.Table[key.Key]{
	field.Of("digest", "the SHA-256 digest of the key in 64 hex digits, as `berylpass keygen --caller` prints it",
		func(k *key.Key) *key.Digest { return &k.Digest }, parseDigest).WithRequired().
		WithMeaning("SHA-256 digest of the key."),
}

func (keyEditor) check(c Change, file string, section document.Section) mistake.List {
	var found mistake.List
	organisationName, id, _ := strings.Cut(c.Name, "/")
	if !field.IsName(organisationName) || !field.IsName(id) {
		found = found.With(file, section.Name, "", "the name is not allowed; allowed is "+keyNameAllowed)
	}
	switch c.Verb {
	case Added:
		var scratch key.Key
		found = append(found, keyTable.Read(&scratch, file, section)...)
		return append(found, keyTable.Missing(file, section)...)
	case Changed:
		return found.With(file, section.Name, "", "a key can't be changed; allowed are added and withdrawn: add the new key under another ID")
	}
	return append(found, checkEmpty(file, section)...)
}

func (keyEditor) apply(c Change, file string, s snapshot.Snapshot) mistake.List {
	organisationName, id, _ := strings.Cut(c.Name, "/")
	o, ok := s.Organisations[organisationName]
	if !ok {
		return mistake.List{}.With(file, c.section(), "", "there is no organisation "+organisationName+"; allowed is one of the new revision")
	}
	exists := slices.ContainsFunc(o.Keys, func(k key.Key) bool { return k.ID == id })
	if found := checkExists(c, exists, file); len(found) > 0 {
		return found
	}
	if c.Verb == Withdrawn {
		s.Organisations[organisationName] = o.WithoutKey(id)
		return nil
	}
	k := key.New(id, key.Digest{})
	found := keyTable.Read(&k, file, document.Section{Name: c.section(), Entries: c.Values})
	s.Organisations[organisationName] = o.WithKey(k)
	return found
}

// parseDigest reads a digest in hex and reports whether it has the right length.
func parseDigest(text string) (key.Digest, bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(key.Digest{}) {
		return key.Digest{}, false
	}
	return key.Digest(raw), true
}
