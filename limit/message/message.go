// Package message holds what the daemons' limiters say to each other.
//
// Every message may be lost, doubled, delayed or overtaken. A Borrow that is
// handled twice costs tokens, never more runs; a grant that is received twice is
// recognised by its ID.
//
// # Usage
//
//	args := message.Borrow{From: self, Items: []message.BorrowItem{{Organisation: "hope-bay-library", Want: 1}}}
//	var reply message.Borrowed
//	err := mesh.Call(ctx, holder, "Limit.Borrow", args, &reply)
package message

import (
	"time"

	"berylpass/fleet/member"
	"berylpass/limit/lease"
)

// Ask asks a co-holder for promises and loans, for several shards.
type Ask struct {
	From  member.ID
	Items []lease.Ask
}

// Asked answers an Ask, item by item.
type Asked struct {
	Items []lease.Reply
}

// Borrow asks a holder for tokens, for several organisations.
type Borrow struct {
	From  member.ID
	Items []BorrowItem
}

// BorrowItem asks for tokens of one organisation.
type BorrowItem struct {
	Organisation string
	// Want is the number of requests that wait for a token.
	Want int
	// Demand is the daemon's recent demand, in draws per second.
	Demand float64
	// Extend is the ID of a grant whose validity should start anew, or 0.
	Extend uint64
}

// Borrowed answers a Borrow, item by item.
type Borrowed struct {
	Items []Granted
}

// Verdict says how a holder met a BorrowItem.
type Verdict uint8

// The verdicts.
const (
	// Lent means that the item holds a grant.
	Lent Verdict = iota
	// Extended means that the grant named by Extend is valid anew.
	Extended
	// Empty means that no token is there; one is expected after RetryAfter.
	Empty
	// Recalling means that tokens are being called back from another daemon: ask again after RetryAfter.
	Recalling
	// Stale means that the grant named by Extend should be given back: there is more to have, or
	// others have asked.
	Stale
	// Elsewhere means that the holder may grant nothing; Primary names who may, if known.
	Elsewhere
)

// Granted answers a BorrowItem.
type Granted struct {
	Organisation string
	Verdict      Verdict
	Grant        Grant
	RetryAfter   time.Duration
	Primary      member.ID
}

// Grant is a part of an organisation's limit that a daemon may use on its own: a token
// bucket of its own that ends.
type Grant struct {
	// ID is unique at its holder, over all its processes.
	ID uint64
	// Level is the number of tokens at the start.
	Level float64
	// Capacity bounds the level plus the tokens drawn and not known to have run.
	Capacity float64
	// Rate is the refill in tokens per second.
	Rate float64
	// Valid is counted from when the daemon asked.
	Valid time.Duration
	// Part tells that the holder keeps tokens of the organisation for daemons that run out.
	Part bool
	// Lapse is the longest time between a draw and the dispatch.
	Lapse time.Duration
}

// Recall asks a daemon to give grants back.
type Recall struct {
	From  member.ID
	Items []RecallItem
}

// RecallItem names a grant.
type RecallItem struct {
	Organisation string
	ID           uint64
}

// Return gives grants back, or answers a Recall.
type Return struct {
	From  member.ID
	Items []Returned
}

// Returned gives one grant back.
type Returned struct {
	Organisation string
	ID           uint64
	// Level is the number of unspent tokens.
	Level float64
	// Drawn is the number of tokens drawn that may still run, within term.MaxLapse.
	Drawn int
}

// Done answers a Return.
type Done struct{}
