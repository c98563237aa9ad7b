package roster

import (
	"slices"
	"time"

	"berylpass/fleet/member"
)

// message returns a message with its header fields set.
func (r *Roster) message(kind Kind) Message {
	m := Message{
		Kind: kind, From: r.self.ID, Incarnation: r.self.Incarnation,
		Clock: uint64(r.now.Sub(r.started).Milliseconds()), Revision: r.revision,
		Hash: r.table.hash(), Size: r.table.size,
	}
	if age := r.now.Sub(r.connectivity.evidenceAt); !r.connectivity.evidenceAt.Equal(r.started) && age < time.Hour {
		m.Evidence = uint64(age.Milliseconds()) + 1
		m.EvidenceFrom = r.connectivity.evidenceFrom
	}
	return m
}

// send emits a Send and returns its sequence number.
func (r *Roster) send(to member.ID, address string, m Message) uint64 {
	r.probing.seq++
	r.probing.calls[r.probing.seq] = call{sentAt: r.now, sync: m.Kind == Sync}
	r.emit(Send{Seq: r.probing.seq, To: to, Address: address, Message: m})
	return r.probing.seq
}

// deltasFor returns the deltas for a message to a member. A member that is suspected
// or dead in the table receives its own record too, so that it can refute it.
func (r *Roster) deltasFor(id member.ID) []Delta {
	deltas := r.queue.take(messageDeltaBytes, len(r.table.members))
	row := r.table.members[id]
	if row == nil || !row.alive() || row.state() == member.Suspect {
		deltas = append(deltas, r.self)
	}
	if row != nil && id != r.self.ID && (!row.alive() || row.state() == member.Suspect) {
		deltas = append(deltas, compact(row.delta))
	}
	return deltas
}

// pushFresh sends the deltas that have not been pushed yet to pushFanout neighbours.
func (r *Roster) pushFresh() {
	r.refresh()
	if len(r.neighbours) == 0 {
		return
	}
	deltas := r.queue.takeFresh(pushDeltaBytes, len(r.table.members))
	if len(deltas) == 0 {
		return
	}
	for _, id := range r.pushTargets() {
		m := r.message(Push)
		m.Deltas = deltas
		r.send(id, "", m)
	}
}

// received processes a call from another daemon and emits the Reply.
func (r *Roster) received(m Message) {
	if !r.acceptHeader(m) {
		reply := r.message(Acknowledgement)
		reply.Deltas = r.newerIncarnation(m)
		r.emit(Reply{Message: reply})
		return
	}
	r.merge(m.Deltas, true)
	reply := r.message(Acknowledgement)
	switch m.Kind {
	case Sync:
		reply.Deltas = r.table.differing(m.Buckets, r.random.IntN(bucketCount), syncReplyDeltaBytes)
	case RelayRequest:
		r.probeOnBehalf(m)
	case RelayAnswer:
		r.relayAnswered(m)
	case Probe:
		reply.Deltas = r.deltasFor(m.From)
	case Push, Acknowledgement:
	}
	row := r.table.members[m.From]
	reply.Stranger = row == nil || row.delta.Incarnation < m.Incarnation
	r.emit(Reply{Message: reply})
}

// acceptHeader processes the header fields of a message. It reports false, and
// ignores the message, if the table has a higher incarnation of the sender or the
// sender has this daemon's ID.
func (r *Roster) acceptHeader(m Message) bool {
	row := r.table.members[m.From]
	if m.From == r.self.ID || row != nil && m.Incarnation < row.delta.Incarnation {
		return false
	}
	r.connectivity.recordMessage(r.now)
	if m.Evidence > 0 && r.defersTo(m.EvidenceFrom) {
		r.connectivity.recordOtherEvidence(r.now.Add(-m.evidenceAge()))
	}
	if row != nil && m.Incarnation == row.delta.Incarnation {
		row.revision = max(row.revision, m.Revision)
	}
	r.emit(RevisionReported{Revision: m.Revision, From: m.From})
	r.emit(ClockReported{From: m.From, Incarnation: m.Incarnation, UptimeMilliseconds: m.Clock})
	return true
}

