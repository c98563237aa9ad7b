// Package backend describes a backend server, one process that runs requests.
//
// # Usage
//
//	b := backend.New("rounds-3", "rounds", "vm-17").WithSlots(4).WithState(backend.Draining)
package backend

import "berylpass/fleet/member"

// ID names a backend server; it is unique in the fleet.
type ID string

// State is what a backend server says of itself.
type State uint8

// The states of a backend server.
const (
	// Serving backend servers take new work.
	Serving State = iota
	// Draining backend servers finish what they have and take no new work.
	Draining
	// Gone backend servers have left or are dead.
	Gone
)

var names = [...]string{"serving", "draining", "gone"}

// String returns the kebab-case name of the state.
func (s State) String() string {
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Backend is a backend server as the fleet knows it.
type Backend struct {
	ID      ID
	Service string
	// Member is the daemon on the same VM, the only way to the backend server.
	Member member.ID
	// Address is host:port on the VM's loopback; it is known to the daemon beside it only.
	Address string
	// Slots is the number of requests that it runs at once when warm.
	Slots int
	// Incarnation rises with each start of the backend server.
	Incarnation uint64
	State       State
}

// New returns a serving backend server of the service beside the given daemon.
func New(id ID, service string, beside member.ID) Backend {
	return Backend{ID: id, Service: service, Member: beside}
}

// WithAddress returns a copy with the loopback address.
func (b Backend) WithAddress(address string) Backend {
	b.Address = address
	return b
}

// WithSlots returns a copy with n slots.
func (b Backend) WithSlots(n int) Backend {
	b.Slots = n
	return b
}

// WithIncarnation returns a copy with the incarnation.
func (b Backend) WithIncarnation(n uint64) Backend {
	b.Incarnation = n
	return b
}

// WithState returns a copy in the state s.
func (b Backend) WithState(s State) Backend {
	b.State = s
	return b
}
