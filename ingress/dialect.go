package ingress

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"berylpass/header"
	"berylpass/hop/forwarder"
)

// RequestInfo is what a request's headers say about the request, as the dialect reads them.
type RequestInfo struct {
	// RequestID is the caller's own ID of the request, empty if it gives none.
	RequestID string
	// Timeout is the caller's timeout for the request, 0 if it gives none.
	Timeout time.Duration
	// Key is the API key that came with the request. It may be empty: HasKey tells
	// whether there was one.
	Key    string
	HasKey bool
}

// Refusal is an answer that berylpass gives itself, without one of a backend server.
type Refusal struct {
	Status  int
	Outcome Outcome
	Reason  string
	// Attempt is berylpass's ID of the request, empty if the request was not admitted.
	Attempt string
	// RequestID is the caller's own ID of the request.
	RequestID string
	// RetryAfter is how long the caller should wait before it tries again, 0 for no advice.
	RetryAfter time.Duration
}

// Dialect reads the headers of requests and writes the answers to them.
type Dialect interface {
	// ReadRequest reads the headers of a request. If it returns an error, the request is refused.
	ReadRequest(h http.Header) (RequestInfo, error)
	// ToGuard returns the headers to forward to a guard, without the caller's key.
	ToGuard(h http.Header, a RequestInfo) http.Header
	// Refuse answers a request for which there is no answer from a backend server.
	Refuse(w http.ResponseWriter, r Refusal)
	// WriteAnswer answers with the backend server's answer; attempt is the ID of the attempt
	// that it belongs to.
	WriteAnswer(w http.ResponseWriter, answer forwarder.Answer, attempt string)
}

// defaultDialect is the dialect of an ingress whose Parts name no other.
type defaultDialect struct{}

func (defaultDialect) ReadRequest(h http.Header) (RequestInfo, error) {
	secret, err := presentedKey(h)
	if errors.Is(err, errNoKey) {
		return RequestInfo{}, nil
	}
	return RequestInfo{Key: secret, HasKey: true}, err
}

func (defaultDialect) ToGuard(h http.Header, a RequestInfo) http.Header {
	return removeKey(header.FromCaller(h), a.Key)
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Outcome      Outcome `json:"outcome"`
	Reason       string  `json:"reason"`
	Attempt      string  `json:"attempt,omitempty"`
	RetryAfterMS int64   `json:"retry-after-ms,omitempty"`
}

func (defaultDialect) Refuse(w http.ResponseWriter, f Refusal) {
	h := w.Header()
	h.Set(OutcomeHeader, string(f.Outcome))
	h.Set("Content-Type", "application/json")
	if f.Attempt != "" {
		h.Set(AttemptHeader, f.Attempt)
	}
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	body, _ := json.Marshal(refusalBody{
		Outcome:      f.Outcome,
		Reason:       f.Reason,
		Attempt:      f.Attempt,
		RetryAfterMS: f.RetryAfter.Milliseconds(),
	})
	body = append(body, '\n')
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.Status)
	_, _ = w.Write(body)
}

func (defaultDialect) WriteAnswer(w http.ResponseWriter, answer forwarder.Answer, attempt string) {
	h := w.Header()
	for name, values := range header.FromBackend(answer.Header) {
		h[name] = values
	}
	h.Set(OutcomeHeader, string(Answered))
	h.Set(AttemptHeader, attempt)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
