package membership

import (
	"context"
	"sync"

	"berylpass/fleet/member"
	"berylpass/fleet/roster"
	"berylpass/mesh"
)

// Names of the net/rpc service and its methods.
const (
	// ServiceName is the name under which Receiver is to be registered.
	ServiceName    = "Fleet"
	exchangeMethod = ServiceName + ".Exchange"
	reportMethod   = ServiceName + ".Report"
)

// maxReportCalls is the maximum number of concurrent calls of Reports.
const maxReportCalls = 32

// Receiver is the net/rpc receiver that answers the calls of other daemons.
type Receiver struct{ membership *Membership }

// Report is the state that a daemon reports of itself. gob sends the fields under their
// names.
type Report struct {
	Incarnation uint64
	// Revision is the configuration revision in force.
	Revision uint64
	// Isolated reports whether the daemon may miss changes; see Membership.Isolated.
	Isolated bool
}

// Receiver returns the receiver to be registered under ServiceName.
func (m *Membership) Receiver() *Receiver { return &Receiver{membership: m} }

// Exchange processes a message of another daemon's roster and sets the reply to the
// answer. It is called by net/rpc.
func (r *Receiver) Exchange(message roster.Message, reply *roster.Message) (err error) {
	defer mesh.Recover(&err)
	*reply = r.membership.exchange(message)
	return nil
}

// Report sets the reply to the state of this daemon. It is called by net/rpc.
func (r *Receiver) Report(_ bool, reply *Report) (err error) {
	defer mesh.Recover(&err)
	*reply = r.membership.report()
	return nil
}

// Reports requests the report of every member that is not dead, this daemon included.
// Members that don't answer before callTimeout or the end of ctx are missing from the
// result.
func (m *Membership) Reports(ctx context.Context) map[member.ID]Report {
	reports := map[member.ID]Report{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	semaphore := make(chan struct{}, maxReportCalls)
	for _, peer := range m.Members() {
		if peer.State == member.Dead {
			continue
		}
		semaphore <- struct{}{}
		wait.Go(func() {
			defer func() { <-semaphore }()
			report, err := m.requestReport(ctx, peer.ID)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[peer.ID] = report
		})
	}
	wait.Wait()
	return reports
}

func (m *Membership) requestReport(ctx context.Context, id member.ID) (Report, error) {
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
