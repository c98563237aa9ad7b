package revision

import (
	"time"

	"berylpass/fleet/member"
	"berylpass/mesh"
)

// Names of the net/rpc service and its methods.
const (
	// ServiceName is the name under which the Receiver is registered.
	ServiceName    = "Config"
	noticeMethod   = ServiceName + ".Notice"
	manifestMethod = ServiceName + ".Manifest"
	chunkMethod    = ServiceName + ".Chunk"
	proofMethod    = ServiceName + ".Proof"
)

// Notice states the revision in force at the daemon From. It isn't daemon.Notice, which
// reports the state of a backend server.
type Notice struct {
	Revision uint64
	From     member.ID
	// Number is the operators' own number of the configuration in force. Era is the latest era of
	// the store that the daemon knows of; Revision may be of an earlier one.
	Number, Era uint64
	// Settling is the time for which reads of the era are no proof yet.
	Settling time.Duration
}

// Proof states how long ago a daemon's configuration was proved to be the newest.
type Proof struct {
	// Known is false if the daemon has no proof.
	Known bool
	// Age is the time since the start of the read of the store that is the proof.
	Age time.Duration
	// Revision is the revision in force at the daemon; Number, Era and Settling are as in Notice.
	Revision, Number, Era uint64
	Settling              time.Duration
	// Outages holds the names of the data centres out of service, OutagesAsOf the store's
	// version as of which the list holds (0 if it is unknown), and OutagesAge the time since
	// the list was read.
	Outages     []string
	OutagesAsOf uint64
	OutagesAge  time.Duration
	// Orders holds the roll-out orders as JSON, so that daemons without any exchange no description of
	// their fields; empty for none. OrdersAsOf is the store's version as of which the list holds
	// (0 if it is unknown), and OrdersAge the time since the list was read.
	Orders     []byte
	OrdersAsOf uint64
	OrdersAge  time.Duration
	// Held holds the data centres that are out of service for HeldFor longer although the list
	// doesn't name them; see package outage.
	Held    []string
	HeldFor time.Duration
}

// Request asks for the manifest, or for a chunk.
type Request struct {
	// Chunk is the digest of the requested chunk; unused for the manifest.
	Chunk [32]byte
	// Held is the SHA-256 digest of the signed manifest that the caller holds.
	Held [32]byte
}

// Document is a signed manifest, compressed by pack.
type Document struct {
	// Revision is the manifest's revision, 0 if the daemon has none.
	Revision uint64
	Packed   []byte
	// Relative is true if the manifest that the caller holds is the dictionary of Packed.
	Relative bool
}

// Chunk is the answer to the request for a chunk, compressed by pack.
type Chunk struct {
	// Found is false if the daemon doesn't hold the chunk.
	Found  bool
	Packed []byte
	// Dictionary holds the digests of chunks that the caller holds; joined in this order,
	// they are the dictionary of Packed.
	Dictionary [][32]byte
}

// Receiver answers other daemons' calls by net/rpc.
type Receiver struct{ follower *Follower }

// Receiver returns the receiver to register under ServiceName.
func (f *Follower) Receiver() *Receiver { return &Receiver{follower: f} }

// Notice records the revision in force at the caller and returns the one in force here.
func (r *Receiver) Notice(notice Notice, reply *Notice) (err error) {
	defer mesh.Recover(&err)
	r.follower.recordNotice(notice)
	*reply = r.follower.notice()
	return nil
}

// Proof records the revision in force at the caller and returns this daemon's proof.
func (r *Receiver) Proof(notice Notice, reply *Proof) (err error) {
	defer mesh.Recover(&err)
	r.follower.recordNotice(notice)
	*reply = r.follower.ownProof()
	return nil
}

// Manifest returns the signed manifest in force, relative to the caller's manifest if that
// is the previous one here.
func (r *Receiver) Manifest(request Request, reply *Document) (err error) {
	defer mesh.Recover(&err)
	current, previous := r.follower.currentAndPrevious()
	*reply = Document{Revision: current.snapshot.Revision, Relative: previous.digest() == request.Held}
	if reply.Relative {
		reply.Packed = pack(current.signedManifest, previous.signedManifest)
		return nil
	}
	reply.Packed = pack(current.signedManifest, nil)
	return nil
}

// Chunk returns a chunk of the revision in force or of the previous one.
func (r *Receiver) Chunk(request Request, reply *Chunk) (err error) {
	defer mesh.Recover(&err)
	current, previous := r.follower.currentAndPrevious()
	value, found := current.chunks[request.Chunk]
	if !found {
		value, found = previous.chunks[request.Chunk]
	}
	*reply = Chunk{Found: found}
	if !found {
		return nil
	}
	var dictionary []byte
	if previous.digest() == request.Held {
		reply.Dictionary = previous.dropped(current)
		dictionary, _ = previous.dictionary(reply.Dictionary)
	}
	reply.Packed = pack(value, dictionary)
	return nil
}
