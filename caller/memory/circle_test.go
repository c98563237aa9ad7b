package memory

import (
	"testing"
	"time"

	"berylpass/decision"
)

// TestReservationsThatWaitForEachOtherEnd lets each of some holders have a part of the memory and wait for more of it,
// as for answers of unknown length that grow. None is behind, and none can release anything before it has the rest. One
// of them must be answered, so that the others get theirs.
func TestReservationsThatWaitForEachOtherEnd(t *testing.T) {
	const piece = 48 << 10
	b, answered := New(parts()), 0
	take := func(actions []decision.Action) { answered += len(actions) }
	holders := uint64(parts().Exchanges / piece)
	for holder := range holders {
		b.Update(start, Reserve{Ticket: holder, Holder: holder, Part: Exchanges, Bytes: piece, MayWait: true})
	}
	for holder := range holders {
		take(b.Update(start, Reserve{Ticket: 1000 + holder, Holder: holder, Part: Exchanges, Bytes: piece, MayWait: true}))
	}
	for s := range 600 {
		take(b.Update(start.Add(time.Duration(s)*time.Second), Tick{}))
	}
	if answered == 0 {
		t.Errorf("%d reservations wait for each other for ten minutes", b.Waiting())
	}
}
