package note

import (
	"fmt"
	"maps"

	"berylpass/config/mistake"
	"berylpass/config/rules"
	"berylpass/config/snapshot"
)

// Apply returns the revision that follows base: base with the note's changes. It doesn't
// change base. The error wraps ErrBase if the note names another base revision; otherwise
// it is a mistake.List.
func (n Note) Apply(base snapshot.Snapshot) (snapshot.Snapshot, error) {
	if base.Revision != n.Base {
		return snapshot.Snapshot{}, fmt.Errorf("%w: it names revision %d, in force is %d", ErrBase, n.Base, base.Revision)
	}
	next := snapshot.Snapshot{
		Revision:      n.Base + 1,
		Organisations: maps.Clone(base.Organisations),
		Routes:        maps.Clone(base.Routes),
		Services:      maps.Clone(base.Services),
		Datacentres:   maps.Clone(base.Datacentres),
	}
	var found mistake.List
	var applied []Change
	for _, c := range n.Changes {
		mistakes := editors[c.Kind].apply(c, n.File, next)
		if len(mistakes) == 0 {
			applied = append(applied, c)
		}
		found = append(found, mistakes...)
	}
	for _, v := range rules.Check(next) {
		found = append(found, locate(n.File, applied, v))
	}
	if len(found) > 0 {
		return snapshot.Snapshot{}, found
	}
	return next.Index(), nil
}

// locate returns the mistake for a broken rule: in the section of the applied change to the
// item, or in no section if the item is unchanged from the base revision.
func locate(file string, applied []Change, v rules.Violation) mistake.Mistake {
	for _, c := range applied {
		if c.Kind == v.Kind && c.Name == v.Name {
			return mistake.Mistake{File: file, Section: c.section(), Key: v.Key, Text: v.Text}
		}
	}
	text := v.Text
	if v.Name != "" {
		text = fmt.Sprintf("%s %q of the base revision: %s", v.Kind, v.Name, v.Text)
	}
	return mistake.Mistake{File: file, Text: text}
}
