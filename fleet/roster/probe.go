package roster

import (
	"slices"
	"time"

	"berylpass/fleet/member"
)

// Limits of the probe protocol.
const (
	// helperCount is the number of helpers that are asked to probe a member that did
	// not answer.
	helperCount = 4
	// suspectAfter is the number of consecutive failed rounds after which a member is
	// suspected.
	suspectAfter = 2
)

// probe is an open probe round.
type probe struct {
	target member.ID
	// deadline is the time at which the current stage, direct or through helpers, fails.
	deadline time.Time
	// helpersAsked reports whether helpers have been asked.
	helpersAsked bool
	// counted reports whether the outcome counts for suspicion; that of a probe of a
	// dead member doesn't.
	counted bool
}

// call is a Send that has not been answered yet.
type call struct {
	sentAt time.Time
	// sync reports whether the message is a Sync.
	sync bool
	// helperProbe is set if the call is a probe made for another daemon.
	helperProbe helperProbe
}

// helperProbe is a probe of target that requester asked for with a RelayRequest.
type helperProbe struct {
	requester member.ID
	nonce     uint64
	target    member.ID
}

// probing is the state of all probes of a daemon.
type probing struct {
	// seq is the sequence number of the last call.
	seq uint64
	// rounds are the open probe rounds, by the sequence number of the direct probe.
	rounds map[uint64]*probe
	// calls are the calls that have not been answered yet, by sequence number.
	calls map[uint64]call
	// syncSeq is the sequence number of the open Sync request, 0 for none.
	syncSeq uint64
	// failures are the numbers of consecutive failed rounds.
	failures map[member.ID]int
	// retries are the members to probe again before those in upcoming.
	retries []member.ID
	// upcoming are the members still to be probed in the current cycle.
	upcoming []member.ID
	// nextAt is the time at which the next round starts.
	nextAt time.Time
	// reconnectAt is the time of the next probes of dead members and seeds.
	reconnectAt time.Time
	// nextSeed counts the probes of seeds; modulo the number of seeds it is the index
	// of the next.
	nextSeed int
}

func newProbing(now time.Time) probing {
	return probing{
		rounds: map[uint64]*probe{}, calls: map[uint64]call{},
		failures: map[member.ID]int{}, nextAt: now, reconnectAt: now,
	}
}

// reset drops the open rounds and the failures, and makes the next round due.
func (p *probing) reset(now time.Time) {
	clear(p.rounds)
	clear(p.failures)
	p.retries = nil
	p.nextAt = now
}

// forget drops the failures of a member and its retry.
func (p *probing) forget(id member.ID) {
	delete(p.failures, id)
	p.retries = slices.DeleteFunc(p.retries, func(other member.ID) bool { return other == id })
}

// probe ends the stages whose deadline has passed and starts the rounds that are due.
func (r *Roster) probe() {
	for _, seq := range r.overdueRounds() {
		r.advance(seq)
	}
	if !r.now.Before(r.probing.nextAt) {
		r.probing.nextAt = r.now.Add(ProbeInterval)
		if target, ok := r.nextTarget(); ok {
			r.startProbe(target, true)
		}
	}
	if !r.now.Before(r.probing.reconnectAt) {
		r.reconnect()
	}
}

func (r *Roster) overdueRounds() []uint64 {
	var seqs []uint64
	for seq, p := range r.probing.rounds {
		if !r.now.Before(p.deadline) {
			seqs = append(seqs, seq)
		}
	}
	slices.Sort(seqs)
	return seqs
}

