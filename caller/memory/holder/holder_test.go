package holder

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"berylpass/caller/memory"
)

const limit = 1 << 20

func newBook() *Book {
	return NewBook(memory.Parts{Heads: limit, Exchanges: limit, Long: limit})
}

func used(b *Book) int64 { return b.Used(memory.Exchanges) }

// TestReserveWaits checks that a reservation waits until another holder has left.
func TestReserveWaits(t *testing.T) {
	b := newBook()
	first, second := b.Add(func() {}), b.Add(func() {})
	if err := first.Reserve(t.Context(), limit); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- second.Reserve(t.Context(), limit) }()
	for b.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	first.Leave()
	if err := <-done; err != nil || used(b) != limit {
		t.Errorf("got %v, %d bytes reserved", err, used(b))
	}
}

// TestReserveThatIsGivenUpLeavesNothing checks the end of a context while a reservation waits.
func TestReserveThatIsGivenUpLeavesNothing(t *testing.T) {
	b := newBook()
	first, second := b.Add(func() {}), b.Add(func() {})
	if err := first.Reserve(t.Context(), limit); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- second.Reserve(ctx, 1) }()
	for b.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) || b.Waiting() != 0 || len(b.tickets) != 0 {
		t.Errorf("got %v, %d wait", err, b.Waiting())
	}
	first.Leave()
	if used(b) != 0 {
		t.Errorf("%d bytes are reserved", used(b))
	}
}

// TestHolderThatIsBehindIsClosed checks that a holder that reads nothing is closed once another waits, which gets the
// bytes once the closed one's request has ended.
func TestHolderThatIsBehindIsClosed(t *testing.T) {
	b := newBook()
	closed := make(chan struct{})
	first, second := b.Add(func() { close(closed) }), b.Add(func() {})
	request := first.NewRequest()
	go func() {
		<-closed
		first.Leave()
		request.End()
	}()
	if err := first.Reserve(t.Context(), limit); err != nil {
		t.Fatal(err)
	}
	first.Due(limit)
	if err := second.Reserve(t.Context(), limit); err != nil {
		t.Error(err)
	}
	if err := first.Reserve(t.Context(), 1); !errors.Is(err, ErrFull) {
		t.Errorf("a closed holder got %v, want ErrFull", err)
	}
	if used(b) != limit {
		t.Errorf("%d bytes are reserved", used(b))
	}
}

// TestRequestReleasesAtItsEnd checks that a request releases what was reserved through its
// context, and that nothing can be reserved for it later.
func TestRequestReleasesAtItsEnd(t *testing.T) {
	b := newBook()
	r := b.Add(func() {}).NewRequest()
	ctx := WithRequest(t.Context(), r)
	for _, n := range []int64{1000, 200_000} {
		if err := Reserve(ctx, n); err != nil {
			t.Fatal(err)
		}
	}
	if used(b) != 201_000 {
		t.Errorf("%d bytes are reserved", used(b))
	}
	r.End()
	if err := Reserve(ctx, 1); !errors.Is(err, ErrFull) || used(b) != 0 {
		t.Errorf("got %v, %d bytes reserved", err, used(b))
	}
}

// TestReadAll checks bodies of known and unknown length, up to the limit and over it.
func TestReadAll(t *testing.T) {
	const most = 100_000
	for _, test := range []struct {
		size   int
		length int64
		err    error
	}{
		{0, 0, nil},
		{0, -1, nil},
		{10, 10, nil},
		{most, most, nil},
		{most, -1, nil},
		{most + 1, most + 1, io.ErrShortBuffer},
		{most + 1, -1, io.ErrShortBuffer},
		{9, 10, io.ErrUnexpectedEOF},
	} {
		b := newBook()
		ctx := WithRequest(t.Context(), b.Add(func() {}).NewRequest())
		text := strings.Repeat("x", test.size)
		body, err := ReadAll(ctx, iotest.HalfReader(strings.NewReader(text)), test.length, most)
		if !errors.Is(err, test.err) || err == nil && string(body) != text {
			t.Errorf("size %d, length %d: got %d bytes, %v", test.size, test.length, len(body), err)
		}
		if err == nil && used(b) < int64(len(body)) {
			t.Errorf("size %d, length %d: only %d bytes are reserved", test.size, test.length, used(b))
		}
	}
}

// TestReadAllReservesBeforeItReads checks that a body for which there is no memory isn't read.
func TestReadAllReservesBeforeItReads(t *testing.T) {
	b := newBook()
	ctx := WithRequest(t.Context(), b.Add(func() {}).NewRequest())
	untouched := iotest.ErrReader(errors.New("read too early"))
	if _, err := ReadAll(ctx, untouched, limit+1, 2*limit); !errors.Is(err, ErrFull) {
		t.Errorf("got %v, want ErrFull", err)
	}
}
