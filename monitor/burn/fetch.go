package burn

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// Path is the path under which a daemon serves its snapshot on the operators' port.
const Path = "/burn"

// ErrUnreadable reports that a daemon's snapshot could not be fetched.
var ErrUnreadable = errors.New("burn snapshot can't be read")

// Fetch reads the snapshot of the daemon whose operators' port is at baseURL. Its
// error wraps ErrUnreadable, and also ErrMalformed if the answer is no snapshot.
func Fetch(ctx context.Context, baseURL string) (Snapshot, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+Path, nil)
	if err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Snapshot{}, fmt.Errorf("%w: %s answered %s", ErrUnreadable, baseURL, response.Status)
	}
	s, err := Parse(response.Body)
	if err != nil {
		return Snapshot{}, fmt.Errorf("%w: %s: %w", ErrUnreadable, baseURL, err)
	}
	return s, nil
}

// Handler returns a handler that answers each GET request with the snapshot that
// source returns. Register it under Path.
func Handler(source func() Snapshot) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.WriteHeader(http.StatusMethodNotAllowed)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = source().Encode(w)
	})
}
