package manifest

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/snapshot"
)

// large returns a snapshot with the given numbers of organisations and routes.
func large(organisations, routes int) snapshot.Snapshot {
	s := snapshot.New(7)
	for i := range organisations {
		name := fmt.Sprintf("organisation-of-parish-%05d", i)
		s.Organisations[name] = organisation.New(name).WithLimit(3.6, 20)
	}
	for i := range routes {
		name := fmt.Sprintf("route-%04d", i)
		s.Routes[name] = route.New(name, "catalogue-desk")
	}
	return s.Index()
}

// TestParseRestoresManifest checks that Parse restores an encoded manifest, and that the
// manifest of 14,000 organisations and 2,500 routes is small enough to distribute.
func TestParseRestoresManifest(t *testing.T) {
	m, chunks, err := New(large(14000, 2500), Digest{1}, []byte("note"))
	if err != nil {
		t.Fatal(err)
	}
	text := m.Encode()
	t.Logf("%d chunks, manifest of %d bytes", len(chunks), len(text))
	// Each change of the configuration transfers the manifest to each daemon: at 1,800
	// changes a day that must take at most half of the 2 KB per second for control traffic.
	if perSecond := float64(len(text)) * 1800 / 86400; perSecond > 1024 {
		t.Errorf("manifests take %.0f bytes per second, want at most 1024", perSecond)
	}
	parsed, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(parsed.Encode(), text) || parsed.Digest() != m.Digest() {
		t.Error("parsed manifest differs from the encoded one")
	}
}

func TestDigestCoversEveryPart(t *testing.T) {
	s := large(2, 1)
	seen := map[Digest]string{}
	for name, make := range map[string]func() (Manifest, error){
		"same":     func() (Manifest, error) { m, _, err := New(s, Digest{}, []byte("note")); return m, err },
		"revision": func() (Manifest, error) { m, _, err := New(s.WithRevision(8), Digest{}, []byte("note")); return m, err },
		"base":     func() (Manifest, error) { m, _, err := New(s, Digest{1}, []byte("note")); return m, err },
		"note":     func() (Manifest, error) { m, _, err := New(s, Digest{}, []byte("other")); return m, err },
		"content": func() (Manifest, error) {
			m, _, err := New(s.WithOrganisation(organisation.New("x")), Digest{}, []byte("note"))
			return m, err
		},
	} {
		m, err := make()
		if err != nil {
			t.Fatal(err)
		}
		if other, ok := seen[m.Digest()]; ok {
			t.Errorf("%s and %s have the same digest", name, other)
		}
		seen[m.Digest()] = name
	}
}

// TestParseRejectsOtherEncodings checks that Parse accepts only the canonical encoding: a
// signed manifest must have a single form.
func TestParseRejectsOtherEncodings(t *testing.T) {
	m, _, err := New(large(2, 1), Digest{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	text := string(m.Encode())
	for name, bad := range map[string]string{
		"empty":   "",
		"space":   " " + text,
		"field":   strings.Replace(text, `{"revision"`, `{"weather":1,"revision"`, 1),
		"kind":    strings.Replace(text, `"chunks":{`, `"chunks":{"weather":{},`, 1),
		"bucket":  strings.Replace(text, `"route":{"`, `"route":{"0`, 1),
		"digest":  strings.Replace(text, `"base":"A`, `"base":"`, 1),
		"number":  strings.Replace(text, `"revision":7`, `"revision":-7`, 1),
		"padding": strings.Repeat(" ", 2<<20),
	} {
		if _, err := Parse([]byte(bad)); bad == text || !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got %v, want ErrMalformed", name, err)
		}
	}
}

// FuzzParse checks that Parse accepts only bytes that Encode returns.
func FuzzParse(f *testing.F) {
	m, _, err := New(large(2, 1), Digest{}, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(m.Encode())
	f.Fuzz(func(t *testing.T, text []byte) {
		if m, err := Parse(text); err == nil && !bytes.Equal(m.Encode(), text) {
			t.Error("Parse accepted a non-canonical encoding")
		}
	})
}
