package roster

import (
	"time"

	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// Kind is the purpose of a message.
type Kind uint8

// The kinds of messages.
const (
	// Acknowledgement answers any message.
	Acknowledgement Kind = iota
	// Probe asks for an acknowledgement.
	Probe
	// RelayRequest asks the receiver to probe Target.
	RelayRequest
	// RelayAnswer tells that Target answered the probe asked for with Nonce.
	RelayAnswer
	// Push carries fresh deltas.
	Push
	// Sync carries the sender's bucket hashes and asks for the records that differ.
	Sync
)

// Message is what two daemons tell each other. Every message carries the header
// fields From to Evidence.
type Message struct {
	Kind Kind
	From member.ID
	// Incarnation is the sender's.
	Incarnation uint64
	// Clock is the sender's time since its start, in milliseconds.
	Clock uint64
	// Revision is the configuration revision in force at the sender.
	Revision uint64
	// Hash covers the sender's tables.
	Hash uint32
	// Size is the number of records in the sender's tables.
	Size int
	// Evidence is 1 plus the milliseconds since a daemon that the sender heard of
	// reached the platform's store; 0 for never.
	Evidence uint64
	// EvidenceFrom is the daemon that reached the store then.
	EvidenceFrom member.ID
	// Stranger tells that the sender lacks the receiver's record.
	Stranger bool
	// Target and Nonce belong to RelayRequest and RelayAnswer.
	Target member.ID
	Nonce  uint64
	// Buckets are the bucket hashes of a Sync.
	Buckets []uint32
	Deltas  []Delta
}

// evidenceAge returns the time since EvidenceFrom reached the store.
func (m Message) evidenceAge() time.Duration {
	return time.Duration(min(m.Evidence-1, maxEvidenceAge)) * time.Millisecond
}

// maxEvidenceAge bounds the age of evidence in milliseconds.
const maxEvidenceAge = 24 * 3600 * 1000

// Delta is the state of one record: of a member, or of a backend server if
// Backend is set. Deltas of suspected and dead members carry no addresses.
type Delta struct {
	// ID is the member, or the member beside the backend server.
	ID member.ID
	// Incarnation is that of the member.
	Incarnation uint64
	// Version orders the states of a record within an incarnation of the member.
	Version uint64
	// State is a member.State or a backend.State.
	State uint8
	// Left tells that the member declared itself dead.
	Left bool

	Datacentre string
	Control    string
	Data       string

	Backend            backend.ID
	Service            string
	Slots              int
	BackendIncarnation uint64
}

// Sizes in bytes, estimated from gob's encoding.
const (
	deltaFixedSize  = 28
	messageDeltas   = 600
	pushDeltas      = 4 << 10
	syncReplyDeltas = 32 << 10
)

// size estimates the encoded size in bytes.
func (d Delta) size() int {
	return deltaFixedSize + len(d.ID) + len(d.Datacentre) + len(d.Control) + len(d.Data) + len(d.Backend) + len(d.Service)
}

func (d Delta) isBackend() bool { return d.Backend != "" }

// valid reports whether the delta names a record and a state that exists.
func (d Delta) valid() bool {
	if d.isBackend() {
		return d.ID != "" && d.State <= uint8(backend.Gone)
	}
	return d.ID != "" && d.State <= uint8(member.Dead)
}

// rank orders the states that a record may have at the same incarnation and version.
func (d Delta) rank() uint8 {
	if d.isBackend() {
		return 0
	}
	switch member.State(d.State) {
	case member.Suspect:
		return 1
	case member.Dead:
		return 2
	default:
		return 0
	}
}

// supersedes reports whether d is newer than other, a delta of the same record.
func (d Delta) supersedes(other Delta) bool {
	if d.Incarnation != other.Incarnation {
		return d.Incarnation > other.Incarnation
	}
	if d.Version != other.Version {
		return d.Version > other.Version
	}
	return d.rank() > other.rank()
}
