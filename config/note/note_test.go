package note

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"berylpass/config/field"
	"berylpass/config/mistake"
	"berylpass/config/rules"
	"berylpass/config/snapshot"
)

var update = flag.Bool("update", false, "write golden files and docs/RELEASE-NOTES.md")

// TestMain fixes rapid's seed and number of checks, unless the command line names them. For a
// longer run: go test ./config/note -rapid.seed=0 -rapid.checks=20000.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "200")
	os.Exit(m.Run())
}

// checkGolden checks that file holds got, after it has written it if -update is given.
func checkGolden(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs (-update writes it); got:\n%s", file, got)
	}
}

// loadNote parses a note in testdata.
func loadNote(t *testing.T, name string) (Note, error) {
	t.Helper()
	text, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return Parse(name, text)
}

// applyNote applies a note in testdata to base.
func applyNote(t *testing.T, name string, base snapshot.Snapshot) snapshot.Snapshot {
	t.Helper()
	n, err := loadNote(t, name)
	if err != nil {
		t.Fatal(err)
	}
	next, err := n.Apply(base)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// describe returns s as text in a fixed order.
func describe(s snapshot.Snapshot) string {
	var b strings.Builder
	fmt.Fprintln(&b, "revision", s.Revision)
	for _, name := range slices.Sorted(maps.Keys(s.Datacentres)) {
		fmt.Fprintf(&b, "datacentre %+v\n", s.Datacentres[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		fmt.Fprintf(&b, "service %+v\n", s.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		fmt.Fprintf(&b, "route %+v\n", s.Routes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Organisations)) {
		o := s.Organisations[name]
		fmt.Fprintf(&b, "organisation %s rate %g burst %d\n", name, o.Rate, o.Burst)
		for _, k := range o.Keys {
			fmt.Fprintf(&b, "  key %s %x\n", k.ID, k.Digest)
		}
	}
	return b.String()
}

// TestNotesMakeRevisions checks the revisions that two notes make, and that the second leaves
// the snapshot that it is based on unchanged.
func TestNotesMakeRevisions(t *testing.T) {
	first := applyNote(t, "first.ini", snapshot.New(0))
	before := describe(first)
	second := applyNote(t, "second.ini", first)
	if describe(first) != before {
		t.Error("the second note changed the snapshot of the first")
	}
	checkGolden(t, "testdata/revisions.txt", before+"\n"+describe(second))
}

// TestMalformedNoteReportsEveryMistake checks that Parse reports all mistakes of a note at
// once.
func TestMalformedNoteReportsEveryMistake(t *testing.T) {
	_, err := loadNote(t, "malformed.ini")
	checkGolden(t, "testdata/malformed.txt", fmt.Sprintln(err))
}

// TestInconsistentNoteReportsEveryMistake checks that Apply reports at once all changes that
// don't fit the base revision and all rules that the new revision breaks.
func TestInconsistentNoteReportsEveryMistake(t *testing.T) {
	first := applyNote(t, "first.ini", snapshot.New(0))
	n, err := loadNote(t, "inconsistent.ini")
	if err != nil {
		t.Fatal(err)
	}
	_, err = n.Apply(first)
	if !errors.Is(err, mistake.ErrInvalid) {
		t.Errorf("got %v, want mistakes", err)
	}
	checkGolden(t, "testdata/inconsistent.txt", fmt.Sprintln(err))
}

// TestAnotherBaseIsRefused checks that a note is only applied to the revision that it names.
func TestAnotherBaseIsRefused(t *testing.T) {
	n, err := loadNote(t, "second.ini")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := n.Apply(snapshot.New(0)); !errors.Is(err, ErrBase) {
		t.Errorf("got %v, want ErrBase", err)
	}
}

// TestDraftParsesAsNote checks that a draft is a valid note without changes.
func TestDraftParsesAsNote(t *testing.T) {
	text := Draft(6, "Spring term")
	n, err := Parse("draft.ini", []byte(text))
	if err != nil || n.Base != 6 || n.Title != "Spring term" || len(n.Changes) != 0 {
		t.Errorf("got %+v, %v", n, err)
	}
	checkGolden(t, "testdata/draft.ini", text)
}

// TestNotesAgreeWithAModel applies random notes and compares them with a set of the names
// that exist: a note must be accepted if and only if each of its changes fits the set and no
// name has two changes.
func TestNotesAgreeWithAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, names := snapshot.New(0), map[string]bool{}
		for range rapid.IntRange(1, 10).Draw(t, "notes") {
			text := fmt.Sprintf("[note]\nbase = %d\ntitle = x\n", s.Revision)
			next, allowed, used := maps.Clone(names), true, map[string]bool{}
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
				verb := rapid.SampledFrom([]string{Added, Changed, Withdrawn}).Draw(t, "verb")
				text += fmt.Sprintf("[%s organisation %q]\n", verb, name)
				if verb != Withdrawn {
					text += "rate = 1\nburst = 1\n"
				}
				allowed = allowed && !used[name] && names[name] == (verb != Added)
				used[name] = true
				next[name] = verb != Withdrawn
			}
			n, err := Parse("x.ini", []byte(text))
			if err == nil {
				var applied snapshot.Snapshot
				if applied, err = n.Apply(s); err == nil {
					s, names = applied, next
				}
			}
			if (err == nil) != allowed {
				t.Fatalf("allowed %v, got %v for\n%s", allowed, err, text)
			}
			for name, exists := range names {
				if _, ok := s.Organisations[name]; ok != exists {
					t.Fatalf("organisation %s exists: %v, want %v", name, ok, exists)
				}
			}
		}
	})
}

