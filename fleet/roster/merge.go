package roster

import (
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// merge takes deltas in; what is new here is told on if the deltas are news rather
// than the answer to a synchronisation.
func (r *Roster) merge(deltas []Delta, news bool) {
	r.tellsOn = news

	for _, d := range deltas {
		switch {
		case !d.valid():
		case d.ID == r.self.ID:
			r.refute(d)
		case d.isBackend():
			r.mergeBackend(d)
		default:
			r.mergeMember(d)
		}
	}
}

func (r *Roster) mergeMember(d Delta) {
	row, known := r.table.members[d.ID]
	if !known {
		if d.Control == "" || member.State(d.State) == member.Dead {
			return
		}
		row = r.table.addMember(d)
		r.accept(row, false)
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
	r.accept(row, wasAlive)
}

// accept follows up on a member's new delta.
func (r *Roster) accept(row *memberRow, wasAlive bool) {
	row.since = r.now
	row.cleaned = false
	if row.state() == member.Suspect {
		row.suspectUntil = r.now.Add(SuspicionTimeout)
	}
	r.moved = true
	if row.alive() != wasAlive {
		r.probing.forget(row.delta.ID)
	}
	r.touch()
	if r.tellsOn {
		r.queue.add(brief(row.delta))
	}
	r.emit(MemberChanged{Member: row.member()})
	if row.alive() != wasAlive {
		r.emitBackends(row)
	}
}

// brief returns the delta without what the receivers know if it says nothing new.
func brief(d Delta) Delta {
	if s := member.State(d.State); s == member.Suspect || s == member.Dead {
		d.Datacentre, d.Control, d.Data = "", "", ""
	}
	return d
}

// emitBackends tells that the backend servers beside a member went with it or came back.
func (r *Roster) emitBackends(row *memberRow) {
	for _, beside := range r.table.besides(row.delta.ID) {
		if beside.gone() {
			continue
		}
		b := beside.backend()
		if !row.alive() {
			b = b.WithState(backend.Gone)
		}
		r.emit(BackendChanged{Backend: b})
	}
}

// dropOldBackends removes what a member's earlier incarnation announced.
func (r *Roster) dropOldBackends(row *memberRow) {
	for _, beside := range r.table.besides(row.delta.ID) {
		if beside.delta.Incarnation >= row.delta.Incarnation {
			continue
		}
		r.table.removeBackend(beside.delta)
		if !beside.gone() {
			r.emit(BackendChanged{Backend: beside.backend().WithState(backend.Gone)})
		}
	}
}

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
	r.touch()
	if r.tellsOn {
		r.queue.add(d)
	}
	if owner.alive() {
		r.emit(BackendChanged{Backend: row.backend()})
	}
}

// mergeRecords takes records of the store in.
func (r *Roster) mergeRecords(records []Record) {
	r.tellsOn = false
	for _, record := range records {
		m := record.Member
		d := Delta{
			ID: m.ID, Incarnation: m.Incarnation, Version: record.Version, State: uint8(m.State),
			Datacentre: m.Datacentre, Control: m.Control, Data: m.Data,
		}
		if d.ID == r.self.ID {
			r.refute(d)
			continue
		}
		r.mergeMember(d)
	}
}
