package daemon

import (
	"github.com/rcrowley/go-metrics"

	"berylpass/ingress"
)

// hedges returns the parts that decide on hedged requests. The limit follows the settings in force.
func (d *Daemon) hedges() ingress.Hedges {
	return ingress.Hedges{
		Chooser:  d.chooser,
		Share:    func() float64 { return d.limitSettings.Load().HedgeShare },
		Observer: d.observer.hedgeEnded,
	}
}

// hedgeEnded records the metrics of a hedge. The slot time of a hedge that did not win is wasted.
func (o *observer) hedgeEnded(r ingress.HedgeRecord) {
	outcome := "lost"
	switch {
	case !r.Ran:
		outcome = "refused"
	case r.Won:
		outcome = "won"
	}
	o.count(`hedges{service="` + r.Service + `",outcome="` + outcome + `"}`)
	if r.Ran {
		metrics.GetOrRegisterTimer(`hedge-time{service="`+r.Service+`",outcome="`+outcome+`"}`, o.metrics).Update(r.Took)
	}
}
