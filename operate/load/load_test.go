package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestParsePlanReportsAllMistakesAtOnce guards against a parser that stops at the first mistake of a plan.
func TestParsePlanReportsAllMistakesAtOnce(t *testing.T) {
	_, err := ParsePlan("bad.ini", []byte(`
[load]
targets = http://192.0.2.1:80
rate = -1
duration = 1h
[route "x"]
path = nowhere
body = -1
[rout "y"]
`))
	if !errors.Is(err, ErrPlan) {
		t.Fatalf("ParsePlan returned %v, want ErrPlan", err)
	}
	for _, want := range []string{"targets", "rate", "duration", "path", "body", "[rout"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error does not mention %s: %v", want, err)
		}
	}
}

// TestRunCountsOutcomesAndLatency runs a plan against a server that answers only organisation a. Its direct calls carry
// no key, so none of them is answered and counted as a latency.
func TestRunCountsOutcomesAndLatency(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer k1" {
			w.Header().Set(outcomeHeader, "not-run")
			w.WriteHeader(http.StatusUnauthorized)
		}
	}))
	defer server.Close()
	plan, err := ParsePlan("load.ini", []byte(fmt.Sprintf(`
[load]
targets = %[1]s
direct = %[1]s
rate = 1000
duration = 200ms
[organisation "a"]
key = k1
[organisation "b"]
key = k2
[route "x"]
`, server.URL)))
	if err != nil {
		t.Fatal(err)
	}
	result, err := New(plan).Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if result.Organisations["a"]["answered"] == 0 || result.Organisations["b"]["not-run"] == 0 {
		t.Errorf("outcomes by organisation: %v", result.Organisations)
	}
	if result.Organisations["b"]["answered"] != 0 {
		t.Errorf("requests with an unknown key were answered: %v", result.Organisations)
	}
	if result.Fleet.Count != result.Outcomes["answered"] || result.Direct.Count != 0 {
		t.Errorf("latency counts: fleet %d, direct %d, outcomes %v", result.Fleet.Count, result.Direct.Count, result.Outcomes)
	}
}
