// Package note reads release notes. A release note says which items of the configuration are
// added, changed and withdrawn on a base revision.
//
// A note is an INI file. [note] names the base revision and a title; each other
// section names one item:
//
//	[note]
//	base = 6
//	title = Spring term
//
//	[added organisation "hope-bay-library"]
//	rate = 20
//	burst = 40
//
//	[added key "hope-bay-library/reader-2026"]
//	digest = 5e88...
//
//	[changed datacentre "mandeville"]
//	in-service = no
//
//	[withdrawn route "old-renewals"]
//
// The kinds are organisation, key, route, service and datacentre. An added item must not
// exist in the base revision; a changed or withdrawn one must. Withdrawing an
// organisation withdraws its keys. A key can be added or withdrawn, but not changed.
//
// # Usage
//
//	n, err := note.Parse("7.ini", text)
//	next, err := n.Apply(current)
//	if errors.Is(err, note.ErrBase) { ... }
package note

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"

	"berylpass/config/document"
	"berylpass/config/field"
	"berylpass/config/mistake"
	"berylpass/config/rules"
)

// MaxSize is the largest size of a note in bytes; a larger change needs several notes.
const MaxSize = 512 << 10

// maxTitle is the largest length of a title in bytes.
const maxTitle = 200

// ErrBase reports a note that was made on another revision than the one it is applied to.
var ErrBase = errors.New("the note has another base")

// The verbs of a change.
const (
	Added     = "added"
	Changed   = "changed"
	Withdrawn = "withdrawn"
)

// Change is one section of a note.
type Change struct {
	Verb string
	// Kind is one of the kinds that package rules names.
	Kind string
	// Name is the item's name, ORGANISATION/ID for a key.
	Name string
	// Values are the section's fields and their values, in the order of the file.
	Values []document.Entry
}

// Note is a parsed release note.
type Note struct {
	File string
	// Base is the number of the base revision.
	Base  uint64
	Title string
	// Changes are ordered by kind, so that an item comes after the items that it refers to.
	Changes []Change
}

const noteSection = "note"

// headerTable has the fields of the section noteSection.
var headerTable = field.Table[Note]{
	field.Of("base", "the number of the revision in force, 0 for the first note", func(n *Note) *uint64 { return &n.Base }, parseRevision).WithRequired(),
	field.Text("title", maxTitle, func(n *Note) *string { return &n.Title }).WithRequired(),
}

// sectionPattern matches the name of a change's section: verb, kind and the item's name.
var sectionPattern = regexp.MustCompile(`^(added|changed|withdrawn) (organisation|key|route|service|datacentre) "([^"]*)"$`)

const sectionAllowed = `[note], or [added KIND "NAME"], [changed KIND "NAME"], [withdrawn KIND "NAME"] with KIND organisation, key, route, service or datacentre`

// kindOrder lists the kinds such that each comes after the kinds that it refers to.
var kindOrder = []string{rules.Datacentre, rules.Service, rules.Route, rules.Organisation, rules.Key}

// Parse reads a note and makes the checks that don't need its base revision. Its
// error is a mistake.List.
func Parse(file string, text []byte) (Note, error) {
	n := Note{File: file}
	if len(text) > MaxSize {
		return n, mistake.List{}.With(file, "", "", fmt.Sprintf("the note has %d bytes; allowed are at most %d: split it", len(text), MaxSize))
	}
	d, found := document.Parse(file, text)
	if len(d.Sections) == 0 && len(found) > 0 {
		return n, found
	}
	header := document.Section{Name: noteSection}
	seen := map[[2]string]bool{}
	for _, section := range d.Sections {
		if section.Name == noteSection {
			header = section
			continue
		}
		c, mistakes := parseChange(file, section, seen)
		found = append(found, mistakes...)
		n.Changes = append(n.Changes, c)
	}
	found = append(found, headerTable.Read(&n, file, header)...)
	found = append(found, headerTable.Missing(file, header)...)
	if len(found) > 0 {
		return Note{}, found
	}
	slices.SortStableFunc(n.Changes, func(a, b Change) int {
		return cmp.Compare(slices.Index(kindOrder, a.Kind), slices.Index(kindOrder, b.Kind))
	})
	return n, nil
}

// section returns the name of the change's section.
func (c Change) section() string { return fmt.Sprintf("%s %s %q", c.Verb, c.Kind, c.Name) }

// parseChange reads and checks the section of a change. seen holds the kind and the name of
// each item that had a section so far.
func parseChange(file string, section document.Section, seen map[[2]string]bool) (Change, mistake.List) {
	var found mistake.List
	parts := sectionPattern.FindStringSubmatch(section.Name)
	if parts == nil {
		return Change{}, found.With(file, section.Name, "", "unknown section; allowed are "+sectionAllowed)
	}
	c := Change{Verb: parts[1], Kind: parts[2], Name: parts[3], Values: section.Entries}
	item := [2]string{c.Kind, c.Name}
	if seen[item] {
		found = found.With(file, section.Name, "", "the item has another section in this note; allowed is one")
	}
	seen[item] = true
	return c, append(found, editors[c.Kind].check(c, file, section)...)
}

// parseRevision reads the number of a base revision, which leaves room for the next.
func parseRevision(text string) (uint64, bool) {
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil && n < math.MaxInt64
}
