package membership

import (
	"slices"

	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// view is a copy of the tables for readers; it is dropped when they change.
type view struct {
	members  []member.Member
	byID     map[member.ID]member.Member
	backends map[string][]backend.Backend
}

// Members returns all daemons that are remembered, dead ones included, in order of IDs.
func (m *Membership) Members() []member.Member { return slices.Clone(m.current().members) }

// Member returns one daemon.
func (m *Membership) Member(id member.ID) (member.Member, bool) {
	found, ok := m.current().byID[id]
	return found, ok
}

// Backends returns the backend servers of a service, in order of IDs, without
// those that are gone or whose daemon is dead. Callers must not change the slice.
func (m *Membership) Backends(service string) []backend.Backend { return m.current().backends[service] }

func (m *Membership) current() *view {
	if v := m.view.Load(); v != nil {
		return v
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	v := &view{
		members: m.roster.Members(), byID: map[member.ID]member.Member{},
		backends: map[string][]backend.Backend{},
	}
	for _, one := range v.members {
		v.byID[one.ID] = one
	}
	for _, b := range m.roster.Backends() {
		v.backends[b.Service] = append(v.backends[b.Service], b)
	}
	m.view.Store(v)
	return v
}
