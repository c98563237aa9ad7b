package daemon

import (
	"time"

	"berylpass/choice/admission"
	"berylpass/ingress"
	"berylpass/monitor/event"
)

// LevelClosed implements ingress.Observer.
func (o *observer) LevelClosed(c admission.Closed) {
	o.count(`levels-closed{level="` + c.Level.String() + `"}`)
	event.LevelClosed.Log(&o.logger).Str("service", c.Service).Stringer("level", c.Level).Send()
}

// LevelOpened implements ingress.Observer.
func (o *observer) LevelOpened(c admission.Opened) {
	event.LevelOpened.Log(&o.logger).Str("service", c.Service).Stringer("level", c.Level).Send()
}

// countRefusal counts a request that ended as not run by its level of urgency and the reason.
func (o *observer) countRefusal(r ingress.RequestRecord) {
	if r.Outcome == ingress.NotRun {
		o.count(`refusals{level="` + r.Level.String() + `",reason="` + r.Reason + `"}`)
	}
}

// callWait returns the expected wait of a call to a service, zero before the ingress has started.
func (d *Daemon) callWait(service string) time.Duration {
	if i := d.startedIngress.Load(); i != nil {
		return i.CallWait(service)
	}
	return 0
}
