package enforcer

import (
	"context"
	"errors"
	"testing"
	"time"

	"berylpass/config/organisation"
	"berylpass/config/snapshot"
	"berylpass/fleet/member"
)

// TestLateRequestKeepsItsPlace checks that a request which has waited longer than its token lives renews it although
// newer requests have drawn all tokens, wherever the token was drawn.
func TestLateRequestKeepsItsPlace(t *testing.T) {
	s := snapshot.New(1).WithOrganisation(organisation.New("parish").WithLimit(2, 6)).Index()
	now := time.Unix(1000, 0)
	m, fleet := startFleet(t, 4, s, func() time.Time { return now })
	now = now.Add(time.Minute)
	ctx := context.Background()
	var drawn []Token
	for at := 0; ; at++ {
		token, err := fleet[at%len(fleet)].Draw(ctx, "parish")
		if err != nil {
			break
		}
		drawn = append(drawn, token)
	}
	if len(drawn) == 0 {
		t.Fatal("no token")
	}
	now = now.Add(DefaultTokenLifetime)
	for n, token := range drawn {
		renewed, err := fleet[n%len(fleet)].Renew(ctx, token)
		if err != nil || !now.Before(renewed.Expires) {
			t.Errorf("token %d, of %s: renewed until %v, %v", n, token.Holder, renewed.Expires, err)
		}
	}
	if _, err := fleet[0].Renew(ctx, Token{Organisation: "parish"}); !errors.Is(err, ErrNotRenewed) {
		t.Errorf("token of no share: %v, want ErrNotRenewed", err)
	}
	m.mu.Lock()
	clear(m.peers)
	m.mu.Unlock()
	for _, token := range drawn {
		other := fleet[0]
		if token.Holder == member.ID("vm-0") {
			other = fleet[1]
		}
		if _, err := other.Renew(ctx, token); !errors.Is(err, ErrNotRenewed) {
			t.Errorf("holder %s is unreachable: %v, want ErrNotRenewed", token.Holder, err)
		}
	}
}

// TestRenewedTokenIsNotGivenBackTwice lets a guard, whose clock the ingress knows only from below, renew a token that still
// holds for the ingress. If the attempt has not run, both give their token back: the bucket may get only one.
func TestRenewedTokenIsNotGivenBackTwice(t *testing.T) {
	const burst = 4
	s := snapshot.New(1).WithOrganisation(organisation.New("parish").WithLimit(0.001, burst)).Index()
	now := time.Unix(1000, 0)
	_, fleet := startFleet(t, 1, s, func() time.Time { return now })
	now = now.Add(100 * time.Hour)
	ctx, e := context.Background(), fleet[0]
	var drawn []Token
	for token, err := e.Draw(ctx, "parish"); err == nil; token, err = e.Draw(ctx, "parish") {
		drawn = append(drawn, token)
	}
	// The guard takes the token for expired a few milliseconds before the ingress does.
	now = now.Add(DefaultTokenLifetime - 10*time.Millisecond)
	renewed, err := e.Renew(ctx, drawn[0])
	if err != nil {
		t.Fatal(err)
	}
	e.Return(renewed)
	e.Return(drawn[0])
	again := 0
	for _, err := e.Draw(ctx, "parish"); err == nil; _, err = e.Draw(ctx, "parish") {
		again++
	}
	if again > 1 {
		t.Errorf("one of %d tokens was not used, and %d more were issued", len(drawn), again)
	}
}
