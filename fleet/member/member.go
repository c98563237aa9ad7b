// Package member describes the daemons of the fleet as its members.
//
// # Usage
//
//	m := member.New("vm-17", "srem").WithAddresses("10.0.0.17:7001", "10.0.0.17:7002").WithIncarnation(n)
package member

// ID identifies a daemon. It is unique in the fleet and stays the same after restarts.
type ID string

// State is the state of a daemon.
type State uint8

// The states of a daemon.
const (
	// Serving daemons take new work.
	Serving State = iota
	// Leaving daemons finish their work and take no new work.
	Leaving
	// Suspect daemons have not answered probes; they may be slow, cut off or dead.
	Suspect
	// Dead daemons are out of the fleet until they refute it or restart with a higher
	// incarnation.
	Dead
)

var stateNames = [...]string{"serving", "leaving", "suspect", "dead"}

// String returns the kebab-case name of the state.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Member is a daemon of the fleet.
type Member struct {
	ID         ID
	Datacentre string
	// Control is the address (host:port) for RPC between daemons.
	Control string
	// Data is the address (host:port) for requests forwarded between daemons.
	Data string
	// Incarnation is higher after each start of the daemon.
	Incarnation uint64
	State       State
	// Revision is the highest configuration revision that the daemon has reported.
	Revision uint64
}

// New returns a serving member without addresses.
func New(id ID, datacentre string) Member { return Member{ID: id, Datacentre: datacentre} }

// WithAddresses returns a copy with the control and data addresses.
func (m Member) WithAddresses(control, data string) Member {
	m.Control, m.Data = control, data
	return m
}

// WithIncarnation returns a copy with the incarnation.
func (m Member) WithIncarnation(n uint64) Member {
	m.Incarnation = n
	return m
}

// WithState returns a copy in the state s.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// WithRevision returns a copy with the configuration revision.
func (m Member) WithRevision(revision uint64) Member {
	m.Revision = revision
	return m
}
