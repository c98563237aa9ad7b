package note

import (
	"strings"

	"berylpass/config/document"
	"berylpass/config/field"
	"berylpass/config/mistake"
	"berylpass/config/rules"
	"berylpass/config/snapshot"
)

// editor checks and applies changes to items of one kind.
type editor interface {
	// check returns the mistakes in a change that can be found without the base revision.
	check(c Change, file string, section document.Section) mistake.List
	// apply makes the change in the maps of s, which no other snapshot may share. It returns
	// the mistakes that depend on the base revision.
	apply(c Change, file string, s snapshot.Snapshot) mistake.List
}

var editors = map[string]editor{
	rules.Organisation: organisations,
	rules.Key:          keyEditor{},
	rules.Route:        routes,
	rules.Service:      services,
	rules.Datacentre:   datacentres,
}

// itemEditor edits items that a snapshot holds by name. newItem returns an item with the
// given name, items returns the map of s that holds the items.
type itemEditor[T any] struct {
	table   field.Table[T]
	newItem func(name string) T
	items   func(s snapshot.Snapshot) map[string]T
}

func (e itemEditor[T]) check(c Change, file string, section document.Section) mistake.List {
	found := checkName(c.Name, file, section)
	switch c.Verb {
	case Added:
		scratch := e.newItem(c.Name)
		found = append(found, e.table.Read(&scratch, file, section)...)
		return append(found, e.table.Missing(file, section)...)
	case Changed:
		scratch := e.newItem(c.Name)
		found = append(found, e.table.Read(&scratch, file, section)...)
		if len(section.Entries) == 0 {
			found = found.With(file, section.Name, "", "no key is changed; allowed are "+strings.Join(e.table.Keys(), ", "))
		}
		return found
	}
	return append(found, checkEmpty(file, section)...)
}

func (e itemEditor[T]) apply(c Change, file string, s snapshot.Snapshot) mistake.List {
	items := e.items(s)
	item, exists := items[c.Name]
	if found := checkExists(c, exists, file); len(found) > 0 {
		return found
	}
	if c.Verb == Withdrawn {
		delete(items, c.Name)
		return nil
	}
	if c.Verb == Added {
		item = e.newItem(c.Name)
		e.table.Defaults(&item)
	}
	found := e.table.Read(&item, file, document.Section{Name: c.section(), Entries: c.Values})
	items[c.Name] = item
	return found
}

// checkName checks the name of an item that is not a key.
func checkName(name, file string, section document.Section) mistake.List {
	if field.IsName(name) {
		return nil
	}
	return mistake.List{}.With(file, section.Name, "", "the name is not allowed; allowed is "+field.NameAllowed)
}

// checkEmpty checks that the section of a withdrawn item has no fields.
func checkEmpty(file string, section document.Section) mistake.List {
	var found mistake.List
	for _, e := range section.Entries {
		found = found.With(file, section.Name, e.Key, "a withdrawn item takes no keys; allowed is an empty section")
	}
	return found
}

// checkExists checks that an added item is new, and that a changed or withdrawn one exists.
func checkExists(c Change, exists bool, file string) mistake.List {
	switch {
	case c.Verb == Added && exists:
		return mistake.List{}.With(file, c.section(), "", "it already exists; allowed is a new name, or a section [changed ...]")
	case c.Verb != Added && !exists:
		return mistake.List{}.With(file, c.section(), "", "it does not exist; allowed is an item of the base revision")
	}
	return nil
}
