package daemon_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"berylpass/config/datacentre"
	"berylpass/config/key"
	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/service"
	"berylpass/config/snapshot"
	"berylpass/emulator"
	"berylpass/ingress"
	"berylpass/operate/localfleet"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const (
	// secret is the key of the organisation kowalski-orchards.
	secret = "farmers-key-0123456789"
	// testLimit bounds each wait of a test.
	testLimit = 30 * time.Second
)

// configuration returns a snapshot with one organisation and one service.
func configuration(revision uint64) snapshot.Snapshot {
	o := organisation.New("kowalski-orchards").WithLimit(100, 100).WithKey(key.New("k1", key.DigestOf(secret)))
	return snapshot.New(revision).
		WithOrganisation(o).
		WithDatacentre(datacentre.New("srem", "wielkopolska")).
		WithDatacentre(datacentre.New("gniezno", "wielkopolska")).
		WithService(service.New("rounds")).
		WithRoute(route.New("lookups", "rounds").WithMatch("", "/fields", "GET").WithRepeatable(true)).
		WithRoute(route.New("visits", "rounds").WithMatch("", "/visits", "POST")).
		WithRoute(route.New("notices", "rounds").WithMatch("", "/notices", "GET").WithOpen(true)).
		Index()
}

// newTwoDaemonFleet starts the daemons vm-1 and vm-2 and a backend server on vm-2.
func newTwoDaemonFleet(t *testing.T, options ...emulator.Option) (*localfleet.LocalFleet, *localfleet.Backend) {
	t.Helper()
	f, err := localfleet.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	for _, place := range [][2]string{{"vm-1", "gniezno"}, {"vm-2", "srem"}} {
		if _, err := f.StartDaemon(place[0], place[1]); err != nil {
			t.Fatal(err)
		}
	}
	options = append([]emulator.Option{emulator.WithSecrets(secret), emulator.WithServiceTime(time.Millisecond)}, options...)
	b, err := f.StartBackend("vm-2", "rounds-1", "rounds", options...)
	if err != nil {
		t.Fatal(err)
	}
	publish(t, f, configuration(1))
	return f, b
}

// publish publishes a snapshot and waits until it is in force at all daemons.
func publish(t *testing.T, f *localfleet.LocalFleet, s snapshot.Snapshot) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	if err := f.Publish(ctx, s); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitReady(ctx, s.Revision); err != nil {
		t.Fatal(err)
	}
}

// TestSessionThroughTwoDaemons sends requests through the ingress of one daemon to a
// backend server on the VM of another, and compares the transcript with a golden file.
func TestSessionThroughTwoDaemons(t *testing.T) {
	f, b := newTwoDaemonFleet(t)
	address := f.Daemons()["vm-1"].Addresses().Callers
	var transcript bytes.Buffer
	for _, line := range []string{
		"GET /fields/12 Bearer " + secret,
		"POST /visits Bearer " + secret,
		"POST /visits Bearer wrong-key",
		"POST /visits",
		"GET /notices/today",
		"DELETE /fields/12 Bearer " + secret,
		"GET /elsewhere Bearer " + secret,
	} {
		exchange(t, &transcript, address, line)
	}
	fmt.Fprintf(&transcript, "backend server: %d runs, %d with a key\n", b.Total(), b.LeakedKeys())
	incarnation := regexp.MustCompile(`vm-1/\d+/`)
	compareGolden(t, "two-daemons.golden", incarnation.ReplaceAll(transcript.Bytes(), []byte("vm-1/N/")))
}

// exchange sends the request that line describes, "METHOD PATH [AUTHORIZATION]", and
// appends the line and the answer to the transcript.
func exchange(t *testing.T, out io.Writer, address, line string) {
	t.Helper()
	method, rest, _ := strings.Cut(line, " ")
	path, authorization, _ := strings.Cut(rest, " ")
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader("report"))
	if err != nil {
		t.Fatal(err)
	}
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(out, "> %s\n< %d %s %s\n< %s", line, response.StatusCode,
		response.Header.Get(ingress.OutcomeHeader), response.Header.Get(ingress.AttemptHeader), body)
}

// compareGolden compares a transcript with a golden file, which it first rewrites if the
// flag -update is set.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("session differs from %s:\n%s", path, got)
	}
}
