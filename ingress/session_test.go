package ingress_test

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
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
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/guard"
	"berylpass/hop/forwarder"
	"berylpass/httpport"
	"berylpass/ingress"
	"berylpass/mesh/meshkey"
)

var update = flag.Bool("update", false, "write the golden files anew")

const secret = "farmers-key-0123456789"

type fixed snapshot.Snapshot

func (f fixed) Current() snapshot.Snapshot { return snapshot.Snapshot(f) }

type oneBackend struct {
	backend backend.Backend
	guard   member.Member
}

func (f oneBackend) Pick(_ time.Time, service string) (backend.Backend, member.Member, error) {
	if service != f.backend.Service {
		return backend.Backend{}, member.Member{}, errors.New("no backend server")
	}
	return f.backend, f.guard, nil
}

func configuration() snapshot.Snapshot {
	o := organisation.New("kowalski-orchards").WithLimit(100, 100).WithKey(key.New("k1", key.Sum(secret)))
	return snapshot.New(1).
		WithOrganisation(o).
		WithDatacentre(datacentre.New("srem", "wielkopolska")).
		WithService(service.New("rounds")).
		WithRoute(route.New("lookups", "rounds").WithMatch("", "/fields", "GET").WithRepeatable(true)).
		WithRoute(route.New("visits", "rounds").WithMatch("", "/visits", "POST")).
		WithRoute(route.New("notices", "rounds").WithMatch("", "/notices", "GET").WithOpen(true)).
		Index()
}

// TestSessionThroughTwoDaemons sends requests through the ingress of one daemon
// to a backend server beside another and compares the transcript.
func TestSessionThroughTwoDaemons(t *testing.T) {
	meshKey, err := meshkey.New("secret-of-this-fleet")
	if err != nil {
		t.Fatal(err)
	}
	e, err := emulator.New("127.0.0.1:0", emulator.WithSecrets(secret), emulator.WithServiceTime(time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	s := fixed(configuration())
	beside := member.New("vm-2", "srem").WithIncarnation(7)
	b := backend.New("rounds-1", "rounds", beside.ID).WithAddress(e.Address()).WithSlots(4)
	g := guard.New(beside, s, guard.DirectLeg{Transport: &http.Transport{}})
	g.Announce(b)
	data, err := httpport.New("127.0.0.1:0", g, httpport.WithTLS(meshKey.NonBlockingServerTLS()))
	if err != nil {
		t.Fatal(err)
	}
	defer data.Close()
	f := forwarder.New(meshKey.ClientTLS(), 1<<20)
	defer f.Close()
	fleet := oneBackend{backend: b, guard: beside.WithAddresses("", data.Address())}
	i := ingress.New(member.New("vm-1", "gniezno").WithIncarnation(3), s, fleet, f)
	callers, err := httpport.New("127.0.0.1:0", i)
	if err != nil {
		t.Fatal(err)
	}
	defer callers.Close()

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
		exchange(t, &transcript, callers.Address(), line)
	}
	fmt.Fprintf(&transcript, "backend server: %d runs, %d with a key\n", e.Total(), e.KeysSeen())
	compare(t, "two-daemons.golden", transcript.Bytes())
}

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

func compare(t *testing.T, name string, got []byte) {
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
