package ingress

import (
	"time"

	"berylpass/choice/urgency"
	"berylpass/config/organisation"
)

// setRank sets the rank of the request: that of its route or, since an organisation's priority counts before its
// route's, of the organisation; for a call of the backend server on this VM, that of the request which makes it.
func (x *exchange) setRank(o organisation.Organisation) {
	i := x.ingress
	if !i.Ranked {
		return
	}
	x.rank = urgency.Of(x.route.Priority, x.caller.organisation)
	if !x.route.Open {
		x.rank = urgency.Of(o.PriorityOf(x.route.Priority), x.caller.organisation)
	}
	if x.info.HasKey || i.RankOfCall == nil {
		return
	}
	if r, ok := i.RankOfCall(x.callerDeadline()); ok {
		x.rank = r
	}
}

// answerBy returns until when the answer should reach the caller, the zero time if the route has no target.
func (x *exchange) answerBy() time.Time {
	if x.route.TargetLatency == 0 {
		return time.Time{}
	}
	return x.began.Add(x.route.TargetLatency)
}
