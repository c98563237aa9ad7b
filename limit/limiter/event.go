package limiter

import (
	"time"

	"berylpass/fleet/member"
	"berylpass/limit/allotment"
	"berylpass/limit/holder"
	"berylpass/limit/lease"
	"berylpass/limit/message"
)

// Events that a Limiter accepts.
type (
	// Tick lets time pass; feed it every TickInterval.
	Tick struct{}
	// Flush sends what Draw has queued; feed it after a Draw that returned Waiting and at Wake times.
	Flush struct{}
	// Members replaces the known members of the fleet.
	Members struct{ List []member.Member }
	// Configured replaces the configured limits.
	Configured struct {
		Limits holder.Limits
		// Organisations are the configured ones. Records are made for their shards only; nil means for all.
		Organisations []string
	}
	// Leave starts to hand all shares and grants over.
	Leave struct{}

	// AskArrived is a co-holder's ask; the first action is the Reply.
	AskArrived struct{ Ask message.Ask }
	// BorrowArrived is a daemon's wish for tokens; the first action is the Reply.
	BorrowArrived struct{ Borrow message.Borrow }
	// RecallArrived calls grants back; the first action is the Reply.
	RecallArrived struct{ Recall message.Recall }
	// ReturnArrived gives grants back; the first action is the Reply.
	ReturnArrived struct{ Return message.Return }

	// Asked answers SendAsk.
	Asked struct {
		At    time.Time
		From  member.ID
		Reply message.Asked
	}
	// Borrowed answers SendBorrow; Failed is set if there was no answer.
	Borrowed struct {
		At     time.Time
		From   member.ID
		Sent   message.Borrow
		Reply  message.Borrowed
		Failed bool
	}
	// Recalled answers SendRecall.
	Recalled struct{ Return message.Return }

	// Read answers ReadRecord.
	Read struct {
		Shard   int
		Record  allotment.Record
		Version uint64
		// Missing is set if the store has no record; Failed if nothing is known.
		Missing, Failed bool
	}
	// Listed answers ListRecords with the records that the store has, in any order.
	Listed struct {
		Records []Read
		Failed  bool
	}
	// Wrote answers WriteRecord; Version is that of the written record.
	Wrote struct {
		Shard   int
		Record  allotment.Record
		Created bool
		Outcome lease.Outcome
		Version uint64
	}
)

// Actions that a Limiter returns.
type (
	// Reply is the answer to the message that arrived.
	Reply struct{ Body any }
	// SendAsk sends an ask; feed Asked with At if it is answered.
	SendAsk struct {
		At  time.Time
		To  member.ID
		Ask message.Ask
	}
	// SendBorrow sends a wish for tokens; feed Borrowed in any case.
	SendBorrow struct {
		At     time.Time
		To     member.ID
		Borrow message.Borrow
	}
	// SendRecall calls grants back; feed Recalled if it is answered.
	SendRecall struct {
		To     member.ID
		Recall message.Recall
	}
	// SendReturn gives grants back; the answer does not matter.
	SendReturn struct {
		To     member.ID
		Return message.Return
	}
	// ReadRecord reads a shard's record; feed Read.
	ReadRecord struct{ Shard int }
	// ListRecords reads all records; feed Listed.
	ListRecords struct{}
	// WriteRecord writes a record over a version, 0 for a new one; feed Wrote in any case.
	WriteRecord struct {
		Shard     int
		Record    allotment.Record
		IfVersion uint64
	}
	// Wake asks for a Flush at a time.
	Wake struct{ At time.Time }
	// Settled tells that waiting draws of an organisation should be tried again.
	Settled struct{ Organisation string }
)
