package event

import (
	"bytes"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md")

const (
	root = "../.."
	page = root + "/docs/EVENTS.md"
)

// render returns the text of docs/EVENTS.md.
func render() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEach log line of a daemon is one JSON object whose `event` field holds a number from this list.\n")
	b.WriteString("The meaning of a number never changes. Written by `go test ./monitor/event -update`.\n\n")
	b.WriteString("| event | name | level | meaning |\n| --- | --- | --- | --- |\n")
	for _, e := range All() {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", e.ID(), e.Name, e.Level, e.Meaning)
	}
	return b.String()
}

func TestPageMatchesCatalogue(t *testing.T) {
	if *update {
		if err := os.WriteFile(page, []byte(render()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != render() {
		t.Errorf("%s differs from the catalogue; run go test ./monitor/event -update", page)
	}
}

func TestNumbersAndNamesAreUnique(t *testing.T) {
	kebab := regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)
	numbers, names := map[int]bool{}, map[string]bool{}
	for _, e := range All() {
		if numbers[e.Number] || names[e.Name] {
			t.Errorf("%s %s is listed twice", e.ID(), e.Name)
		}
		numbers[e.Number], names[e.Name] = true, true
		if e.Number < 1000 || e.Number >= 8000 || !kebab.MatchString(e.Name) || !strings.HasSuffix(e.Meaning, ".") {
			t.Errorf("%s %q: want a number from 1000 to 7999, a kebab-case name and a meaning that is a sentence", e.ID(), e.Name)
		}
	}
}

// Guards against event numbers written as literals in other packages: docs/EVENTS.md would not list them.
func TestNoNumbersOutsideTheCatalogue(t *testing.T) {
	literal := regexp.MustCompile(`"BP-[0-9]+"`)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if n := literal.Find(text); n != nil && !strings.HasPrefix(path, root+"/monitor/event/") {
			t.Errorf("%s contains the literal event number %s; use package event", path, n)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestLogLine(t *testing.T) {
	var b bytes.Buffer
	logger := zerolog.New(&b)
	Ejected.Log(&logger).Str("reason", "slow").Send()
	want := `{"level":"warn","event":"BP-4001","message":"ejected","reason":"slow"}` + "\n"
	if b.String() != want {
		t.Errorf("got %s, want %s", b.String(), want)
	}
}

// Guards against catalogue entries that no code logs: docs/EVENTS.md would list an event that never occurs.
func TestEachEventIsLogged(t *testing.T) {
	catalogue, err := os.ReadFile("catalogue.go")
	if err != nil {
		t.Fatal(err)
	}
	var code bytes.Buffer
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		code.Write(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range regexp.MustCompile(`(?m)^\t([A-Z]\w+) += \w+\(`).FindAllSubmatch(catalogue, -1) {
		if !regexp.MustCompile(`event\.` + string(name[1]) + `\b`).Match(code.Bytes()) {
			t.Errorf("event %s is never logged", name[1])
		}
	}
}
