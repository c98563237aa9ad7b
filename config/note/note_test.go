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

// For a longer run: go test ./config/note -rapid.seed=0 -rapid.checks=20000.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "200")
	os.Exit(m.Run())
}

func golden(t *testing.T, file, got string) {
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

func load(t *testing.T, name string) (Note, error) {
	t.Helper()
	text, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return Parse(name, text)
}

func apply(t *testing.T, name string, base snapshot.Snapshot) snapshot.Snapshot {
	t.Helper()
	n, err := load(t, name)
	if err != nil {
		t.Fatal(err)
	}
	next, err := n.Apply(base)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

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

func TestTwoRevisions(t *testing.T) {
	first := apply(t, "first.ini", snapshot.New(0))
	before := describe(first)
	second := apply(t, "second.ini", first)
	if describe(first) != before {
		t.Error("the second note changed the snapshot of the first")
	}
	golden(t, "testdata/revisions.txt", before+"\n"+describe(second))
}

func TestMalformedNoteReportsEveryMistake(t *testing.T) {
	_, err := load(t, "malformed.ini")
	golden(t, "testdata/malformed.txt", fmt.Sprintln(err))
}

func TestInconsistentNoteReportsEveryMistake(t *testing.T) {
	first := apply(t, "first.ini", snapshot.New(0))
	n, err := load(t, "inconsistent.ini")
	if err != nil {
		t.Fatal(err)
	}
	_, err = n.Apply(first)
	if !errors.Is(err, mistake.ErrInvalid) {
		t.Errorf("got %v, want mistakes", err)
	}
	golden(t, "testdata/inconsistent.txt", fmt.Sprintln(err))
}

func TestAnotherBaseIsRefused(t *testing.T) {
	n, err := load(t, "second.ini")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := n.Apply(snapshot.New(0)); !errors.Is(err, ErrBase) {
		t.Errorf("got %v, want ErrBase", err)
	}
}

func TestDraftIsANote(t *testing.T) {
	text := Draft(6, "Spring term")
	n, err := Parse("draft.ini", []byte(text))
	if err != nil || n.Base != 6 || n.Title != "Spring term" || len(n.Changes) != 0 {
		t.Errorf("got %+v, %v", n, err)
	}
	golden(t, "testdata/draft.ini", text)
}

// Random notes against a set of names: a note is accepted if and only if the set
// allows each of its changes.
func TestNotesFollowASetOfNames(t *testing.T) {
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

func page[T any](b *strings.Builder, kind string, table field.Table[T]) {
	fmt.Fprintf(b, "\n## %s\n\n| key | meaning | allowed | default |\n| --- | --- | --- | --- |\n", kind)
	for _, f := range table {
		standard := f.Default
		if f.Required {
			standard = "required when added"
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", f.Key, f.Meaning, f.Allowed, standard)
	}
}

func TestPageMatchesTables(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Release notes\n\nA release note is an INI file that says what is added, changed and withdrawn on a base revision.\n")
	b.WriteString("`[note]` holds `base`, the revision in force (0 for the first note), and `title`. Each other section names one item once:\n\n")
	b.WriteString("    [added KIND \"NAME\"]\n    [changed KIND \"NAME\"]\n    [withdrawn KIND \"NAME\"]\n\n")
	b.WriteString("What is added must not exist; what is changed or withdrawn must. A changed section lists the keys that change,\n")
	b.WriteString("a withdrawn one none. Withdrawing an organisation withdraws its keys. The order of sections is free.\n")
	b.WriteString("A key is named `ORGANISATION/ID` and is added or withdrawn, never changed. Written by `go test ./config/note -update`.\n")
	page(&b, rules.Datacentre, datacentres.table)
	page(&b, rules.Service, services.table)
	page(&b, rules.Route, routes.table)
	page(&b, rules.Organisation, organisations.table)
	page(&b, rules.Key, keyTable)
	golden(t, "../../docs/RELEASE-NOTES.md", b.String())
}

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
