package roster

import (
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// merge applies deltas to the table. If forward is set, the deltas that change the
// table are queued for other members; those in the answer to a Sync request are not.
func (r *Roster) merge(deltas []Delta, forward bool) {
	r.forwarding = forward

	for _, d := range deltas {
		switch {
		case !d.valid():
		case d.ID == r.self.ID:
			r.mergeOwn(d)
		case d.isBackend():
			r.mergeBackend(d)
		default:
			r.mergeMember(d)
		}
	}
}

// mergeMember applies the delta of another member. It ignores an unknown member that
// is dead, and an unknown member or incarnation without an address.
func (r *Roster) mergeMember(d Delta) {
	row, known := r.table.members[d.ID]
	if !known {
		if d.Control == "" || member.State(d.State) == member.Dead {
			return
		}
		row = r.table.addMember(d)
		r.memberUpdated(row, false)
		return
	}
	if !d.supersedes(row.delta) {
		return
	}
	restarted := d.Incarnation > row.delta.Incarnation
	if d.Control == "" {
		if restarted {
			return
		}
		d.Datacentre, d.Control, d.Data = row.delta.Datacentre, row.delta.Control, row.delta.Data
	}
	wasAlive := row.alive()
	r.table.setMember(row, d)
	if restarted {
		r.dropOldBackends(row)
	}
	r.memberUpdated(row, wasAlive)
}

// memberUpdated updates timers and probes after a member's delta has changed, queues
// the delta and emits the changes. wasAlive is whether the member was in the table
// and not dead before.
func (r *Roster) memberUpdated(row *memberRow, wasAlive bool) {
	row.since = r.now
	row.deletionRequested = false
	if row.state() == member.Suspect {
		row.suspectUntil = r.now.Add(SuspicionTimeout)
	}
	r.stale = true
	if row.alive() != wasAlive {
		r.probing.forget(row.delta.ID)
	}
	r.recordChange()
	if r.forwarding {
		r.queue.add(compact(row.delta))
	}
	r.emit(MemberChanged{Member: row.member()})
	if row.alive() != wasAlive {
		r.emitBackendChanges(row)
	}
}

// compact returns the delta of a suspected or dead member without the data centre and
// addresses, which the receivers already know. It returns other deltas unchanged.
func compact(d Delta) Delta {
	if s := member.State(d.State); s == member.Suspect || s == member.Dead {
		d.Datacentre, d.Control, d.Data = "", "", ""
	}
	return d
}

// emitBackendChanges emits a BackendChanged for each backend server of a member that
// has died or come back.
func (r *Roster) emitBackendChanges(row *memberRow) {
	for _, server := range r.table.backendRows(row.delta.ID) {
		if server.gone() {
			continue
		}
		b := server.backend()
		if !row.alive() {
			b = b.WithState(backend.Gone)
		}
		r.emit(BackendChanged{Backend: b})
	}
}

// dropOldBackends removes the backend servers that an earlier incarnation of a member
// announced.
func (r *Roster) dropOldBackends(row *memberRow) {
	for _, server := range r.table.backendRows(row.delta.ID) {
		if server.delta.Incarnation >= row.delta.Incarnation {
			continue
		}
		r.table.removeBackend(server.delta)
		if !server.gone() {
			r.emit(BackendChanged{Backend: server.backend().WithState(backend.Gone)})
		}
	}
}

// mergeBackend applies the delta of another member's backend server. It ignores one
// whose member is unknown or has another incarnation.
func (r *Roster) mergeBackend(d Delta) {
	owner, known := r.table.members[d.ID]
	if !known || owner.delta.Incarnation != d.Incarnation {
		return
	}
	row := r.table.backends[d.ID][d.Backend]
	if row != nil && !d.supersedes(row.delta) {
		return
	}
	if row == nil && backend.State(d.State) == backend.Gone {
		return
	}
	row = r.table.setBackend(d, r.now)
	r.recordChange()
	if r.forwarding {
		r.queue.add(d)
	}
	if owner.alive() {
		r.emit(BackendChanged{Backend: row.backend()})
	}
}

// mergeRecords applies records read from the store.
func (r *Roster) mergeRecords(records []Record) {
	r.forwarding = false
	for _, record := range records {
		m := record.Member
		d := Delta{
			ID: m.ID, Incarnation: m.Incarnation, Version: record.Version, State: uint8(m.State),
			Datacentre: m.Datacentre, Control: m.Control, Data: m.Data,
		}
		if d.ID == r.self.ID {
			r.mergeOwn(d)
			continue
		}
		r.mergeMember(d)
	}
}
