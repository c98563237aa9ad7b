package memory

import (
	"slices"
	"testing"

	"berylpass/decision"
)

// granted reports whether the actions grant the ticket.
func granted(actions []decision.Action, ticket uint64) bool {
	return slices.Contains(actions, decision.Action(Granted{Ticket: ticket}))
}

// TestNewcomersDontStarveOneThatWaits fills the memory with short reservations and lets one of two of them wait, as for
// the answer of a request that has run. Then a holder leaves and a newcomer comes, a thousand times.
func TestNewcomersDontStarveOneThatWaits(t *testing.T) {
	const piece = 64 << 10
	b, ticket := New(parts()), uint64(0)
	reserve := func(holder uint64, bytes int64, mayWait bool) []decision.Action {
		ticket++
		return b.Update(start, Reserve{Ticket: ticket, Holder: holder, Part: Exchanges, Bytes: bytes, MayWait: mayWait})
	}
	for holder := range uint64(16) {
		reserve(holder, piece, false)
	}
	reserve(1000, 2*piece, true)
	waits := ticket
	for leaving := range uint64(1000) {
		if granted(b.Update(start, Left{Holder: leaving}), waits) {
			return
		}
		reserve(leaving+16, piece, false)
	}
	t.Error("a reservation waits while a thousand later ones were granted")
}
