package examples_test

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"berylpass/config/archive"
	"berylpass/config/settings"
	"berylpass/config/signature"
	"berylpass/operate/command"
	"berylpass/platform/client"
	"berylpass/platform/standin"
	"berylpass/store/memory"
)

// lostResponses is the number of writes per publication whose responses are lost.
const lostResponses = 3

// deployments holds the example deployments: folder, the two owners who sign, and the
// number of organisations after all notes are published.
var deployments = []struct {
	folder, owner, other string
	organisations        int
}{
	{"kretowisko", "ola", "marek", 8},
	{"blue-mahoe", "carol", "devon", 8},
}

// runCommand runs a command of the operators' tool with the given store, and fails the
// test unless it succeeds.
func runCommand(t *testing.T, store archive.Store, args ...string) {
	t.Helper()
	var out bytes.Buffer
	c := command.New(command.Environment{
		Stdout: io.Discard, Stderr: &out,
		Store: func(settings.Platform) archive.Store { return store },
	})
	if code := c.Run(t.Context(), args); code != command.ExitSuccess {
		t.Fatalf("%v: exit code %d: %s", args, code, out.String())
	}
}

// matchFiles returns the files that match a pattern, of which there must be one at least.
func matchFiles(t *testing.T, pattern string) []string {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no files match %q: %v", pattern, err)
	}
	return files
}

func TestSettingsAndNotesAreAccepted(t *testing.T) {
	for _, d := range deployments {
		for _, file := range matchFiles(t, d.folder+"/*-1.ini") {
			runCommand(t, nil, "check", file)
		}
		runCommand(t, nil, "check", "--operator", d.folder+"/operator.ini")
		runCommand(t, nil, append([]string{"note", "check"}, matchFiles(t, d.folder+"/[1-9]-*.ini")...)...)
	}
}

// TestNotesAreSignedAndPublished publishes over HTTP. The responses to the first writes of
// each publication are lost, so that the writes must be retried without harm.
func TestNotesAreSignedAndPublished(t *testing.T) {
	for _, d := range deployments {
		folder, err := filepath.Abs(d.folder)
		if err != nil {
			t.Fatal(err)
		}
		platform, err := standin.New("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer platform.Close()
		store := client.New("http://"+platform.Address(), client.WithSeed(1), client.WithBackoff(time.Millisecond))
		defer store.Close()
		workDir := t.TempDir()
		if err := os.CopyFS(workDir, os.DirFS(folder)); err != nil {
			t.Fatal(err)
		}
		settings := workDir + "/operator.ini"
		notes := matchFiles(t, workDir+"/[1-9]-*.ini")
		for _, file := range notes {
			for _, owner := range []string{d.owner, d.other} {
				runCommand(t, store, "note", "sign", "-s", settings, "--owner", owner, "--key", fmt.Sprintf("%s/%s.key", workDir, owner), file)
			}
			platform.Store().SetFaults(memory.Faults{LoseAnswers: lostResponses})
			runCommand(t, store, "note", "publish", "-s", settings, file)
		}
		checkPublished(t, store, settings, uint64(len(notes)), d.organisations)
	}
}

// checkPublished checks the revision and the number of organisations of the configuration
// in the store.
func checkPublished(t *testing.T, store archive.Store, file string, revision uint64, organisations int) {
	t.Helper()
	s, err := settings.LoadOperator(file)
	if err != nil {
		t.Fatal(err)
	}
	a := archive.New(store, signature.NewVerifier(s.Owners))
	head, err := a.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	current, err := a.Load(t.Context(), head)
	if err != nil || current.Revision != revision || len(current.Organisations) != organisations {
		t.Errorf("%s: revision %d with %d organisations, %v; want %d with %d", file, current.Revision, len(current.Organisations), err, revision, organisations)
	}
}