// nextTarget returns the next neighbour to probe: one whose last round failed if
// there is any, otherwise the next in a cycle over all neighbours, whose order is
// shuffled for each cycle.
func (r *Roster) nextTarget() (member.ID, bool) {
	p := &r.probing
	for len(p.retries) > 0 {
		id := p.retries[0]
		p.retries = p.retries[1:]
		if slices.Contains(r.neighbours, id) {
			return id, true
		}
	}
	for {
		if len(p.upcoming) == 0 {
			p.upcoming = slices.Clone(r.neighbours)
			r.random.Shuffle(len(p.upcoming), func(i, j int) {
				p.upcoming[i], p.upcoming[j] = p.upcoming[j], p.upcoming[i]
			})
			if len(p.upcoming) == 0 {
				return "", false
			}
		}
		id := p.upcoming[0]
		p.upcoming = p.upcoming[1:]
		if slices.Contains(r.neighbours, id) {
			return id, true
		}
	}
}

// startProbe starts a probe round with a direct probe.
func (r *Roster) startProbe(target member.ID, counted bool) {
	m := r.message(Probe)
	m.Deltas = r.deltasFor(target)
	seq := r.send(target, "", m)
	r.probing.rounds[seq] = &probe{target: target, deadline: r.now.Add(DirectTimeout), counted: counted}
}

// advance moves a round whose current stage has failed to the next stage, or ends it
// as failed.
func (r *Roster) advance(seq uint64) {
	p := r.probing.rounds[seq]
	if p == nil {
		return
	}
	if !p.helpersAsked && p.counted {
		p.helpersAsked = true
		p.deadline = r.now.Add(HelperTimeout)
		r.askHelpers(p.target, seq)
		return
	}
	delete(r.probing.rounds, seq)
	if p.counted {
		r.recordOutcome(p.target, false)
	}
}

// askHelpers asks other members to probe the target.
func (r *Roster) askHelpers(target member.ID, nonce uint64) {
	var helpers []member.ID
	for _, row := range r.table.sorted() {
		if id := row.delta.ID; id != target && id != r.self.ID && row.alive() && row.state() != member.Suspect {
			helpers = append(helpers, id)
		}
	}
	// Neighbours come first because connections to them are already open.
	r.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	slices.SortStableFunc(helpers, func(a, b member.ID) int {
		return boolInt(slices.Contains(r.neighbours, b)) - boolInt(slices.Contains(r.neighbours, a))
	})
	for _, id := range helpers[:min(helperCount, len(helpers))] {
		m := r.message(RelayRequest)
		m.Target, m.Nonce = target, nonce
		r.send(id, "", m)
	}
}

// recordOutcome records the outcome of a round. After suspectAfter failed rounds the
// member is suspected, unless this daemon is probably cut off itself.
func (r *Roster) recordOutcome(target member.ID, answered bool) {
	r.connectivity.recordProbe(answered)
	if answered {
		delete(r.probing.failures, target)
		return
	}
	row := r.table.members[target]
	if row == nil || !row.alive() {
		return
	}
	r.probing.failures[target]++
	if r.probing.failures[target] < suspectAfter {
		r.probing.retries = append(r.probing.retries, target)
		return
	}
	if row.state() != member.Suspect && !r.connectivity.cutOff(r.now) {
		r.setMemberState(row, member.Suspect)
	}
}

// reconnect probes a random dead member that did not depart. It also probes
// the next seed if there is such a member or if this daemon has no neighbour.
func (r *Roster) reconnect() {
	p := &r.probing
	alone := len(r.neighbours) == 0
	interval := reconnectInterval
	if alone {
		interval = ProbeInterval
	}
	p.reconnectAt = r.now.Add(interval)
	var dead []member.ID
	for _, row := range r.table.suspectOrDead() {
		if !row.alive() && !row.delta.Left {
			dead = append(dead, row.delta.ID)
		}
	}
	if len(dead) > 0 {
		r.startProbe(dead[r.random.IntN(len(dead))], false)
	}
	if len(r.seeds) > 0 && (alone || len(dead) > 0) {
		m := r.message(Probe)
		m.Deltas = []Delta{r.self}
		r.send("", r.seeds[p.nextSeed%len(r.seeds)], m)
		p.nextSeed++
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
