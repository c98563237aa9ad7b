// Package mistake describes the mistakes in a file that an operator has written.
//
// A check collects all mistakes and reports them at once, each with its file, section and
// key and a text that says what is wrong and what is allowed.
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

// ErrInvalid is the error that errors.Is finds in every List.
var ErrInvalid = errors.New("invalid file")

// Mistake is one mistake in a file. Section and Key are empty if it concerns the whole file,
// and Key is empty if it concerns the whole section.
type Mistake struct {
	File    string `json:"file"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Text says what is wrong and what is allowed.
	Text string `json:"text"`
}

// String returns the mistake in the form file: [section] key: text.
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

// List is the list of the mistakes that a check has found. It is an error.
type List []Mistake

// With returns a list with one more mistake; l stays as it is.
func (l List) With(file, section, key, text string) List {
	return append(l[:len(l):len(l)], Mistake{File: file, Section: section, Key: key, Text: text})
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns the mistakes, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, m := range l {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (l List) Is(target error) bool { return target == ErrInvalid }
