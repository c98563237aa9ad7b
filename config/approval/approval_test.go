package approval

import (
	"errors"
	"testing"

	"berylpass/config/manifest"
	"berylpass/config/mistake"
	"berylpass/config/signature"
)

func TestParseRestoresApproval(t *testing.T) {
	a := New(7, manifest.Digest{1, 2}).
		With(signature.Signature{Owner: "ola", Bytes: []byte("first")}).
		With(signature.Signature{Owner: "marek", Bytes: []byte("other")}).
		With(signature.Signature{Owner: "ola", Bytes: []byte("second")})
	parsed, err := Parse("7.ini.signed", a.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if string(parsed.Encode()) != string(a.Encode()) || len(parsed.Owners()) != 2 || parsed.Digest != a.Digest || parsed.Revision != 7 {
		t.Errorf("got %+v, want %+v", parsed, a)
	}
}

// TestParseReportsAllMistakes checks that Parse reports all four mistakes of a file: a
// negative revision, a missing digest, a malformed signature and an unknown section.
func TestParseReportsAllMistakes(t *testing.T) {
	_, err := Parse("x", []byte("[manifest]\nrevision = -1\n[signatures]\nola = ?\n[weather]\n"))
	var found mistake.List
	if !errors.As(err, &found) || len(found) != 4 {
		t.Errorf("got %v, want 4 mistakes", err)
	}
}
