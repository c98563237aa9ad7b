// Package document reads INI files strictly.
//
// It keeps the order of the file, takes values literally (no interpolation, no
// inheritance between sections) and reports what a lenient reader would ignore:
// keys outside a section, and sections or keys that are given twice. A comment
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

// MaxSize is the largest size of a file in bytes.
const MaxSize = 8 << 20

// Entry is one key and its value.
type Entry struct {
	Key   string
	Value string
}

// Section is one section of a file with its keys in order.
type Section struct {
	Name    string
	Entries []Entry
}

// Document is a file with its sections in order.
type Document struct {
	File     string
	Sections []Section
}

// Parse reads the text of a file; the name file appears in the mistakes. If a section or a
// key is given twice, the document holds the first, and a mistake names it.
func Parse(file string, text []byte) (Document, mistake.List) {
	d := Document{File: file}
	if len(text) > MaxSize {
		return d, mistake.List{}.With(file, "", "", fmt.Sprintf("the file has %d bytes; allowed are at most %d", len(text), MaxSize))
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

// options returns the options that make the INI reader strict.
func options() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		KeyValueDelimiters:         "=",
		// Parse refuses text with a zero byte, so no section name contains one, and sections
		// don't inherit from each other.
		ChildSectionDelimiter: "\x00",
	}
}

// convert fills d from the parsed file and returns its mistakes.
func convert(d Document, parsed *ini.File) (Document, mistake.List) {
	var found mistake.List
	seen := map[string]bool{}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				found = found.With(d.File, "", k.Name(), "the key is in no section; allowed are keys after a [section] line")
			}
			continue
		}
		if seen[s.Name()] {
			found = found.With(d.File, s.Name(), "", "the section is given twice; allowed is once")
			continue
		}
		seen[s.Name()] = true
		section := Section{Name: s.Name()}
		for _, k := range s.Keys() {
			if len(k.ValueWithShadows()) > 1 {
				found = found.With(d.File, s.Name(), k.Name(), "the key is given twice; allowed is once")
			}
			section.Entries = append(section.Entries, Entry{Key: k.Name(), Value: k.Value()})
		}
		d.Sections = append(d.Sections, section)
	}
	return d, found
}
