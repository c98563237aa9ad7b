package command

import (
	"bytes"
	"context"
	"crypto/sha256"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"berylpass/config/archive"
	"berylpass/config/settings"
	"berylpass/monitor/burn"
	"berylpass/monitor/status"
	"berylpass/monitor/version"
	"berylpass/store/memory"
)

var update = flag.Bool("update", false, "rewrite the session files with the actual output")

// fixedReader yields the same sequence of bytes in every run.
type fixedReader struct{ n byte }

func (s *fixedReader) Read(p []byte) (int, error) {
	s.n++
	block := sha256.Sum256([]byte{s.n})
	return copy(p, block[:]), nil
}

// session is the state that the lines of one session file share: the object store
// and its backup, the random source, and the public keys that keygen has printed.
type session struct {
	t      *testing.T
	store  *memory.Store
	random fixedReader
	public []string
	backup memory.Backup
}

// fakeStatus is the Environment.Status of the sessions; only vm-1 answers.
func fakeStatus(_ context.Context, url string) (status.Status, error) {
	if url != "http://vm-1:7004" {
		return status.Status{}, fmt.Errorf("%w: no answer", status.ErrUnreadable)
	}
	return status.Status{Daemon: "vm-1", Revision: 4, Members: []status.Member{
		{ID: "vm-1", Revision: 3, State: "serving"},
		{ID: "vm-2", Revision: 4, State: "serving"},
		{ID: "vm-3", Revision: 3, State: "suspect"},
		{ID: "vm-4", Revision: 1, State: "dead"},
	}}, nil
}

// fakeSnapshot is the Environment.Burn of the sessions; only vm-1 answers. One request in ten is refused.
func fakeSnapshot(_ context.Context, url string) (burn.Snapshot, error) {
	if url != "http://vm-1:7004" {
		return burn.Snapshot{}, fmt.Errorf("%w: no answer", burn.ErrUnreadable)
	}
	start := time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)
	r := burn.New(start)
	for i := range 100 {
		outcome := burn.InTime
		if i%10 == 0 {
			outcome = burn.NotRun
		}
		r.Record(start, burn.Sample{Route: "renewals", Organisation: "grove", Objective: 0.99, Outcome: outcome, Latency: time.Millisecond})
	}
	return r.Snapshot(start.Add(time.Minute)).WithDaemon("vm-1"), nil
}

// berylpass runs berylpass with the arguments and returns its output, followed by the exit code unless it is 0.
func (s *session) berylpass(args []string) string {
	var out bytes.Buffer
	c := New(Environment{
		Stdout: &out, Stderr: &out, Random: &s.random, Status: fakeStatus,
		Burn:    fakeSnapshot,
		Store:   func(settings.Platform) archive.Store { return s.store },
		Version: version.Build{Version: "v0.1.0", Commit: "0123456789ab", Go: "go1.26"},
	})
	code := c.Run(s.t.Context(), args)
	if code != ExitSuccess {
		fmt.Fprintf(&out, "[exit %d]\n", code)
	}
	for line := range strings.Lines(out.String()) {
		if key, ok := strings.CutPrefix(line, "public key = "); ok {
			s.public = append(s.public, strings.TrimSpace(key))
		}
	}
	return out.String()
}

// run executes one line of a session: berylpass, or a command that prepares files or the store.
func (s *session) run(line string) string {
	args := split(line)
	switch args[0] {
	case "berylpass":
		return s.berylpass(args[1:])
	case "settings":
		text := fmt.Sprintf("[platform]\nurl = http://10.0.9.1:9000\n[owners]\nola = %s\nmarek = %s\n", s.public[0], s.public[1])
		s.write("operator.ini", []byte(text))
	case "rebase":
		text, err := os.ReadFile(args[2])
		if err != nil {
			s.t.Fatal(err)
		}
		s.write(args[1], text)
	case "backup":
		s.backup = s.store.Backup()
	case "restore":
		s.store.Restore(s.backup)
	case "store-down":
		s.store.SetFaults(memory.Faults{Unavailable: true})
	default:
		s.t.Fatalf("unknown session command %q", line)
	}
	return ""
}

func (s *session) write(file string, text []byte) {
	if err := os.WriteFile(file, text, 0o644); err != nil {
		s.t.Fatal(err)
	}
}

// split splits a line at spaces outside double quotes.
func split(line string) []string {
	var args []string
	for i, part := range strings.Split(line, `"`) {
		if i%2 == 1 {
			args = append(args, part)
		} else {
			args = append(args, strings.Fields(part)...)
		}
	}
	return args
}

// TestSessions runs the lines of each session file that start with $ and compares
// their output and exit codes with the lines that follow them in the file.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.session")
	if err != nil || len(files) == 0 {
		t.Fatalf("no session files in testdata: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { runSession(t, file) })
	}
}

func runSession(t *testing.T, file string) {
	path, err := filepath.Abs(file)
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	notes, err := filepath.Abs("testdata/files")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir())
	if err := os.CopyFS(".", os.DirFS(notes)); err != nil {
		t.Fatal(err)
	}
	s := &session{t: t, store: memory.New()}
	var got strings.Builder
	for line := range strings.Lines(string(want)) {
		command, isCommand := strings.CutPrefix(line, "$ ")
		if isCommand || strings.HasPrefix(line, "##") {
			io.WriteString(&got, line)
		}
		if isCommand {
			got.WriteString(s.run(strings.TrimSpace(command)))
		}
	}
	if *update {
		s.write(path, []byte(got.String()))
		return
	}
	if got.String() != string(want) {
		t.Errorf("%s differs from the output (rewrite it with -update); got:\n%s", file, got.String())
	}
}
