package note

import (
	"fmt"
	"strings"

	"berylpass/config/field"
)

// Draft returns the text of a note without changes on the base revision, with an example
// section of each kind in comments.
func Draft(base uint64, title string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[note]\nbase = %d\ntitle = %s\n\n", base, title)
	b.WriteString("# One section for each item: [added KIND \"NAME\"], [changed KIND \"NAME\"] with the\n")
	b.WriteString("# keys that change, or [withdrawn KIND \"NAME\"] without keys. For example:\n")
	for _, kind := range kindOrder {
		name := `"NAME"`
		if kind == "key" {
			name = `"ORGANISATION/ID"`
		}
		fmt.Fprintf(&b, "#\n# [added %s %s]\n", kind, name)
		for _, line := range example(kind) {
			b.WriteString("# " + line + "\n")
		}
	}
	return b.String()
}

// example returns the lines of an example section of a kind.
func example(kind string) []string {
	switch kind {
	case "datacentre":
		return exampleLines(datacentres.table)
	case "service":
		return exampleLines(services.table)
	case "route":
		return exampleLines(routes.table)
	case "organisation":
		return exampleLines(organisations.table)
	}
	return exampleLines(keyTable)
}

// exampleLines returns a line for each key with its default, or that it is required, and its
// meaning.
func exampleLines[T any](table field.Table[T]) []string {
	text := make([]string, len(table))
	for i, f := range table {
		value := f.Default
		if f.Required {
			value = "(required)"
		}
		text[i] = fmt.Sprintf("%s = %s  # %s", f.Key, value, f.Meaning)
	}
	return text
}
