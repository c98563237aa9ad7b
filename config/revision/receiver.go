package revision

import "berylpass/fleet/member"

// Names in net/rpc.
const (
	// ServiceName is the name under which Receiver is to be registered.
	ServiceName    = "Config"
	noticeMethod   = ServiceName + ".Notice"
	manifestMethod = ServiceName + ".Manifest"
	chunkMethod    = ServiceName + ".Chunk"
)

// Notice tells the revision in force at a daemon.
type Notice struct {
	Revision uint64
	From     member.ID
}

// Document is a signed manifest; Revision is 0 for none.
type Document struct {
	Revision uint64
	Manifest []byte
}

// Chunk is the answer to the request for a chunk.
type Chunk struct {
	Found bool
	Value []byte
}

// Receiver answers other daemons' calls by net/rpc.
type Receiver struct{ follower *Follower }

// Receiver returns the receiver to register as ServiceName.
func (f *Follower) Receiver() *Receiver { return &Receiver{follower: f} }

// Notice takes the revision in force at the caller, and answers with the one here.
func (r *Receiver) Notice(notice Notice, reply *Notice) error {
	r.follower.Heard(notice.Revision, notice.From)
	*reply = Notice{Revision: r.follower.Current().Revision, From: r.follower.fleet.Self()}
	return nil
}

// Manifest returns the signed manifest in force.
func (r *Receiver) Manifest(_ bool, reply *Document) error {
	held := r.follower.current.Load()
	*reply = Document{Revision: held.snapshot.Revision, Manifest: held.manifest}
	return nil
}

// Chunk returns a chunk of the revision in force or of the one before.
func (r *Receiver) Chunk(digest [32]byte, reply *Chunk) error {
	value, found := r.follower.chunk(digest)
	*reply = Chunk{Found: found, Value: value}
	return nil
}
