// Package field declares the keys of an INI section: their names, defaults, what
// values are allowed and where a value goes.
//
// One table serves the reader, the check that reports every mistake, and the
// reference page. T is the type that a section fills.
//
// # Usage
//
//	table := field.Table[Shutdown]{
//		field.Duration("grace", time.Second, time.Hour, func(s *Shutdown) *time.Duration { return &s.Grace }).
//			WithDefault("30s").WithMeaning("time for work in flight"),
//	}
//	mistakes := table.Read(&s, "daemon.ini", section)
package field

import (
	"slices"
	"strings"

	"berylpass/config/document"
	"berylpass/config/mistake"
)

// Field is one key of a section.
type Field[T any] struct {
	Key string
	// Allowed says which values are allowed.
	Allowed string
	Meaning string
	// Default is used if the key is absent; empty for none.
	Default  string
	Required bool
	// Hidden keeps the value out of mistakes.
	Hidden bool
	// Set stores a value and reports whether it is allowed.
	Set func(target *T, value string) bool
}

// WithDefault returns a copy with a default value.
func (f Field[T]) WithDefault(value string) Field[T] {
	f.Default = value
	return f
}

// WithMeaning returns a copy with an explanation for the reference page.
func (f Field[T]) WithMeaning(text string) Field[T] {
	f.Meaning = text
	return f
}

// WithRequired returns a copy that must be given.
func (f Field[T]) WithRequired() Field[T] {
	f.Required = true
	return f
}

// WithHidden returns a copy whose value no mistake repeats.
func (f Field[T]) WithHidden() Field[T] {
	f.Hidden = true
	return f
}

// Table is the keys of a section.
type Table[T any] []Field[T]

// Defaults fills target with the default values.
func (t Table[T]) Defaults(target *T) {
	for _, f := range t {
		if f.Default != "" {
			f.Set(target, f.Default)
		}
	}
}

// Read fills target from the section and returns every mistake. Keys that the
// section lacks leave target as it is.
func (t Table[T]) Read(target *T, file string, section document.Section) mistake.List {
	var found mistake.List
	for _, e := range section.Entries {
		i := slices.IndexFunc(t, func(f Field[T]) bool { return f.Key == e.Key })
		switch {
		case i < 0:
			found = found.With(file, section.Name, e.Key, "unknown key; allowed are "+strings.Join(t.Keys(), ", "))
		case !t[i].Set(target, e.Value):
			found = found.With(file, section.Name, e.Key, t[i].quote(e.Value)+" is not allowed; allowed is "+t[i].Allowed)
		}
	}
	return found
}

// Missing returns a mistake for each required key that the section lacks.
func (t Table[T]) Missing(file string, section document.Section) mistake.List {
	var found mistake.List
	for _, f := range t {
		given := slices.ContainsFunc(section.Entries, func(e document.Entry) bool { return e.Key == f.Key })
		if f.Required && !given {
			found = found.With(file, section.Name, f.Key, "the key is missing; allowed is "+f.Allowed)
		}
	}
	return found
}

// Keys returns the names of the keys.
func (t Table[T]) Keys() []string {
	keys := make([]string, len(t))
	for i, f := range t {
		keys[i] = f.Key
	}
	return keys
}

// maxQuoted bounds how much of a wrong value a mistake repeats, in bytes.
const maxQuoted = 60

func (f Field[T]) quote(value string) string {
	if f.Hidden {
		return "the value"
	}
	if len(value) > maxQuoted {
		value = strings.ToValidUTF8(value[:maxQuoted], "") + "..."
	}
	return `"` + value + `"`
}
