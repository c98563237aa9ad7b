package holder

import (
	"context"
	"io"
	"sync"

	"berylpass/caller/memory"
)

// Request is one request of a holder. It is safe for concurrent use.
type Request struct {
	holder *Holder

	mu       sync.Mutex
	reserved []int64
	ended    bool
}

// NewRequest returns a request, which has to be ended. It takes over bytes that the holder has
// reserved for it, as they were reserved.
func (h *Holder) NewRequest(reserved ...int64) *Request {
	h.change(func(e *entry) { e.requests++ })
	return &Request{holder: h, reserved: reserved}
}

// Reserve reserves bytes until the request ends, and waits until there is room.
func (r *Request) Reserve(ctx context.Context, bytes int64) error {
	if err := r.holder.Reserve(ctx, bytes); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		r.holder.Release(memory.Exchanges, bytes)
		return ErrFull
	}
	r.reserved = append(r.reserved, bytes)
	return nil
}

// End releases what the request has reserved. A Reserve that comes later fails.
func (r *Request) End() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	for _, bytes := range r.reserved {
		r.holder.Release(memory.Exchanges, bytes)
	}
	r.reserved = nil
	r.holder.change(func(e *entry) { e.requests-- })
}

type contextKey struct{}

// WithRequest returns a context that carries the request.
func WithRequest(ctx context.Context, r *Request) context.Context {
	return context.WithValue(ctx, contextKey{}, r)
}

// Reserve reserves bytes for the request of ctx, and waits until there is room. Without a
// request it does nothing.
func Reserve(ctx context.Context, bytes int64) error {
	if r, ok := ctx.Value(contextKey{}).(*Request); ok {
		return r.Reserve(ctx, bytes)
	}
	return nil
}

// firstPiece is the number of bytes that ReadAll reserves first.
const firstPiece = 16 << 10

// ReadAll reads a whole body of at most limit bytes. Its memory is reserved for the request of
// ctx before it is read: all of it if length, its length, isn't negative, and otherwise as it
// grows. It returns io.ErrShortBuffer for a body over the limit.
func ReadAll(ctx context.Context, r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, io.ErrShortBuffer
	}
	if length >= 0 {
		if err := Reserve(ctx, length); err != nil {
			return nil, err
		}
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	if err := Reserve(ctx, firstPiece); err != nil {
		return nil, err
	}
	body := make([]byte, 0, firstPiece)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, io.ErrShortBuffer
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
		if len(body) < cap(body) {
			continue
		}
		grown := min(2*int64(cap(body)), limit+1)
		// The earlier buffer is free once it is copied, so its memory serves for the larger one.
		if err := Reserve(ctx, grown-int64(cap(body))); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, grown), body...)
	}
}
