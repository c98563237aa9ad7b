package borrower

import (
	"slices"
	"time"

	"berylpass/fleet/member"
	"berylpass/limit/bucket"
	"berylpass/limit/message"
)

// held is a grant in use.
type held struct {
	holder member.ID
	id     uint64
	bucket bucket.Bucket
	ends   time.Time
	lapse  time.Duration
	// part is set if the holder may have tokens when this grant has none.
	part bool
	// closed is set once the grant is given back; its ID stays known until it would have ended.
	closed bool
	// drawn are the lapse times of the tokens drawn that may still run, in order.
	drawn []time.Time
}

// advance refills the grant with the tokens that may still run counted in.
func (h *held) advance(now time.Time) {
	h.bucket.Refill(now, float64(len(h.drawn)))
	n := 0
	for n < len(h.drawn) && !now.Before(h.drawn[n]) {
		n++
	}
	if n > 0 {
		h.drawn = slices.Delete(h.drawn, 0, n)
	}
}

// close ends the grant and returns what is left of it.
func (h *held) close(now time.Time, organisation string) message.Returned {
	h.advance(now)
	h.closed = true
	return message.Returned{Organisation: organisation, ID: h.id, Level: h.bucket.Level, Drawn: len(h.drawn)}
}
