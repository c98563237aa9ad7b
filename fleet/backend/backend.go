// Package backend describes backend servers. A backend server is a process that executes
// requests.
//
// # Usage
//
//	b := backend.New("rounds-3", "rounds", "vm-17").WithSlots(4).WithState(backend.Draining)
package backend

import "berylpass/fleet/member"

// ID identifies a backend server; it is unique in the fleet.
type ID string

// State is the state of a backend server.
type State uint8

// The states of a backend server.
const (
	// Serving backend servers take new requests.
	Serving State = iota
	// Draining backend servers finish the requests that they have and take no new ones.
	Draining
	// Gone backend servers have left or are dead.
	Gone
)

var stateNames = [...]string{"serving", "draining", "gone"}

// String returns the kebab-case name of the state.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Backend is what the fleet knows of a backend server.
type Backend struct {
	ID ID
	// Service is the name of the service to which the backend server belongs.
	Service string
	// Member is the daemon on the same VM, through which all requests to the backend
	// server go.
	Member member.ID
	// Address is host:port on the VM's loopback interface. Only the daemon on the VM
	// knows it; for others it is empty.
	Address string
	// Slots is the number of requests that the backend server executes concurrently when
	// it is warm.
	Slots int
	// Incarnation is higher after each start of the backend server.
	Incarnation uint64
	State       State
	// Version is the version of the backend server's software; empty if it announces none.
	Version string
}

// New returns a serving backend server of the service on the VM of the given daemon.
func New(id ID, service string, daemon member.ID) Backend {
	return Backend{ID: id, Service: service, Member: daemon}
}

// WithAddress returns a copy with the loopback address, host:port.
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

// WithVersion returns a copy with the version of its software.
func (b Backend) WithVersion(version string) Backend {
	b.Version = version
	return b
}

// WithState returns a copy in the state s.
func (b Backend) WithState(s State) Backend {
	b.State = s
	return b
}
