// Package directory maps the IDs of members to their control addresses. The mesh looks
// up the addresses that it dials in the directory, and package membership, which makes
// its calls over the mesh, keeps the directory up to date.
//
// # Usage
//
//	d := directory.New()
//	m, err := mesh.New(address, key, d)
//	fleet := membership.New(self, m, d, store)
package directory

import (
	"sync"

	"berylpass/fleet/member"
)

// Directory maps member IDs to control addresses. It is safe for concurrent use.
type Directory struct {
	mu        sync.RWMutex
	addresses map[member.ID]string
}

// New returns an empty directory.
func New() *Directory { return &Directory{addresses: map[member.ID]string{}} }

// Set sets the control address (host:port) of a member.
func (d *Directory) Set(id member.ID, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses[id] = address
}

// ControlAddress returns the control address of a member and reports whether it is known.
func (d *Directory) ControlAddress(id member.ID) (string, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	address, ok := d.addresses[id]
	return address, ok
}
