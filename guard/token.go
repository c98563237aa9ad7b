package guard

import (
	"context"
	"errors"
	"time"

	"berylpass/hop"
	"berylpass/limit/enforcer"
)

// token allows one run until it expires. The zero value never expires; it is used for
// requests without an organisation, which only open routes allow.
type token struct {
	expires time.Time
	// drawn is the token that this guard has drawn; nil if the token came with the request, renewed or not. The
	// ingress gives such a token back if the request does not run: it may not know that the token has expired.
	drawn *enforcer.Token
	limit Limit
}

// token returns the token that came with the request, renews it if it has expired, or draws a new one if it can't be
// renewed.
func (g *Guard) token(ctx context.Context, e hop.Envelope) (token, error) {
	if e.Organisation == "" {
		return token{}, nil
	}
	if expires := g.started.Add(milliseconds(e.TokenExpires)); g.Clock().Before(expires) {
		return token{expires: expires}, nil
	}
	late := enforcer.Token{Organisation: e.Organisation, Holder: e.TokenHolder, ID: e.TokenID}
	if renewed, err := g.Limit.Renew(ctx, late); err == nil {
		return token{expires: renewed.Expires}, nil
	}
	drawn, err := g.Limit.Draw(ctx, e.Organisation)
	if err != nil {
		return token{}, err
	}
	return token{expires: drawn.Expires, drawn: &drawn, limit: g.Limit}, nil
}

// settle returns a drawn token if the request did not run, else reports it as used.
func (t token) settle(end hop.Ending) {
	switch {
	case t.drawn == nil:
	case end == hop.NotRun:
		t.limit.Return(*t.drawn)
	default:
		t.limit.Started(*t.drawn)
	}
}

// refusalOf returns the result of an attempt that got no token. enforcer.ErrClosed counts as
// over limit; the ingress counts it as no-lease.
func (g *Guard) refusalOf(err error, e hop.Envelope) result {
	res := result{ending: hop.NotRun, reason: ReasonOverLimit}
	var refusal *enforcer.Refusal
	if errors.As(err, &refusal) {
		res.retryAfter = refusal.RetryAfter
	}
	if errors.Is(err, enforcer.ErrNoHolder) {
		res.reason = ReasonNoHolder
	}
	if errors.Is(err, enforcer.ErrOutdated) || g.Configuration.Current().Revision < e.Revision {
		res.reason = ReasonOutdated
	}
	return res
}
