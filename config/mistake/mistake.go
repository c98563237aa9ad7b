// Package mistake describes what is wrong with a file that an operator wrote.
//
// Checks collect mistakes and report them all at once, each with the file,
// section and key it stands in and a sentence that says what is allowed.
//
// # Usage
//
//	var found mistake.List
//	found = found.With("daemon.ini", "listen", "callers", "want IP:port")
//	return found.Err()
package mistake

import (
	"errors"
	"strings"
)

// ErrInvalid is what errors.Is finds in every List.
var ErrInvalid = errors.New("invalid file")

// Mistake is one thing that is wrong. Section and Key may be empty.
type Mistake struct {
	File    string `json:"file"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Text says what is wrong and what is allowed.
	Text string `json:"text"`
}

// String returns file: [section] key: text.
func (m Mistake) String() string {
	var b strings.Builder
	b.WriteString(m.File + ": ")
	if m.Section != "" {
		b.WriteString("[" + m.Section + "] ")
	}
	if m.Key != "" {
		b.WriteString(m.Key + ": ")
	}
	b.WriteString(m.Text)
	return b.String()
}

// List is the mistakes of one check, in the order of the file.
type List []Mistake

// With returns the list with one more mistake.
func (l List) With(file, section, key, text string) List {
	return append(l[:len(l):len(l)], Mistake{File: file, Section: section, Key: key, Text: text})
}

// Err returns the list as an error, nil for an empty list.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns one mistake a line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, m := range l {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(l, ErrInvalid) true.
func (l List) Is(target error) bool { return target == ErrInvalid }
