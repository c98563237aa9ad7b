package page

import (
	"bytes"
	"flag"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"

	"berylpass/monitor/burn"
	"berylpass/operate/burn/report"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// writePage returns the page of a snapshot.
func writePage(t *testing.T, s burn.Snapshot) string {
	t.Helper()
	var b bytes.Buffer
	if err := Write(&b, report.New(s)); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestPageMatchesGoldenFile(t *testing.T) {
	f, err := os.Open("../../../monitor/burn/testdata/morning.json")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, err := burn.Parse(f)
	if err != nil {
		t.Fatal(err)
	}
	got := writePage(t, s)
	const file = "testdata/morning.html"
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
		t.Errorf("%s differs from the page (rewrite it with -update)", file)
	}
	if n := strings.Count(got, "<svg"); n != 3 {
		t.Errorf("page has %d plots, want 3", n)
	}
}

// TestPageHasNoExternalResourcesOrScripts puts markup into the names of a route and an organisation, which the page
// must escape.
func TestPageHasNoExternalResourcesOrScripts(t *testing.T) {
	got := writePage(t, burn.Snapshot{
		Routes: []burn.Route{{Name: `<script src="http://x.example/">`}},
		Series: []burn.Series{{Route: `"><img src=x>`, Organisation: `<img src="http://x.example/">`, NotRun: 3}},
	})
	if found := regexp.MustCompile(`(?i)<(script|link|img|iframe|object|embed|image|use)\b|\b(src|href)\s*=\s*["']|@import|url\(`).FindString(got); found != "" {
		t.Errorf("page contains %q", found)
	}
}

// FuzzWrite checks that no snapshot that parses makes WriteText or Write fail, merged with itself. The second seed has
// the earliest and the latest time that JSON can hold on one timeline.
func FuzzWrite(f *testing.F) {
	text, err := os.ReadFile("../../../monitor/burn/testdata/morning.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"taken":"2026-01-01T00:00:00Z","routes":[{"name":"a","timeline":[{"start":"0001-01-01T00:00:00Z","good":1},{"start":"9999-01-01T00:00:00Z","bad":1}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := burn.Parse(bytes.NewReader(text))
		if err != nil {
			return
		}
		r := report.New(burn.Merge(s, s))
		if err := r.WriteText(io.Discard, 10); err != nil {
			t.Error(err)
		}
		if err := Write(io.Discard, r); err != nil {
			t.Error(err)
		}
	})
}
