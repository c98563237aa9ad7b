// Package note reads release notes: what is added, changed and withdrawn on a base revision.
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
// The kinds are organisation, key, route, service and datacentre. A section may
// add what doesn't exist, and change or withdraw what does; withdrawing an
// organisation withdraws its keys. A key is added or withdrawn, never changed.
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

// MaxSize is the largest note in bytes; a larger change takes several notes.
const MaxSize = 512 << 10

// maxTitle is the greatest length of a title in bytes.
const maxTitle = 200

// ErrBase reports a note that was made on another revision.
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
	// Kind is one of the kinds of package rules.
	Kind string
	// Name is the item's name, organisation/ID for a key.
	Name string
	// Values are the keys given, in the order of the file.
	Values []document.Entry
}

// Note is a parsed release note.
type Note struct {
	File  string
	Base  uint64
	Title string
	// Changes are ordered by kind so that an item follows what it refers to.
	Changes []Change
}

const noteSection = "note"

var headerTable = field.Table[Note]{
	field.Of("base", "the number of the revision in force, 0 for the first note", func(n *Note) *uint64 { return &n.Base }, parseRevision).WithRequired(),
	field.Text("title", maxTitle, func(n *Note) *string { return &n.Title }).WithRequired(),
}

var sectionPattern = regexp.MustCompile(`^(added|changed|withdrawn) (organisation|key|route|service|datacentre) "([^"]*)"$`)

const sectionAllowed = `[note], or [added KIND "NAME"], [changed KIND "NAME"], [withdrawn KIND "NAME"] with KIND organisation, key, route, service or datacentre`

// kindOrder puts what others refer to first.
var kindOrder = []string{rules.Datacentre, rules.Service, rules.Route, rules.Organisation, rules.Key}

// Parse reads a note and checks all that can be checked without its base. Its
// error is a mistake.List.
func Parse(file string, text []byte) (Note, error) {
	n := Note{File: file}
	if len(text) > MaxSize {
		return n, mistake.List{}.With(file, "", "", fmt.Sprintf("the note has %d bytes; allowed are %d: split it", len(text), MaxSize))
	}
	d, found := document.Parse(file, text)
	if len(d.Sections) == 0 && len(found) > 0 {
		return n, found
	}
	header := document.Section{Name: noteSection}
	named := map[[2]string]bool{}
	for _, section := range d.Sections {
		if section.Name == noteSection {
			header = section
			continue
		}
		c, mistakes := parseChange(file, section, named)
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

func parseChange(file string, section document.Section, named map[[2]string]bool) (Change, mistake.List) {
	var found mistake.List
	parts := sectionPattern.FindStringSubmatch(section.Name)
	if parts == nil {
		return Change{}, found.With(file, section.Name, "", "unknown section; allowed are "+sectionAllowed)
	}
	c := Change{Verb: parts[1], Kind: parts[2], Name: parts[3], Values: section.Entries}
	item := [2]string{c.Kind, c.Name}
	if named[item] {
		found = found.With(file, section.Name, "", "the item stands in two sections; allowed is one")
	}
	named[item] = true
	return c, append(found, editors[c.Kind].check(c, file, section)...)
}

func parseRevision(text string) (uint64, bool) {
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil && n < math.MaxInt64
}
