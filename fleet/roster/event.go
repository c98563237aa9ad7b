package roster

import (
	"time"

	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// The events that Update accepts.
type (
	// Tick makes Update act on the time passed; the caller sends one every TickInterval.
	Tick struct{}
	// Received is a call from another daemon; Update returns the answer as a Reply.
	Received struct{ Message Message }
	// CallAnswered is the answer to the Send action with the same Seq.
	CallAnswered struct {
		Seq     uint64
		Message Message
	}
	// CallFailed reports that the call of the Send action with this Seq failed.
	CallFailed struct{ Seq uint64 }
	// BackendSet adds or changes a backend server on this daemon's VM; the state
	// backend.Gone removes it.
	BackendSet struct{ Backend backend.Backend }
	// RevisionSet sets the configuration revision in force in this daemon; a lower
	// one than before is ignored.
	RevisionSet struct{ Revision uint64 }
	// Leave makes this daemon Leaving: it finishes its work and takes no new work.
	Leave struct{}
	// Depart declares this daemon dead because its process ends.
	Depart struct{}
	// StoreRecords are member records read from the platform's store.
	StoreRecords struct{ Records []Record }
	// StoreRestored reports that the platform's store has gone on from an older copy: the record
	// of this daemon that it had acknowledged may be gone.
	StoreRestored struct{}
	// StoreAnswered reports that the platform's store answered a call made at CalledAt.
	StoreAnswered struct{ CalledAt time.Time }
)

// The actions that Update returns.
type (
	// Reply answers the call that Update was given as Received.
	Reply struct{ Message Message }
	// Send asks for a call to another daemon, by its control address if Address is
	// set and by the ID To otherwise. Its outcome is to be reported as CallAnswered or
	// CallFailed.
	Send struct {
		Seq     uint64
		To      member.ID
		Address string
		Message Message
	}
	// MemberChanged reports the new state of a member.
	MemberChanged struct{ Member member.Member }
	// BackendChanged reports the new state of a backend server.
	BackendChanged struct{ Backend backend.Backend }
	// RevisionReported reports the configuration revision in force at a member, as stated
	// by a message of that member.
	RevisionReported struct {
		Revision uint64
		From     member.ID
	}
	// ClockReported reports a member's time since its start, in milliseconds, when it
	// sent a message.
	ClockReported struct {
		From               member.ID
		Incarnation        uint64
		UptimeMilliseconds uint64
	}
	// WriteRecord asks for this daemon's record to be written to the store.
	WriteRecord struct{ Record Record }
	// DeleteRecord asks for a member's record to be removed from the store if it has
	// this incarnation or a lower one.
	DeleteRecord struct {
		ID          member.ID
		Incarnation uint64
	}
	// WatchStore reports whether this daemon is to watch the member records in the store.
	WatchStore struct{ Watch bool }
	// CheckStore asks for a cheap call to the store; an answer is to be reported as
	// StoreAnswered.
	CheckStore struct{}
	// IncarnationRaised reports this daemon's new incarnation: the fleet knew the daemon by a
	// higher one, from an earlier run whose clock was ahead.
	IncarnationRaised struct{ Incarnation uint64 }
	// Superseded reports that a daemon with the same ID and a higher incarnation is in
	// the fleet; this one must end.
	Superseded struct{ Incarnation uint64 }
)

// Record is a member record in the platform's store. Version is the version of the
// member's state, not that of the store's object.
type Record struct {
	Member  member.Member
	Version uint64
}
