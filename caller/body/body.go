// Package body reads the bodies of callers' requests into memory, once.
//
// # Usage
//
//	bytes, err := body.Read(r)
package body

import (
	"io"
	"net/http"
)

// inMemory is a body that is in memory as a whole already.
type inMemory interface{ Bytes() []byte }

// Read returns the whole body of r. The listener has read it and bounded it; it isn't copied then.
func Read(r *http.Request) ([]byte, error) {
	if whole, ok := r.Body.(inMemory); ok {
		return whole.Bytes(), nil
	}
	return io.ReadAll(r.Body)
}
