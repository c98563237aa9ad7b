package page

import (
	"bytes"
	"flag"
	"os"
	"regexp"
	"strings"
	"testing"

	"berylpass/operate/burn"
	"berylpass/operate/burn/report"
)

var update = flag.Bool("update", false, "write golden files")

func write(t *testing.T, s burn.Snapshot) string {
	t.Helper()
	var b bytes.Buffer
	if err := Write(&b, report.New(s)); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestPageOfAMorning(t *testing.T) {
	f, err := os.Open("../testdata/morning.json")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, err := burn.Parse(f)
	if err != nil {
		t.Fatal(err)
	}
	got := write(t, s)
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
		t.Errorf("%s differs (-update writes it)", file)
	}
	if n := strings.Count(got, "<svg"); n != 3 {
		t.Errorf("%d plots, want 3", n)
	}
}

func TestPageLoadsNothingAndRunsNothing(t *testing.T) {
	got := write(t, burn.Snapshot{
		Routes: []burn.Route{{Name: `<script src="http://x.example/">`}},
		Series: []burn.Series{{Route: `"><img src=x>`, Organisation: `<img src="http://x.example/">`, NotRun: 3}},
	})
	if found := regexp.MustCompile(`(?i)<(script|link|img|iframe|object|embed|image|use)\b|\b(src|href)\s*=\s*["']|@import|url\(`).FindString(got); found != "" {
		t.Errorf("the page holds %q", found)
	}
}
