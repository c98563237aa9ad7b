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
	// Acknowledgement is the answer to every message.
	Acknowledgement Kind = iota
	// Probe asks the receiver for an acknowledgement, which proves that it is alive.
	Probe
	// RelayRequest asks the receiver, a helper, to probe Target. It has nothing to do with
	// package relay.
	RelayRequest
	// RelayAnswer reports to the sender of a RelayRequest with the same Nonce that
	// Target has answered.
	RelayAnswer
	// Push carries deltas that have just been queued.
	Push
	// Sync carries the sender's bucket hashes and asks for the records in buckets that
	// differ.
	Sync
)

// Message is the argument and the reply of an exchange between two daemons. Every
// message carries the header fields, From to EvidenceFrom. gob sends the fields under
// their names.
type Message struct {
	Kind Kind
	// From is the ID of the sender.
	From member.ID
	// Incarnation is the incarnation of the sender.
	Incarnation uint64
	// Clock is the sender's time since its start, in milliseconds.
	Clock uint64
	// Revision is the configuration revision in force at the sender.
	Revision uint64
	// Hash is a digest of the sender's table; equal tables have equal hashes.
	Hash uint32
	// Size is the number of records that Hash covers.
	Size int
	// Evidence is 1 plus the age in milliseconds of the sender's evidence: of the last
	// time at which it knows a daemon to have reached the platform's store. It is 0 if
	// the sender has none from the last hour.
	Evidence uint64
	// EvidenceFrom is the ID of the daemon that reached the store.
	EvidenceFrom member.ID
	// Stranger reports whether the sender has no record of the receiver, or only one
	// of an earlier incarnation.
	Stranger bool
	// Target is the member to probe, in RelayRequest and RelayAnswer.
	Target member.ID
	// Nonce is the probe round of the sender of the RelayRequest.
	Nonce uint64
	// Buckets are the sender's bucket hashes, in a Sync.
	Buckets []uint32
	Deltas  []Delta
}

// evidenceAge returns the time between the store contact of EvidenceFrom and the
// sending of the message. Evidence must not be 0.
func (m Message) evidenceAge() time.Duration {
	return time.Duration(min(m.Evidence-1, maxEvidenceAgeMilliseconds)) * time.Millisecond
}

// maxEvidenceAgeMilliseconds bounds the age of evidence (24 hours), so that a bad value
// doesn't overflow a time.Duration.
const maxEvidenceAgeMilliseconds = 24 * 3600 * 1000

// Delta is the state of one record: of a backend server if Backend is set, otherwise
// of a member. Gossiped deltas of suspected and dead members carry no data centre and
// addresses.
type Delta struct {
	// ID is the ID of the member, for a backend server of the member on its VM.
	ID member.ID
	// Incarnation is the incarnation of the member.
	Incarnation uint64
	// Version orders the states of a record within an incarnation of the member.
	Version uint64
	// State is a member.State or a backend.State.
	State uint8
	// Left reports whether the member declared itself dead by Depart. Leave doesn't set it.
	Left bool

	// Datacentre, Control and Data are the data centre and addresses of a member; see
	// member.Member.
	Datacentre string
	Control    string
	Data       string

	// Backend, Service, Slots, BackendIncarnation and BackendVersion describe a backend server;
	// see backend.Backend.
	Backend            backend.ID
	Service            string
	Slots              int
	BackendIncarnation uint64
	BackendVersion     string
}

// Sizes of gob-encoded deltas in bytes, estimated.
const (
	// deltaFixedBytes is the size of a delta without its strings.
	deltaFixedBytes = 28
	// messageDeltaBytes is the size limit for the deltas on a probe or its answer.
	messageDeltaBytes = 600
	// pushDeltaBytes is the size limit for the deltas in a Push.
	pushDeltaBytes = 4 << 10
	// syncReplyDeltaBytes is the size limit for the deltas in the answer to a Sync.
	syncReplyDeltaBytes = 32 << 10
)

// encodedSize estimates the gob-encoded size of the delta in bytes.
func (d Delta) encodedSize() int {
	return deltaFixedBytes + len(d.ID) + len(d.Datacentre) + len(d.Control) + len(d.Data) +
		len(d.Backend) + len(d.Service) + len(d.BackendVersion)
}

func (d Delta) isBackend() bool { return d.Backend != "" }

// valid reports whether the delta has a member ID and a known state.
func (d Delta) valid() bool {
	if d.isBackend() {
		return d.ID != "" && d.State <= uint8(backend.Gone)
	}
	return d.ID != "" && d.State <= uint8(member.Dead)
}

// rank orders the states of a record at the same incarnation and version: dead
// overrides suspect, and suspect overrides what the member says of itself.
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