// writeTable writes the part of docs/RELEASE-NOTES.md for the keys of one kind.
func writeTable[T any](b *strings.Builder, kind string, table field.Table[T]) {
	fmt.Fprintf(b, "\n## %s\n\n| key | meaning | allowed | default |\n| --- | --- | --- | --- |\n", kind)
	for _, f := range table {
		defaultText := f.Default
		if f.Required {
			defaultText = "required when added"
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", f.Key, f.Meaning, f.Allowed, defaultText)
	}
}

// TestReleaseNotesPageIsCurrent checks that docs/RELEASE-NOTES.md lists the keys as the tables
// have them.
func TestReleaseNotesPageIsCurrent(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Release notes\n\nA release note is an INI file that says what is added, changed and withdrawn on a base revision.\n")
	b.WriteString("`[note]` holds `base`, the revision in force (0 for the first note), and `title`. Each other section names one item once:\n\n")
	b.WriteString("    [added KIND \"NAME\"]\n    [changed KIND \"NAME\"]\n    [withdrawn KIND \"NAME\"]\n\n")
	b.WriteString("What is added must not exist; what is changed or withdrawn must. A changed section lists the keys that change,\n")
	b.WriteString("a withdrawn one none. Withdrawing an organisation withdraws its keys. The order of sections is free.\n")
	b.WriteString("A key is named `ORGANISATION/ID` and is added or withdrawn, never changed. Written by `go test ./config/note -update`.\n")
	writeTable(&b, rules.Datacentre, datacentres.table)
	writeTable(&b, rules.Service, services.table)
	writeTable(&b, rules.Route, routes.table)
	writeTable(&b, rules.Organisation, organisations.table)
	writeTable(&b, rules.Key, keyTable)
	checkGolden(t, "../../docs/RELEASE-NOTES.md", b.String())
}

// FuzzParse checks that any text is either a valid note or reported as mistakes, and that a
// note that Apply accepts breaks no rule.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"first.ini", "second.ini", "malformed.ini", "inconsistent.ini"} {
		text, err := os.ReadFile("testdata/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := Parse("x.ini", text)
		if err != nil {
			if !errors.Is(err, mistake.ErrInvalid) {
				t.Fatalf("got %v, want mistakes", err)
			}
			return
		}
		s, err := n.Apply(snapshot.New(n.Base))
		if err == nil && len(rules.Check(s)) > 0 {
			t.Fatal("an accepted note breaks a rule")
		}
	})
}
