package leg

import (
	"errors"
	"io"
	"os"
	"strconv"
	"strings"
	"testing"
)

// readAnswers returns the raw answers of a file of the package answer, by their names. They answer a request for "/".
func readAnswers(t *testing.T, file string) map[string]string {
	t.Helper()
	text, err := os.ReadFile("../answer/testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	answers := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, quoted, _ := strings.Cut(strings.TrimSpace(line), ": ")
		raw, err := strconv.Unquote(quoted)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		answers[name] = raw
	}
	return answers
}

// TestMalformedAnswersAreUnknown lets a backend server send bytes that are no answer, on a new and on a kept connection.
// No part of them may come as an answer, and their connection must not be used again.
func TestMalformedAnswersAreUnknown(t *testing.T) {
	for name, raw := range readAnswers(t, "malformed.txt") {
		t.Run(name, func(t *testing.T) {
			s := startBackend(t, func(w io.Writer, r received) bool {
				if r.RequestURI == "/" {
					io.WriteString(w, raw)
					return false
				}
				io.WriteString(w, answerTo(r))
				return true
			})
			l := New(WithDialect(namingDialect{}))
			defer l.Close()
			for _, connections := range []int64{1, 2} {
				answer, err := run(t, l, s, get("/"))
				if !errors.Is(err, ErrUnknown) {
					t.Errorf("got %d %v %q, %v; want ErrUnknown", answer.Status, answer.Header, answer.Body, err)
				}
				runAll(t, l, s, 1)
				if n := s.conns.Load(); n != connections+1 {
					t.Errorf("%d connections, want %d", n, connections+1)
				}
			}
		})
	}
}

// TestUncommonAnswersAreWhole checks that answers are taken whose form is uncommon but allowed.
func TestUncommonAnswersAreWhole(t *testing.T) {
	for name, raw := range readAnswers(t, "uncommon.txt") {
		t.Run(name, func(t *testing.T) {
			s := startBackend(t, func(w io.Writer, _ received) bool {
				io.WriteString(w, raw)
				return true
			})
			l := New(WithDialect(namingDialect{}))
			defer l.Close()
			for range 2 {
				answer, err := run(t, l, s, get("/"))
				if err != nil || string(answer.Body) != "yes" {
					t.Fatalf("got %d %v %q, %v", answer.Status, answer.Header, answer.Body, err)
				}
			}
		})
	}
}
