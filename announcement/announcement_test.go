package announcement

import (
	"errors"
	"testing"

	"berylpass/fleet/backend"
)

// fakeRegistry is a Registry that holds the announced backend servers.
type fakeRegistry map[backend.ID]backend.Backend

func (r fakeRegistry) Announce(b backend.Backend) error {
	r[b.ID] = b
	return nil
}

func (r fakeRegistry) ReportLoad(id backend.ID, _ Load) error {
	if _, ok := r[id]; !ok {
		return ErrUnknown
	}
	return nil
}

func (r fakeRegistry) DrainBackend(backend.ID) error { return nil }

func (r fakeRegistry) Remove(id backend.ID) error {
	delete(r, id)
	return nil
}

// validBody is the body of a valid announcement.
const validBody = `{"service":"rounds","address":"127.0.0.1:9001","slots":4,"incarnation":1}`

// TestHandle checks that handle passes valid requests to the registry and refuses others
// with the right error.
func TestHandle(t *testing.T) {
	for _, c := range []struct {
		method, path, body string
		want               error
	}{
		{"PUT", "/backends/rounds-1", validBody, nil},
		{"PUT", "/backends/rounds-1", `{"service":"rounds","address":"10.0.0.1:9001"}`, ErrInvalid},
		{"PUT", "/backends/rounds-1", `{"service":"rounds","address":"localhost:9001"}`, ErrInvalid},
		{"PUT", "/backends/rounds-1", `{"service":"rounds","address":"127.0.0.1:9001","slots":-1}`, ErrInvalid},
		{"PUT", "/backends/rounds-1", `{"service":"rounds","address":"127.0.0.1:9001","slot":4}`, ErrInvalid},
		{"PUT", "/backends/Rounds 1", validBody, ErrInvalid},
		{"GET", "/backends/rounds-1", "", ErrInvalid},
		{"POST", "/backends/rounds-1/load", `{"busy":1,"slots":4,"shedding":false}`, nil},
		{"POST", "/backends/rounds-9/load", `{"busy":1,"slots":4,"shedding":false}`, ErrUnknown},
		{"DELETE", "/backends/rounds-1", "", nil},
	} {
		r := fakeRegistry{"rounds-1": {}}
		if err := New(r).handle(c.method, c.path, []byte(c.body)); !errors.Is(err, c.want) {
			t.Errorf("%s %s %s: got %v, want %v", c.method, c.path, c.body, err, c.want)
		}
	}
}

// FuzzHandle checks that handle doesn't panic on any request.
func FuzzHandle(f *testing.F) {
	f.Add("PUT", "/backends/rounds-1", []byte(validBody))
	f.Add("POST", "/backends/rounds-1/load", []byte(`{"busy":1}`))
	f.Fuzz(func(_ *testing.T, method, path string, body []byte) {
		_ = New(fakeRegistry{}).handle(method, path, body)
	})
}
