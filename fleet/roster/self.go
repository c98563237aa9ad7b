package roster

import (
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// nextVersion returns a version above those of all records of this daemon so far.
func (r *Roster) nextVersion() uint64 {
	r.version++
	return r.version
}

// announceSelf stores this daemon's own record with a new version and queues it for
// other members.
func (r *Roster) announceSelf() {
	r.self.Version = r.nextVersion()
	row := r.table.members[r.self.ID]
	r.table.setMember(row, r.self)
	row.since = r.now
	r.queue.add(r.self)
	r.recordChange()
}

func (r *Roster) ownRecord() Record {
	return Record{Member: r.table.members[r.self.ID].member(), Version: r.self.Version}
}

// leave changes this daemon from Serving to Leaving. It does nothing in other states.
func (r *Roster) leave() {
	if r.self.State != uint8(member.Serving) {
		return
	}
	r.self.State = uint8(member.Leaving)
	r.announceSelf()
	r.emit(MemberChanged{Member: r.table.members[r.self.ID].member()})
	r.emit(WriteRecord{Record: r.ownRecord()})
	r.pushFresh()
}

// rewriteRecord asks for this daemon's record to be written again, or to be removed again if the
// daemon has departed.
func (r *Roster) rewriteRecord() {
	switch {
	case r.self.Left:
		r.emit(DeleteRecord{ID: r.self.ID, Incarnation: r.self.Incarnation})
	case r.recordRequested:
		r.emit(WriteRecord{Record: r.ownRecord()})
	}
}

// depart sends all neighbours the record of this daemon as dead, so that they don't
// have to detect its end by failed probes.
func (r *Roster) depart() {
	r.refresh()
	r.self.State, r.self.Left = uint8(member.Dead), true
	r.announceSelf()
	for _, id := range r.neighbours {
		m := r.message(Push)
		m.Deltas = []Delta{r.self}
		r.send(id, "", m)
	}
	r.emit(DeleteRecord{ID: r.self.ID, Incarnation: r.self.Incarnation})
}

// setOwnBackend sets the record of a backend server on this daemon's VM and pushes it
// to neighbours, if it has changed.
func (r *Roster) setOwnBackend(b backend.Backend) {
	row := r.table.backends[r.self.ID][b.ID]
	d := Delta{
		ID: r.self.ID, Incarnation: r.self.Incarnation, State: uint8(b.State),
		Backend: b.ID, Service: b.Service, Slots: b.Slots, BackendIncarnation: b.Incarnation,
		BackendVersion: b.Version,
	}
	if row != nil {
		d.Version = row.delta.Version
		if row.delta == d && row.address == b.Address {
			return
		}
	}
	d.Version = r.nextVersion()
	row = r.table.setBackend(d, r.now)
	row.address = b.Address
	r.queue.add(d)
	r.recordChange()
	r.emit(BackendChanged{Backend: row.backend()})
	r.pushFresh()
}

// mergeOwn processes a delta from another daemon or the store about this daemon or a
// backend server on its VM. If the delta would override this daemon's own record of the
// same incarnation, that record is announced again with a higher version. If the delta
// has a higher incarnation, this daemon raises its own above it or is superseded.
func (r *Roster) mergeOwn(d Delta) {
	if d.Incarnation > r.self.Incarnation {
		if r.isEarlierRun(d) {
			r.raiseIncarnation(d.Incarnation + 1)
			return
		}
		r.emit(Superseded{Incarnation: d.Incarnation})
		return
	}
	if d.Incarnation < r.self.Incarnation {
		return
	}
	if d.isBackend() {
		r.refuteBackend(d)
		return
	}
	if !d.supersedes(r.self) {
		return
	}
	r.version = max(r.version, d.Version)
	r.announceSelf()
	r.pushFresh()
	if member.State(d.State) == member.Dead {
		r.emit(WriteRecord{Record: r.ownRecord()})
	}
}

// isEarlierRun reports whether a delta with a higher incarnation may belong to an
// earlier run of this daemon. It may if the incarnation is unconfirmed and the delta
// has the same control address, or none, as for a suspected or dead member.
func (r *Roster) isEarlierRun(d Delta) bool {
	return r.unconfirmed && (d.Control == r.self.Control || d.Control == "")
}

// raiseIncarnation sets a higher incarnation on the records of this daemon and of the
// backend servers on its VM, and announces them.
func (r *Roster) raiseIncarnation(incarnation uint64) {
	r.self.Incarnation = incarnation
	r.announceSelf()
	for _, row := range r.table.backendRows(r.self.ID) {
		d := row.delta
		d.Incarnation, d.Version = incarnation, r.nextVersion()
		r.table.setBackend(d, r.now)
		r.queue.add(d)
	}
	r.emit(IncarnationRaised{Incarnation: incarnation})
	r.emit(WriteRecord{Record: r.ownRecord()})
	r.pushFresh()
}

// refuteBackend announces the actual state of a backend server on this daemon's VM
// again, with a version above that of d. A backend server that this daemon doesn't
// know is announced as gone.
func (r *Roster) refuteBackend(d Delta) {
	row := r.table.backends[r.self.ID][d.Backend]
	if row != nil && !d.supersedes(row.delta) {
		return
	}
	if row == nil && backend.State(d.State) == backend.Gone {
		return
	}
	current := d
	current.State = uint8(backend.Gone)
	if row != nil {
		current = row.delta
	}
	r.version = max(r.version, d.Version)
	current.Version = r.nextVersion()
	r.table.setBackend(current, r.now)
	r.queue.add(current)
	r.recordChange()
}
