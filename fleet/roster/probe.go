package roster

import (
	"slices"
	"time"

	"berylpass/fleet/member"
)

// Counts of the probe protocol.
const (
	// relayHelpers is the number of helpers asked to probe a silent member.
	relayHelpers = 4
	// suspectAfter is the number of failed rounds after which a member is suspected.
	suspectAfter = 2
)

// probe is a round that is not decided yet.
type probe struct {
	target member.ID
	// deadline ends the present stage.
	deadline time.Time
	relayed  bool
	// watched tells that the outcome counts; probes of dead members and of seeds don't.
	watched bool
}

// call is a Send without an answer so far.
type call struct {
	sentAt time.Time
	sync   bool
	// relay is set for a probe made for another daemon.
	relay relay
}

// relay is a probe made for another daemon.
type relay struct {
	requester member.ID
	nonce     uint64
	target    member.ID
}

// probing is the state of all probes of a daemon.
type probing struct {
	seq   uint64
	open  map[uint64]*probe
	calls map[uint64]call
	// syncing is the number of the open synchronisation, 0 for none.
	syncing     uint64
	failures    map[member.ID]int
	again       []member.ID
	order       []member.ID
	nextAt      time.Time
	reconnectAt time.Time
	seed        int
}

func newProbing(now time.Time) probing {
	return probing{
		open: map[uint64]*probe{}, calls: map[uint64]call{},
		failures: map[member.ID]int{}, nextAt: now, reconnectAt: now,
	}
}

func (p *probing) reset(now time.Time) {
	clear(p.open)
	clear(p.failures)
	p.again = nil
	p.nextAt = now
}

func (p *probing) forget(id member.ID) {
	delete(p.failures, id)
	p.again = slices.DeleteFunc(p.again, func(other member.ID) bool { return other == id })
}

// probe closes overdue stages and starts the round that is due.
func (r *Roster) probe() {
	for _, seq := range r.overdue() {
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

func (r *Roster) overdue() []uint64 {
	var seqs []uint64
	for seq, p := range r.probing.open {
		if !r.now.Before(p.deadline) {
			seqs = append(seqs, seq)
		}
	}
	slices.Sort(seqs)
	return seqs
}

// nextTarget goes round the neighbours in an order that is shuffled for each round.
func (r *Roster) nextTarget() (member.ID, bool) {
	p := &r.probing
	for len(p.again) > 0 {
		id := p.again[0]
		p.again = p.again[1:]
		if slices.Contains(r.neighbours, id) {
			return id, true
		}
	}
	for {
		if len(p.order) == 0 {
			p.order = slices.Clone(r.neighbours)
			r.random.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
			if len(p.order) == 0 {
				return "", false
			}
		}
		id := p.order[0]
		p.order = p.order[1:]
		if slices.Contains(r.neighbours, id) {
			return id, true
		}
	}
}

func (r *Roster) startProbe(target member.ID, watched bool) {
	m := r.message(Probe)
	m.Deltas = r.deltasFor(target)
	seq := r.send(target, "", m)
	r.probing.open[seq] = &probe{target: target, deadline: r.now.Add(DirectTimeout), watched: watched}
}

// advance takes a round whose present stage failed to the next one.
func (r *Roster) advance(seq uint64) {
	p := r.probing.open[seq]
	if p == nil {
		return
	}
	if !p.relayed && p.watched {
		p.relayed = true
		p.deadline = r.now.Add(RelayTimeout)
		r.askHelpers(p.target, seq)
		return
	}
	delete(r.probing.open, seq)
	if p.watched {
		r.conclude(p.target, false)
	}
}

func (r *Roster) askHelpers(target member.ID, nonce uint64) {
	var helpers []member.ID
	for _, row := range r.table.sorted() {
		if id := row.delta.ID; id != target && id != r.self.ID && row.alive() && row.state() != member.Suspect {
			helpers = append(helpers, id)
		}
	}
	// Neighbours go first: links to them are open.
	r.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	slices.SortStableFunc(helpers, func(a, b member.ID) int {
		return boolInt(slices.Contains(r.neighbours, b)) - boolInt(slices.Contains(r.neighbours, a))
	})
	for _, id := range helpers[:min(relayHelpers, len(helpers))] {
		m := r.message(RelayRequest)
		m.Target, m.Nonce = target, nonce
		r.send(id, "", m)
	}
}

// conclude counts the outcome of a round.
func (r *Roster) conclude(target member.ID, answered bool) {
	r.reach.probed(answered)
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
		r.probing.again = append(r.probing.again, target)
		return
	}
	if row.state() != member.Suspect && !r.reach.doubtful(r.now) {
		r.judge(row, member.Suspect)
	}
}

// reconnect tries a dead member, and a seed when this daemon knows no one alive.
func (r *Roster) reconnect() {
	p := &r.probing
	alone := len(r.neighbours) == 0
	interval := reconnectInterval
	if alone {
		interval = ProbeInterval
	}
	p.reconnectAt = r.now.Add(interval)
	var dead []member.ID
	for _, row := range r.table.troubled() {
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
		r.send("", r.seeds[p.seed%len(r.seeds)], m)
		p.seed++
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
