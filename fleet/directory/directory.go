// Package directory knows the control addresses of members. It stands between the
// mesh, which dials by it, and membership, which calls over the mesh and keeps the
// directory up to date. It is safe for concurrent use.
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

// Directory maps members to control addresses.
type Directory struct {
	mu        sync.RWMutex
	addresses map[member.ID]string
}

// New returns an empty directory.
func New() *Directory { return &Directory{addresses: map[member.ID]string{}} }

// Set records the control address of a member, host:port.
func (d *Directory) Set(id member.ID, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses[id] = address
}

// ControlAddress returns the control address of a member.
func (d *Directory) ControlAddress(id member.ID) (string, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	address, ok := d.addresses[id]
	return address, ok
}
