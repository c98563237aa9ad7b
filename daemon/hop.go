package daemon

import (
	"context"

	"berylpass/guard"
	"berylpass/hop"
	"berylpass/hop/forwarder"
	"berylpass/leg"
)

// localHop passes requests for this daemon's own guard to it by a method call, and
// sends all others through the forwarder.
type localHop struct {
	forwarder *forwarder.Forwarder
	guard     *guard.Guard
	// address is the data address of this daemon's own guard, host:port.
	address string
}

// Forward implements ingress.Hop.
func (h localHop) Forward(ctx context.Context, address string, e hop.Envelope, r forwarder.Request) (forwarder.Answer, error) {
	if address != h.address {
		return h.forwarder.Forward(ctx, address, e, r)
	}
	answer, report := h.guard.Run(ctx, e, leg.Request{
		Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body,
	})
	return forwarder.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body, Report: report}, nil
}
