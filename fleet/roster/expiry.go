package roster

import (
	"time"

	"berylpass/fleet/member"
)

// expire declares suspected members dead and forgets what is old.
func (r *Roster) expire() {
	doubtful := r.reach.doubtful(r.now)
	for _, row := range r.table.troubled() {
		switch {
		case row.state() == member.Suspect && !r.now.Before(row.suspectUntil):
			if doubtful {
				row.suspectUntil = r.now.Add(SuspicionTimeout)
				continue
			}
			r.judge(row, member.Dead)
		case !row.alive() && r.now.Sub(row.since) > DeadRetention && r.mayForget(row):
			r.table.removeMember(row.delta.ID)
			r.moved = true
		}
	}
	if r.table.gone > 0 && r.now.Sub(r.cleanedAt) >= goneInterval {
		r.cleanedAt = r.now
		r.forgetGone()
	}
}

// goneInterval is the time between searches for backend servers to forget.
const goneInterval = 10 * time.Second

func (r *Roster) forgetGone() {
	for id := range r.table.backends {
		for _, beside := range r.table.besides(id) {
			if beside.gone() && r.now.Sub(beside.since) > GoneRetention {
				r.table.removeBackend(beside.delta)
			}
		}
	}
}

// mayForget keeps members that died, rather than left, until the store has been
// seen: a part of the fleet that is cut off must not take itself for the whole.
func (r *Roster) mayForget(row *memberRow) bool {
	return row.delta.Left || r.reach.evidenceFresh(r.now)
}

// judge changes the state of another member at its present version.
func (r *Roster) judge(row *memberRow, state member.State) {
	d := row.delta
	d.State = uint8(state)
	wasAlive := row.alive()
	r.table.setMember(row, d)
	r.accept(row, wasAlive)
}

// clean removes the store's records of members that are dead for good.
func (r *Roster) clean() {
	if !r.watches || r.reach.doubtful(r.now) {
		return
	}
	for _, row := range r.table.troubled() {
		wait := cleanForeignAfter
		if row.delta.Datacentre == r.self.Datacentre {
			wait = cleanAfter
		}
		if row.alive() || row.cleaned || r.now.Sub(row.since) < wait {
			continue
		}
		row.cleaned = true
		r.emit(DeleteRecord{ID: row.delta.ID, Incarnation: row.delta.Incarnation})
	}
}

// resume starts probes and suspicions afresh after this process was paused: the
// silence that it sees is its own.
func (r *Roster) resume() {
	r.probing.reset(r.now)
	for _, row := range r.table.members {
		if row.state() == member.Suspect {
			row.suspectUntil = r.now.Add(SuspicionTimeout)
		}
	}
}
