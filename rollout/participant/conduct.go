package participant

import (
	"context"
	"slices"
	"time"

	"berylpass/decision"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/mesh"
	"berylpass/rollout/conductor"
	"berylpass/rollout/exposure"
	"berylpass/rollout/order"
	"berylpass/rollout/tally"
)

// Names of the net/rpc service and its method.
const (
	// ServiceName is the name under which the Receiver is registered.
	ServiceName  = "Rollout"
	reportMethod = ServiceName + ".Report"
)

// Report is what a daemon has counted for an order.
type Report struct {
	Order   order.Key
	Servers []tally.Report
	// Told is the outcome that a conductor has told the daemon.
	Told order.State
}

// Reply answers a Report. Conducts is false if the daemon doesn't know the order.
type Reply struct {
	Conducts bool
	Grant    conductor.Grant
}

// Receiver answers other daemons' reports by net/rpc.
type Receiver struct{ participant *Participant }

// Receiver returns the receiver to register under ServiceName.
func (p *Participant) Receiver() *Receiver { return &Receiver{participant: p} }

// Report takes a report and returns a grant.
func (r *Receiver) Report(args Report, reply *Reply) (err error) {
	defer mesh.Recover(&err)
	*reply = r.participant.take(args)
	return nil
}

// take passes a report to the conductor, which conducts the order from now on if it didn't, and returns the grant.
func (p *Participant) take(r Report) Reply {
	now := p.now()
	p.mu.Lock()
	if slices.ContainsFunc(p.exposure.Orders(), func(o order.Order) bool { return o.Key() == r.Order }) {
		p.asked[r.Order] = now
	}
	var actions []decision.Action
	if r.Told.Final() {
		actions = p.conductor.Update(now, conductor.Told{Order: r.Order, State: r.Told})
	}
	for _, s := range r.Servers {
		actions = append(actions, p.conductor.Update(now, conductor.Report{Order: r.Order, Version: s.Version, Counts: s.Report})...)
	}
	grant, ok := p.conductor.Grant(now, r.Order)
	p.mu.Unlock()
	p.carryOut(actions)
	return Reply{Conducts: ok, Grant: grant}
}

// conduct lets the conductor advance the orders that this daemon conducts.
func (p *Participant) conduct(now time.Time, orders []order.Order, members []member.ID) {
	var own []order.Order
	var fleets []conductor.Fleet
	p.mu.Lock()
	asked := map[order.Key]time.Time{}
	for _, o := range orders {
		if last, ok := p.asked[o.Key()]; ok {
			asked[o.Key()] = last
		}
	}
	p.asked = asked
	stored := p.exposure.Stored(now)
	p.mu.Unlock()
	for _, o := range stored {
		first := candidates(o.Service, members)
		last, wasAsked := asked[o.Key()]
		if len(first) > 0 && first[0] == p.options.Self || wasAsked && now.Sub(last) < askedTime {
			own = append(own, o)
			fleets = append(fleets, p.fleetOf(o, len(members)))
		}
	}
	p.mu.Lock()
	actions := p.conductor.Update(now, conductor.Orders{List: own})
	for _, f := range fleets {
		actions = append(actions, p.conductor.Update(now, f)...)
	}
	actions = append(actions, p.conductor.Update(now, conductor.Tick{})...)
	p.mu.Unlock()
	p.carryOut(actions)
}

// fleetOf counts the backend servers of an order's service that serve.
func (p *Participant) fleetOf(o order.Order, daemons int) conductor.Fleet {
	f := conductor.Fleet{Order: o.Key(), New: map[backend.ID]int{}, Daemons: daemons}
	for _, b := range p.options.Fleet.Backends(o.Service) {
		switch {
		case b.State != backend.Serving:
		case b.Version == o.Target:
			f.New[b.ID] = b.Slots
		default:
			f.Old++
		}
	}
	return f
}

// carryOut carries out actions of the conductor. The caller doesn't hold mu.
func (p *Participant) carryOut(actions []decision.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case conductor.StepChanged:
			p.options.Observer.StepChanged(a)
		case conductor.WriteState:
			p.start(func() { p.write(a) })
		}
	}
}

// start runs f in a new goroutine unless p is closed.
func (p *Participant) start(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() == nil {
		p.wait.Go(f)
	}
}

// write writes the state of an order.
func (p *Participant) write(a conductor.WriteState) {
	ctx, cancel := context.WithTimeout(p.ctx, writeTimeout)
	defer cancel()
	revision, err := p.options.Store.WriteState(ctx, a.Order, a.State)
	p.options.Observer.StateWritten(a.Order, a.State, err)
	p.mu.Lock()
	p.conductor.Update(p.now(), conductor.Written{Order: a.Order.Key(), State: a.State, Done: err == nil, Revision: revision})
	p.mu.Unlock()
	if p.options.RefreshOrders != nil && (err != nil || a.State.Final()) {
		p.options.RefreshOrders()
	}
}

// report sends the reports that are due.
func (p *Participant) report(now time.Time, orders []order.Order, members []member.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range orders {
		r := p.reports[o.Key()]
		if r == nil || r.busy || now.Before(r.next) || p.ctx.Err() != nil {
			continue
		}
		to := candidates(o.Service, members)
		if len(to) == 0 {
			continue
		}
		var local []backend.Backend
		for _, b := range p.local {
			if b.Service == o.Service {
				local = append(local, b)
			}
		}
		args := Report{Order: o.Key(), Servers: p.tally.Reports(now, local), Told: p.exposure.Told(o.Key())}
		if now.Sub(r.failedAt) > failedTime {
			r.failures = 0
		}
		r.busy, r.next = true, now.Add(conductor.ReportInterval)
		chosen := to[r.failures%len(to)]
		p.wait.Go(func() { p.send(chosen, args) })
	}
}

// send sends one report and records the grant.
func (p *Participant) send(to member.ID, args Report) {
	ctx, cancel := context.WithTimeout(p.ctx, reportTimeout)
	defer cancel()
	sent := p.now()
	var reply Reply
	var err error
	if to == p.options.Self {
		reply = p.take(args)
	} else {
		err = p.options.Mesh.Call(ctx, to, reportMethod, args, &reply)
	}
	p.mu.Lock()
	var actions []decision.Action
	if r := p.reports[args.Order]; r != nil {
		r.busy = false
		if err != nil {
			// The next daemon in the order conducts meanwhile.
			r.failures, r.failedAt, r.next = r.failures+1, sent, sent
		}
		if err == nil && reply.Conducts {
			g := reply.Grant
			r.next, r.trial = sent.Add(g.Next), Trial{Focus: g.Focus, FocusShare: g.FocusShare}
			actions = p.exposure.Update(p.now(), exposure.Granted{Order: args.Order, State: g.State, Share: g.Share, Until: sent.Add(g.For)})
		}
	}
	p.ordersChanged()
	p.mu.Unlock()
	p.notify(actions)
}
