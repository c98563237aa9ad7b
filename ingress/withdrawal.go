package ingress

import (
	"maps"
	"sync"

	"berylpass/guard"
	"berylpass/hop"
)

// withdrawals holds the keys that guards have refused by a newer configuration than this ingress
// had. Until the ingress has that configuration too, it must not send a request with such a key
// to another guard, which may be as outdated as itself.
type withdrawals struct {
	mu sync.Mutex
	// revisions holds the revision by which each key was refused.
	revisions map[caller]uint64
}

func newWithdrawals() *withdrawals { return &withdrawals{revisions: map[caller]uint64{}} }

// record records the refusal of a request with the caller's key, which this ingress had allowed
// by a revision. A request without a key is refused for its route, which concerns no key.
func (w *withdrawals) record(of caller, revision uint64, r hop.Report) {
	if r.Reason != guard.ReasonKeyWithdrawn || r.Revision <= revision || of == (caller{}) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.revisions, func(_ caller, refusedBy uint64) bool { return refusedBy <= revision })
	w.revisions[of] = max(w.revisions[of], r.Revision)
}

// contains reports whether the caller's key was refused by a configuration above the revision.
func (w *withdrawals) contains(of caller, revision uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revisions[of] > revision
}
