package holder

import (
	"bytes"
	"context"
	"testing"
	"time"
)

// TestBodyOfUnknownLengthFits reads a body of unknown length into memory of which it needs two thirds and of which nothing
// else is reserved. It must not wait for what it has reserved itself.
func TestBodyOfUnknownLengthFits(t *testing.T) {
	const size = limit * 2 / 3
	b := newBook()
	h := b.Add(func() {})
	request := h.NewRequest()
	defer request.End()
	ctx, cancel := context.WithTimeout(WithRequest(t.Context(), request), 2*time.Second)
	defer cancel()
	for _, length := range []int64{size, -1} {
		body, err := ReadAll(ctx, bytes.NewReader(make([]byte, size)), length, size)
		if err != nil || len(body) != size {
			t.Errorf("length %d: %d bytes with %d reserved, %v", length, len(body), used(b), err)
		}
		request.End()
		request = h.NewRequest()
		ctx = WithRequest(ctx, request)
	}
}
