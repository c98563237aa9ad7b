package membership

import (
	"context"
	"sync"

	"berylpass/fleet/member"
	"berylpass/fleet/roster"
)

// Names in net/rpc.
const (
	// ServiceName is the name under which Receiver is to be registered.
	ServiceName    = "Fleet"
	exchangeMethod = ServiceName + ".Exchange"
	reportMethod   = ServiceName + ".Report"
)

// reportCalls is the number of calls that Reports makes at once.
const reportCalls = 32

// Receiver answers other daemons' calls by net/rpc.
type Receiver struct{ membership *Membership }

// Report is what a daemon tells of itself.
type Report struct {
	Incarnation uint64
	Revision    uint64
	Isolated    bool
}

// Receiver returns the receiver to register as ServiceName.
func (m *Membership) Receiver() *Receiver { return &Receiver{membership: m} }

// Exchange takes a message in and answers it.
func (r *Receiver) Exchange(message roster.Message, reply *roster.Message) error {
	*reply = r.membership.exchange(message)
	return nil
}

// Report tells the state of this daemon.
func (r *Receiver) Report(_ bool, reply *Report) error {
	*reply = r.membership.report()
	return nil
}

// Reports asks every member that is not dead for its report, until ctx ends;
// members that don't answer are missing from the result.
func (m *Membership) Reports(ctx context.Context) map[member.ID]Report {
	reports := map[member.ID]Report{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	free := make(chan struct{}, reportCalls)
	for _, one := range m.Members() {
		if one.State == member.Dead {
			continue
		}
		free <- struct{}{}
		wait.Go(func() {
			defer func() { <-free }()
			report, err := m.ask(ctx, one.ID)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[one.ID] = report
		})
	}
	wait.Wait()
	return reports
}

func (m *Membership) ask(ctx context.Context, id member.ID) (Report, error) {
	if id == m.roster.Self() {
		return m.report(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var report Report
	err := m.caller.Call(ctx, id, reportMethod, true, &report)
	return report, err
}

func (m *Membership) report() Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	self, _ := m.roster.Member(m.roster.Self())
	return Report{Incarnation: self.Incarnation, Revision: self.Revision, Isolated: m.roster.Isolated(m.options.clock())}
}