func (r *Roster) answered(seq uint64, m Message) {
	p := r.probing.rounds[seq]
	c, waited := r.probing.calls[seq]
	delete(r.probing.rounds, seq)
	r.forgetCall(seq)
	if !waited {
		return
	}
	if !r.acceptHeader(m) {
		if newer := r.newerIncarnation(m); newer != nil {
			push := r.message(Push)
			push.Deltas = newer
			r.send(m.From, "", push)
		}
		return
	}
	if m.Evidence > 0 {
		// The age is subtracted from the time of the call, so that a delay of the answer
		// doesn't make the evidence look newer than it is.
		r.connectivity.recordEvidence(c.sentAt.Add(-m.evidenceAge()), m.EvidenceFrom)
	}
	if p != nil && p.counted && p.target == m.From {
		r.recordOutcome(p.target, true)
	}
	if asked := c.helperProbe; asked.requester != "" && asked.target == m.From {
		answer := r.message(RelayAnswer)
		answer.Target, answer.Nonce = asked.target, asked.nonce
		r.send(asked.requester, "", answer)
	}
	r.merge(m.Deltas, !c.sync)
	if m.Stranger {
		r.queue.add(r.self)
		r.pushFresh()
	}
	r.considerSync(m, c.sync)
}

// newerIncarnation returns the sender's record if the table has a higher incarnation
// of it than its message: the sender has been superseded, or must raise its
// incarnation. Otherwise it returns nil.
func (r *Roster) newerIncarnation(m Message) []Delta {
	row := r.table.members[m.From]
	if m.From == r.self.ID || row == nil || row.delta.Incarnation <= m.Incarnation {
		return nil
	}
	return []Delta{row.delta}
}

// forgetCall forgets a call that was answered or failed.
func (r *Roster) forgetCall(seq uint64) {
	delete(r.probing.calls, seq)
	if r.probing.syncSeq == seq {
		r.probing.syncSeq = 0
	}
}

// failed processes a failed call. A failed direct probe ends that stage at once.
func (r *Roster) failed(seq uint64) {
	r.forgetCall(seq)
	if p := r.probing.rounds[seq]; p != nil && !p.helpersAsked {
		r.advance(seq)
	}
}

// probeOnBehalf probes a member for the daemon that sent the RelayRequest m.
func (r *Roster) probeOnBehalf(m Message) {
	if _, known := r.table.members[m.Target]; !known || m.Target == r.self.ID {
		return
	}
	seq := r.send(m.Target, "", r.message(Probe))
	c := r.probing.calls[seq]
	c.helperProbe = helperProbe{requester: m.From, nonce: m.Nonce, target: m.Target}
	r.probing.calls[seq] = c
}

// relayAnswered ends a probe round whose target answered a helper.
func (r *Roster) relayAnswered(m Message) {
	p := r.probing.rounds[m.Nonce]
	if p == nil || p.target != m.Target {
		return
	}
	delete(r.probing.rounds, m.Nonce)
	r.recordOutcome(p.target, true)
}

// syncDifference is the number of records by which another daemon's table must be
// larger for a Sync request to be sent while deltas are still under way.
const syncDifference = 16

// considerSync sends a Sync request to the sender of m if its table differs from this
// one and no other request is open. It does so at once if this table has less than half
// as many records, or if m answers a Sync request and has brought changes. Otherwise it
// waits for syncInterval after the last request, and until no change is expected to be
// under way or many records are missing.
func (r *Roster) considerSync(m Message, wasSync bool) {
	if m.Hash == r.table.hash() || r.probing.syncSeq > 0 {
		return
	}
	joining := 2*r.table.size < m.Size
	progress := wasSync && len(m.Deltas) > 0 && r.changedAt.Equal(r.now)
	lacking := m.Size >= r.table.size+syncDifference
	stable := r.now.Sub(r.changedAt) >= quietTime || lacking
	due := stable && r.now.Sub(r.syncedAt) >= syncInterval
	if !joining && !progress && !due {
		return
	}
	r.syncedAt = r.now
	request := r.message(Sync)
	request.Buckets = slices.Clone(r.table.buckets[:])
	r.probing.syncSeq = r.send(m.From, "", request)
}
