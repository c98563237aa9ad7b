package membership

import (
	"slices"

	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// view is a read-only copy of the roster's members, so that readers don't need the lock.
// It is dropped when they change.
type view struct {
	members []member.Member
	// revisions are the configuration revisions of the members.
	revisions map[member.ID]uint64
}

// Members returns all members in the table, dead ones included, ordered by ID.
func (m *Membership) Members() []member.Member { return slices.Clone(m.currentView().members) }

// Member returns the member with the given ID and reports whether it is in the table. It reads the roster: when a
// fleet starts, each change of a member or a backend server is followed by one look-up, for which no view is worth
// making.
func (m *Membership) Member(id member.ID) (member.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Member(id)
}

// Backends returns the backend servers of a service, ordered by ID, without those that
// are gone or whose daemon is dead.
func (m *Membership) Backends(service string) []backend.Backend {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(m.roster.Backends(), func(b backend.Backend) bool { return b.Service != service })
}

// currentView returns the view, which it makes if there is none.
func (m *Membership) currentView() *view {
	if v := m.view.Load(); v != nil {
		return v
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	v := &view{members: m.roster.Members(), revisions: map[member.ID]uint64{}}
	for _, each := range v.members {
		v.revisions[each.ID] = each.Revision
	}
	m.viewsMade++
	m.view.Store(v)
	return v
}
