package daemon

import (
	"context"
	"time"

	"berylpass/choice/chooser"
	"berylpass/choice/report"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/fleet/relay"
	"berylpass/mesh"
)

// NoticeService is the name under which a NoticeReceiver is registered on the mesh.
const NoticeService = "Notice"

const (
	// noticeTimeout bounds the call that sends a notice to a daemon.
	noticeTimeout = time.Second
	// relayTimeout bounds the call to a relay, after which the next candidate is tried.
	// It is several times the round trip between regions.
	relayTimeout = 300 * time.Millisecond
	// minNoticeInterval is the least time between two notices of one backend server;
	// changes within it are not sent.
	minNoticeInterval = 100 * time.Millisecond
	// maxNoticeSenders is the number of daemons to which a notice is sent at the same time.
	maxNoticeSenders = 16
)

// Notice reports that the state of a backend server has changed markedly. It isn't
// revision.Notice, which states a configuration revision.
type Notice struct {
	Backend backend.ID
	// Load is the backend server's report.Report in its text form.
	Load []byte
	// PassOn asks the receiver to relay the notice to the other daemons of its data centre, PassOnInRegion also to
	// the other data centres of its region.
	PassOn, PassOnInRegion bool
}

// NoticeReceiver receives the notices of other daemons by net/rpc.
type NoticeReceiver struct {
	chooser *chooser.Chooser
	// relay sends a notice on as it asks. It must not block.
	relay func(Notice)
}

// Take passes a notice to the chooser and relays it if PassOn is set. It returns an
// error if the notice's Load is not a report.
func (r *NoticeReceiver) Take(n Notice, _ *bool) (err error) {
	defer mesh.Recover(&err)
	var load report.Report
	if err := load.UnmarshalText(n.Load); err != nil {
		return err
	}
	r.chooser.ReportReceived(n.Backend, load)
	if n.PassOn {
		r.relay(n)
	}
	return nil
}

// localReportChanged passes a marked change at a backend server on this VM to the
// chooser and to all other daemons, unless the last notice is too recent.
func (d *Daemon) localReportChanged(id backend.ID, r report.Report) {
	text, err := r.MarshalText()
	if err != nil || !d.noticeDue(id) {
		return
	}
	go func() {
		d.chooser.ReportReceived(id, r)
		d.broadcastNotice(Notice{Backend: id, Load: text})
	}()
}

// noticeDue reports whether a notice of the backend server may be sent, and records
// its time if so.
func (d *Daemon) noticeDue(id backend.ID) bool {
	now := d.clock()
	d.noticeMu.Lock()
	defer d.noticeMu.Unlock()
	if now.Sub(d.lastNotice[id]) < minNoticeInterval {
		return false
	}
	d.lastNotice[id] = now
	return true
}

// broadcastNotice sends a notice to the other daemons of this data centre, to one relay in each other data centre of this
// region, and to one in each other region.
func (d *Daemon) broadcastNotice(n Notice) {
	plan := relay.New(d.self, d.members.Members(), d.regions())
	n.PassOn, n.PassOnInRegion = true, true
	for _, candidates := range plan.Abroad() {
		go d.sendToRelay(n, candidates)
	}
	d.spreadNotice(n, plan)
}

// relayNotice sends a notice from another data centre to the other daemons of this one and, if it came from another
// region, to the relays of this region's other data centres.
func (d *Daemon) relayNotice(n Notice) {
	go d.spreadNotice(n, relay.New(d.self, d.members.Members(), d.regions()))
}

// spreadNotice sends a notice to the other daemons of this data centre and, if it asks for that, to the relays of this
// region's other data centres.
func (d *Daemon) spreadNotice(n Notice, plan relay.Plan) {
	if n.PassOnInRegion {
		n.PassOn, n.PassOnInRegion = true, false
		for _, candidates := range plan.Candidates() {
			go d.sendToRelay(n, candidates)
		}
	}
	n.PassOn = false
	d.sendNotices(n, plan.Direct())
}

// sendToRelay sends a notice to the first of the candidates that accepts it.
func (d *Daemon) sendToRelay(n Notice, candidates []member.ID) {
	for _, id := range candidates {
		if d.sendNotice(n, id, relayTimeout) == nil {
			return
		}
		d.observer.count("notice-relays-failed")
	}
}

// sendNotices sends a notice to several daemons, maxNoticeSenders at a time.
func (d *Daemon) sendNotices(n Notice, to []member.ID) {
	senders := make(chan struct{}, maxNoticeSenders)
	for _, id := range to {
		senders <- struct{}{}
		go func() {
			defer func() { <-senders }()
			// A lost notice is not sent again: the next answer of the backend server
			// carries the same report.
			if d.sendNotice(n, id, noticeTimeout) != nil {
				d.observer.count("notices-failed")
			}
		}()
	}
}

// sendNotice calls Take at one daemon.
func (d *Daemon) sendNotice(n Notice, id member.ID, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var done bool
	return d.mesh.Call(ctx, id, NoticeService+".Take", n, &done)
}
