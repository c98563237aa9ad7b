package guard

import (
	"context"
	"testing"
	"time"

	"berylpass/fleet/member"
	"berylpass/hop"
	"berylpass/limit/enforcer"
)

// renewingLimit is a Limit that renews tokens of the holder "vm-2" and counts the draws.
type renewingLimit struct {
	unlimited
	draws, returned int
}

func (l *renewingLimit) Draw(context.Context, string) (enforcer.Token, error) {
	l.draws++
	return enforcer.Token{Expires: time.Now().Add(time.Minute)}, nil
}

func (l *renewingLimit) Renew(_ context.Context, t enforcer.Token) (enforcer.Token, error) {
	if t.Holder != "vm-2" {
		return enforcer.Token{}, enforcer.ErrNotRenewed
	}
	t.Expires = time.Now().Add(time.Minute)
	return t, nil
}

func (l *renewingLimit) Return(enforcer.Token) { l.returned++ }

// TestExpiredTokenIsRenewedRatherThanDrawnAgain guards against requests that wait longer than their token lives and are
// then refused as over the limit, although the limit has counted them: in an overload each of them wasted a token.
func TestExpiredTokenIsRenewedRatherThanDrawnAgain(t *testing.T) {
	l := &renewingLimit{}
	g := New(member.New("vm-1", "srem"), Parts{Configuration: twoRoutes{}, Observer: &stateRecorder{}, Limit: l})
	defer g.Close()
	e := hop.Envelope{Organisation: "parish", TokenExpires: -1, TokenHolder: "vm-2", TokenID: 7}
	renewed, err := g.token(context.Background(), e)
	if err != nil || l.draws != 0 || !time.Now().Before(renewed.expires) {
		t.Errorf("expires %v, %d draws, %v; want a renewed token and no draw", renewed.expires, l.draws, err)
	}
	if renewed.settle(hop.NotRun); l.returned != 0 {
		t.Error("a renewed token is given back here, and by the ingress again")
	}
	e.TokenHolder = "vm-3"
	if _, err := g.token(context.Background(), e); err != nil || l.draws != 1 {
		t.Errorf("%d draws, %v; want one draw because the token can't be renewed", l.draws, err)
	}
}
