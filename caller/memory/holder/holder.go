// Package holder carries out the decisions of package memory for the connections of a daemon.
//
// A Holder stands for the other end of a connection. What it has is released once it has left
// and its requests have ended, since they use it until then. A Request groups what one request
// of a holder reserves, and travels in the request's context,
// so that whoever reads an answer into memory can reserve it without knowing the connection.
// A context without a Request reserves nothing.
//
// # Usage
//
//	book := holder.NewBook(memory.Divide(284<<20))
//	h := book.Add(func() { conn.Close() }) // is called when the holder has to make room
//	r := h.NewRequest()
//	ctx = holder.WithRequest(ctx, r)
//	err := holder.Reserve(ctx, length) // waits; ErrFull, or the error of ctx
//	r.End()                            // releases what the request has reserved
//	h.Leave()
//
// Sizes are in bytes.
package holder

import (
	"context"
	"errors"
	"sync"
	"time"

	"berylpass/caller/memory"
	"berylpass/decision"
)

// ErrFull is returned if bytes can't be reserved: there is no room, the holder was closed, or
// the request has ended.
var ErrFull = errors.New("memory for requests and answers is full")

// tickInterval is the time between two looks at the holders while reservations wait.
const tickInterval = 250 * time.Millisecond

// Observer is told of the decisions, with no lock held. Its methods must not block.
type Observer interface {
	// HolderClosed is called when a holder is closed that held bytes and was behind by bytes.
	HolderClosed(held, behind int64)
	// ReservationRefused is called when bytes were refused.
	ReservationRefused(bytes int64)
}

type silent struct{}

func (silent) HolderClosed(int64, int64) {}
func (silent) ReservationRefused(int64)  {}

// Book keeps the holders of a daemon. It is safe for concurrent use.
type Book struct {
	observer Observer

	mu       sync.Mutex
	budget   *memory.Budget
	last     uint64
	entries  map[uint64]*entry
	tickets  map[uint64]chan error
	ticking  bool
	lastTime time.Time
}

// entry is the state of a holder.
type entry struct {
	// closeHolder is nil once it has been called.
	closeHolder func()
	// left is whether the connection is closed, requests the number of its requests that haven't ended.
	left     bool
	requests int
}

// NewBook returns a book without holders.
func NewBook(p memory.Parts) *Book {
	return &Book{observer: silent{}, budget: memory.New(p), entries: map[uint64]*entry{}, tickets: map[uint64]chan error{}}
}

// WithObserver sets the observer and returns b. It must be called before b is used.
func (b *Book) WithObserver(o Observer) *Book {
	b.observer = o
	return b
}

// Used returns the number of reserved bytes of a part.
func (b *Book) Used(p memory.Part) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Used(p)
}

// Waiting returns the number of reservations that wait.
func (b *Book) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Waiting()
}

// Add adds a holder. Its close is called at most once, on a goroutine of its own.
func (b *Book) Add(closeHolder func()) *Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last++
	b.entries[b.last] = &entry{closeHolder: closeHolder}
	return &Holder{book: b, id: b.last}
}

// update passes an event to the budget and carries out the actions.
func (b *Book) update(event decision.Event) {
	b.mu.Lock()
	closed := b.updateLocked(event)
	b.mu.Unlock()
	b.report(closed)
}

// updateLocked is update for a caller that holds b.mu and reports the closed holders later.
func (b *Book) updateLocked(event decision.Event) (closed []memory.Close) {
	now := time.Now()
	if now.Before(b.lastTime) {
		now = b.lastTime
	}
	b.lastTime = now
	for _, action := range b.budget.Update(now, event) {
		switch a := action.(type) {
		case memory.Granted:
			b.answer(a.Ticket, nil)
		case memory.Refused:
			b.answer(a.Ticket, ErrFull)
		case memory.Close:
			if e := b.entries[a.Holder]; e != nil && e.closeHolder != nil {
				go e.closeHolder()
				e.closeHolder = nil
			}
			closed = append(closed, a)
		}
	}
	if b.budget.Waiting() > 0 && !b.ticking {
		b.ticking = true
		time.AfterFunc(tickInterval, b.tick)
	}
	return closed
}

