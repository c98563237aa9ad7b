// Package field declares the keys of an INI section in a table: for each key its name, its
// default, which values are allowed and where the value is stored.
//
// One table serves to read a section, to report every mistake in it and to write the
// reference page. T is the type whose fields a section sets.
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

// Field describes one key of a section.
type Field[T any] struct {
	Key string
	// Allowed says which values are allowed, in the words of mistakes and the reference page.
	Allowed string
	// Meaning explains the key on the reference page.
	Meaning string
	// Default is the value if the key is absent; empty for none.
	Default string
	// Required reports whether the key must be given.
	Required bool
	// Hidden reports whether mistakes leave the value out, since it is secret.
	Hidden bool
	// Set stores a value in target if it is allowed, and reports whether it is.
	Set func(target *T, value string) bool
}

// WithDefault returns a copy with a default value.
func (f Field[T]) WithDefault(value string) Field[T] {
	f.Default = value
	return f
}

// WithMeaning returns a copy with the explanation text.
func (f Field[T]) WithMeaning(text string) Field[T] {
	f.Meaning = text
	return f
}

// WithRequired returns a copy that must be given.
func (f Field[T]) WithRequired() Field[T] {
	f.Required = true
	return f
}

// WithHidden returns a copy whose value mistakes leave out.
func (f Field[T]) WithHidden() Field[T] {
	f.Hidden = true
	return f
}

// Table describes the keys of a section.
type Table[T any] []Field[T]

// Defaults sets the fields of target whose keys have a default.
func (t Table[T]) Defaults(target *T) {
	for _, f := range t {
		if f.Default != "" {
			f.Set(target, f.Default)
		}
	}
}

// Read sets the fields of target from the section and returns every mistake in it. Fields
// whose key is missing or whose value is not allowed keep their value.
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

// maxQuoted is the largest number of bytes of a wrong value that a mistake quotes.
const maxQuoted = 60

// quote returns the value in quotes, cut to maxQuoted bytes, or only "the value" if it is
// hidden.
func (f Field[T]) quote(value string) string {
	if f.Hidden {
		return "the value"
	}
	if len(value) > maxQuoted {
		value = strings.ToValidUTF8(value[:maxQuoted], "") + "..."
	}
	return `"` + value + `"`
}
