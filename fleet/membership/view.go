package membership

import (
	"slices"

	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// view is a read-only copy of the roster's tables, so that readers don't need the lock.
// It is dropped when the tables change.
type view struct {
	members []member.Member
	byID    map[member.ID]member.Member
	// backends are the backend servers by service.
	backends map[string][]backend.Backend
}

// Members returns all members in the table, dead ones included, ordered by ID.
func (m *Membership) Members() []member.Member { return slices.Clone(m.currentView().members) }

// Member returns the member with the given ID and reports whether it is in the table.
func (m *Membership) Member(id member.ID) (member.Member, bool) {
	found, ok := m.currentView().byID[id]
	return found, ok
}

// Backends returns the backend servers of a service, ordered by ID, without those that
// are gone or whose daemon is dead. Callers must not modify the slice.
func (m *Membership) Backends(service string) []backend.Backend {
	return m.currentView().backends[service]
}

// currentView returns the view, which it makes if there is none.
func (m *Membership) currentView() *view {
	if v := m.view.Load(); v != nil {
		return v
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	v := &view{
		members: m.roster.Members(), byID: map[member.ID]member.Member{},
		backends: map[string][]backend.Backend{},
	}
	for _, each := range v.members {
		v.byID[each.ID] = each
	}
	for _, b := range m.roster.Backends() {
		v.backends[b.Service] = append(v.backends[b.Service], b)
	}
	m.view.Store(v)
	return v
}