func (b *Book) report(closed []memory.Close) {
	for _, c := range closed {
		b.observer.HolderClosed(c.Held, c.Behind)
	}
}

func (b *Book) tick() {
	b.mu.Lock()
	b.ticking = false
	b.mu.Unlock()
	b.update(memory.Tick{})
}

// answer answers a ticket. The channel has room for it.
func (b *Book) answer(ticket uint64, err error) {
	if c := b.tickets[ticket]; c != nil {
		delete(b.tickets, ticket)
		c <- err
	}
}

// Holder is the other end of a connection. It is safe for concurrent use. A nil Holder reserves nothing.
type Holder struct {
	book *Book
	id   uint64
}

// start asks for bytes and returns the channel for the answer, and the ticket.
func (h *Holder) start(p memory.Part, bytes int64, mayWait bool) (<-chan error, uint64) {
	b := h.book
	done := make(chan error, 1)
	b.mu.Lock()
	if e := b.entries[h.id]; e == nil || e.left || e.closeHolder == nil {
		b.mu.Unlock()
		done <- ErrFull
		return done, 0
	}
	b.last++
	ticket := b.last
	b.tickets[ticket] = done
	closed := b.updateLocked(memory.Reserve{Ticket: ticket, Holder: h.id, Part: p, Bytes: bytes, MayWait: mayWait})
	b.mu.Unlock()
	b.report(closed)
	return done, ticket
}

// TryReserve reserves bytes without waiting. It returns ErrFull if that isn't possible.
func (h *Holder) TryReserve(p memory.Part, bytes int64) error {
	if h == nil || bytes <= 0 {
		return nil
	}
	done, _ := h.start(p, bytes, false)
	err := <-done
	if err != nil {
		h.book.observer.ReservationRefused(bytes)
	}
	return err
}

// Reserve reserves bytes for a request or an answer, and waits until there is room. It returns ErrFull or the error of ctx.
func (h *Holder) Reserve(ctx context.Context, bytes int64) error {
	if h == nil || bytes <= 0 {
		return nil
	}
	done, ticket := h.start(memory.Exchanges, bytes, true)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	h.book.update(memory.Withdraw{Ticket: ticket})
	h.book.mu.Lock()
	delete(h.book.tickets, ticket)
	h.book.mu.Unlock()
	select {
	case err := <-done:
		if err == nil {
			h.Release(memory.Exchanges, bytes)
		}
	default:
	}
	return ctx.Err()
}

// Release gives back bytes that were reserved at once.
func (h *Holder) Release(p memory.Part, bytes int64) {
	if h != nil && bytes > 0 {
		h.update(memory.Release{Holder: h.id, Part: p, Bytes: bytes})
	}
}

// Due tells that the holder has bytes to send or to read from now on.
func (h *Holder) Due(bytes int64) {
	if h != nil && bytes > 0 {
		h.update(memory.Due{Holder: h.id, Bytes: bytes})
	}
}

// Moved tells that the holder has sent or read bytes.
func (h *Holder) Moved(bytes int64) {
	if h != nil && bytes > 0 {
		h.update(memory.Moved{Holder: h.id, Bytes: bytes})
	}
}

// Settled tells that the holder has nothing more to send or to read.
func (h *Holder) Settled() {
	if h != nil {
		h.update(memory.Settled{Holder: h.id})
	}
}

// update passes an event to the budget unless the holder is gone.
func (h *Holder) update(event decision.Event) {
	b := h.book
	b.mu.Lock()
	var closed []memory.Close
	if b.entries[h.id] != nil {
		closed = b.updateLocked(event)
	}
	b.mu.Unlock()
	b.report(closed)
}

// Leave releases all that the holder has, as soon as its requests have ended.
func (h *Holder) Leave() {
	if h != nil {
		h.change(func(e *entry) { e.left = true })
	}
}

// change changes the entry of the holder, and removes a holder that has left and has no requests.
func (h *Holder) change(do func(e *entry)) {
	b := h.book
	b.mu.Lock()
	var closed []memory.Close
	if e := b.entries[h.id]; e != nil {
		do(e)
		if e.left && e.requests == 0 {
			delete(b.entries, h.id)
			closed = b.updateLocked(memory.Left{Holder: h.id})
		}
	}
	b.mu.Unlock()
	b.report(closed)
}
