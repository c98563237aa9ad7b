package ingress

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"berylpass/choice/chooser"
	"berylpass/choice/picker"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/hop"
	"berylpass/hop/forwarder"
)

// unreachableHop is a Hop that reaches no guard. It records the Prompt flag of each attempt.
type unreachableHop struct{ prompt []bool }

func (h *unreachableHop) Forward(_ context.Context, _ string, e hop.Envelope, _ forwarder.Request) (forwarder.Answer, error) {
	h.prompt = append(h.prompt, e.Prompt)
	return forwarder.Answer{}, forwarder.ErrNotSent
}

// freshServers is a Chooser that picks a new backend server for each attempt.
type freshServers struct{ trialChooser }

func (freshServers) Pick(r picker.Request) (chooser.Target, error) {
	name := backend.ID(fmt.Sprintf("rounds-%d", len(r.Exclude)))
	return chooser.Target{Backend: backend.New(name, "rounds", "vm-1"), Guard: member.New("vm-1", "srem"), HasOther: true}, nil
}

// TestRefusalsCarryRetryAfter checks that a request that no guard could be reached for is
// answered 503 with a Retry-After header, and that only its first attempts are prompt.
func TestRefusalsCarryRetryAfter(t *testing.T) {
	h := &unreachableHop{}
	i := New(member.New("vm-1", "srem").WithIncarnation(1), Parts{
		Configuration: fixedConfiguration{}, Chooser: freshServers{}, Limit: fakeLimit{}, Hop: h, Guards: fakeGuards{}, Observer: noObserver{},
		RetryBudget: func() RetryBudget { return RetryBudget{} },
	})
	w := httptest.NewRecorder()
	i.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/fields", nil))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("status %d with Retry-After %q, want 503 with a Retry-After", w.Code, w.Header().Get("Retry-After"))
	}
	if len(h.prompt) != maxDispatches {
		t.Errorf("%d attempts, want %d", len(h.prompt), maxDispatches)
	}
	for n, prompt := range h.prompt {
		if prompt != (n < promptDispatches) {
			t.Errorf("attempt %d: prompt is %t", n, prompt)
		}
	}
}
