package enforcer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"berylpass/config/organisation"
	"berylpass/config/snapshot"
	"berylpass/fleet/member"
)

// TestOutdatedHolderDoesNotDecide guards against a 429 by the limit of a holder that has missed a
// newer configuration, as after a cut or a pause: the limit has been raised since, or the
// organisation added.
func TestOutdatedHolderDoesNotDecide(t *testing.T) {
	before := snapshot.New(1).WithOrganisation(organisation.New("parish").WithLimit(1, 3)).Index()
	after := snapshot.New(2).WithOrganisation(organisation.New("parish").WithLimit(1000, 3000)).
		WithOrganisation(organisation.New("school").WithLimit(1000, 3000)).Index()
	for _, name := range []string{"parish", "school"} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			_, fleet := startFleet(t, 3, before, func() time.Time { return now })
			var heard []string
			for _, e := range fleet[1:] {
				e.options.HeardRevision = func(revision uint64, from member.ID) {
					heard = append(heard, fmt.Sprintf("%s has %d from %s", e.options.Self, revision, from))
				}
			}
			fleet[0].SetConfiguration(after)
			_, err := fleet[0].Draw(context.Background(), name)
			if !errors.Is(err, ErrOutdated) || errors.Is(err, ErrOverLimit) {
				t.Errorf("both other holders are outdated: %v, want ErrOutdated", err)
			}
			slices.Sort(heard)
			if want := []string{"vm-1 has 2 from vm-0", "vm-2 has 2 from vm-0"}; !slices.Equal(heard, want) {
				t.Errorf("heard %q, want %q", heard, want)
			}
			fleet[1].SetConfiguration(after)
			now = now.Add(10 * time.Millisecond)
			fleet[0].pool.Lend(now, name, 1000)
			if _, err := fleet[0].Draw(context.Background(), name); err != nil {
				t.Errorf("one of the other holders is up to date and has tokens: %v", err)
			}
		})
	}
}

// TestHolderWithTheSameLimitDecides checks that a limit that is used up refuses as over the limit
// if the holders have it, whether they or the daemon that asks have missed another change.
func TestHolderWithTheSameLimitDecides(t *testing.T) {
	s := snapshot.New(1).WithOrganisation(organisation.New("parish").WithLimit(1, 3)).Index()
	newer := snapshot.New(2).WithOrganisation(organisation.New("parish").WithLimit(1, 3)).
		WithOrganisation(organisation.New("school").WithLimit(1000, 3000)).Index()
	now := time.Unix(1000, 0)
	for name, outdated := range map[string]bool{"holders": true, "daemon that asks": false} {
		_, fleet := startFleet(t, 3, s, func() time.Time { return now })
		for n, e := range fleet {
			if (n == 0) == outdated {
				e.SetConfiguration(newer)
			}
		}
		if _, err := fleet[0].Draw(context.Background(), "parish"); !errors.Is(err, ErrOverLimit) {
			t.Errorf("outdated %s: %v, want ErrOverLimit", name, err)
		}
	}
}
