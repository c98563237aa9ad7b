// Package document reads INI files strictly.
//
// It keeps the order of the file, takes values literally (no interpolation, no
// inheritance between sections) and reports what a lenient reader would pass
// over: keys outside a section, and sections or keys that stand twice. A comment
// starts with # or ; at the start of a line or after a space.
//
// # Usage
//
//	d, mistakes := document.Parse("daemon.ini", text)
//	for _, section := range d.Sections { ... }
package document

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"berylpass/config/mistake"
)

// MaxSize is the largest file in bytes.
const MaxSize = 8 << 20

// Entry is one key and its value.
type Entry struct {
	Key   string
	Value string
}

// Section is one section of a file.
type Section struct {
	Name    string
	Entries []Entry
}

// Document is a whole file.
type Document struct {
	File     string
	Sections []Section
}

// Parse reads a file. The document holds the first of sections and keys that
// stand twice; the mistakes name the others.
func Parse(file string, text []byte) (Document, mistake.List) {
	d := Document{File: file}
	if len(text) > MaxSize {
		return d, mistake.List{}.With(file, "", "", fmt.Sprintf("the file has %d bytes; allowed are %d", len(text), MaxSize))
	}
	if !utf8.Valid(text) || strings.ContainsRune(string(text), 0) {
		return d, mistake.List{}.With(file, "", "", "the file is not UTF-8 text")
	}
	parsed, err := ini.LoadSources(options(), text)
	if err != nil {
		return d, mistake.List{}.With(file, "", "", "not an INI file: "+strings.TrimSpace(err.Error())+"; allowed are [section], key = value and # comment")
	}
	return convert(d, parsed)
}

func options() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		KeyValueDelimiters:         "=",
		// Not in any section name, so that sections don't inherit from each other.
		ChildSectionDelimiter: "\x00",
	}
}

func convert(d Document, parsed *ini.File) (Document, mistake.List) {
	var found mistake.List
	seen := map[string]bool{}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				found = found.With(d.File, "", k.Name(), "the key stands in no section; allowed are keys after a [section] line")
			}
			continue
		}
		if seen[s.Name()] {
			found = found.With(d.File, s.Name(), "", "the section stands twice; allowed is once")
			continue
		}
		seen[s.Name()] = true
		section := Section{Name: s.Name()}
		for _, k := range s.Keys() {
			if len(k.ValueWithShadows()) > 1 {
				found = found.With(d.File, s.Name(), k.Name(), "the key stands twice; allowed is once")
			}
			section.Entries = append(section.Entries, Entry{Key: k.Name(), Value: k.Value()})
		}
		d.Sections = append(d.Sections, section)
	}
	return d, found
}
