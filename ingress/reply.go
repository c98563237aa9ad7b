package ingress

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"berylpass/config/snapshot"
	"berylpass/header"
	"berylpass/hop/forwarder"
)

// Outcome tells a caller how its request ended.
type Outcome string

// The outcomes.
const (
	// Answered means that the body is the backend server's whole answer.
	Answered Outcome = "answered"
	// NotRun means that the request has not run and never will.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// The headers of every answer.
const (
	OutcomeHeader = "Berylpass-Outcome"
	AttemptHeader = "Berylpass-Attempt"
)

// refusal is an answer of berylpass's own.
type refusal struct {
	status     int
	outcome    Outcome
	reason     string
	attempt    string
	retryAfter time.Duration
}

// refusalBody is the machine-readable body of a refusal.
type refusalBody struct {
	Outcome      Outcome `json:"outcome"`
	Reason       string  `json:"reason"`
	Attempt      string  `json:"attempt,omitempty"`
	RetryAfterMS int64   `json:"retry-after-ms,omitempty"`
}

func refusalOf(err error) refusal {
	f := refusal{status: http.StatusInternalServerError, outcome: NotRun, reason: "internal-error"}
	for _, known := range []struct {
		err    error
		status int
		reason string
	}{
		{snapshot.ErrNoRoute, http.StatusNotFound, "no-route"},
		{snapshot.ErrMethod, http.StatusNotFound, "no-route-for-method"},
		{errNoKey, http.StatusUnauthorized, "no-key"},
		{errUnknownKey, http.StatusUnauthorized, "unknown-key"},
		{errTwoKeys, http.StatusBadRequest, "two-keys"},
	} {
		if errors.Is(err, known.err) {
			f.status, f.reason = known.status, known.reason
		}
	}
	return f
}

func reply(w http.ResponseWriter, f refusal) {
	h := w.Header()
	h.Set(OutcomeHeader, string(f.outcome))
	h.Set("Content-Type", "application/json")
	if f.attempt != "" {
		h.Set(AttemptHeader, f.attempt)
	}
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	body, _ := json.Marshal(refusalBody{
		Outcome:      f.outcome,
		Reason:       f.reason,
		Attempt:      f.attempt,
		RetryAfterMS: f.retryAfter.Milliseconds(),
	})
	body = append(body, '\n')
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.status)
	_, _ = w.Write(body)
}

func pass(w http.ResponseWriter, answer forwarder.Answer, attempt string) {
	h := w.Header()
	for name, values := range header.FromBackend(answer.Header) {
		h[name] = values
	}
	h.Set(OutcomeHeader, string(Answered))
	h.Set(AttemptHeader, attempt)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
