package roster

import (
	"time"

	"berylpass/fleet/member"
)

// expire declares members dead whose suspicion has timed out, and removes expired
// records. While this daemon is probably cut off itself, it extends suspicions
// instead.
func (r *Roster) expire() {
	cutOff := r.connectivity.cutOff(r.now)
	for _, row := range r.table.suspectOrDead() {
		switch {
		case row.state() == member.Suspect && !r.now.Before(row.suspectUntil):
			if cutOff {
				row.suspectUntil = r.now.Add(SuspicionTimeout)
				continue
			}
			r.setMemberState(row, member.Dead)
		case !row.alive() && r.now.Sub(row.since) > DeadRetention && r.mayForget(row):
			r.table.removeMember(row.delta.ID)
			r.stale = true
		}
	}
	if r.table.goneBackends > 0 && r.now.Sub(r.goneSweptAt) >= goneSweepInterval {
		r.goneSweptAt = r.now
		r.forgetGoneBackends()
	}
}

// goneSweepInterval is the time between two searches for expired records of gone
// backend servers.
const goneSweepInterval = 10 * time.Second

func (r *Roster) forgetGoneBackends() {
	for id := range r.table.backends {
		for _, row := range r.table.backendRows(id) {
			if row.gone() && r.now.Sub(row.since) > GoneRetention {
				r.table.removeBackend(row.delta)
			}
		}
	}
}

// mayForget reports whether the record of a dead member may be removed. A member that
// did not depart is kept until the store is known to have been reached
// recently: otherwise a partition of the fleet would forget the others and take
// itself for the whole fleet.
func (r *Roster) mayForget(row *memberRow) bool {
	return row.delta.Left || r.connectivity.evidenceFresh(r.now)
}

// setMemberState changes the state of another member without raising the version of
// its record, which only the member itself may do.
func (r *Roster) setMemberState(row *memberRow, state member.State) {
	d := row.delta
	d.State = uint8(state)
	wasAlive := row.alive()
	r.table.setMember(row, d)
	r.memberUpdated(row, wasAlive)
}

// cleanUpRecords emits DeleteRecord for members that have been dead for
// recordCleanupDelay or remoteRecordCleanupDelay, if this daemon watches the store and
// is probably not cut off.
func (r *Roster) cleanUpRecords() {
	if !r.watches || r.connectivity.cutOff(r.now) {
		return
	}
	for _, row := range r.table.suspectOrDead() {
		wait := remoteRecordCleanupDelay
		if row.delta.Datacentre == r.self.Datacentre {
			wait = recordCleanupDelay
		}
		if row.alive() || row.deletionRequested || r.now.Sub(row.since) < wait {
			continue
		}
		row.deletionRequested = true
		r.emit(DeleteRecord{ID: row.delta.ID, Incarnation: row.delta.Incarnation})
	}
}

// resume restarts probe rounds and suspicion timeouts after this process was paused:
// other members seem silent only because this daemon was not running.
func (r *Roster) resume() {
	r.probing.reset(r.now)
	for _, row := range r.table.members {
		if row.state() == member.Suspect {
			row.suspectUntil = r.now.Add(SuspicionTimeout)
		}
	}
}
