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
