// Package leg carries a request from a guard to a backend server and brings back
// the whole answer, or says how much is certain.
//
// Each request has a connection of its own. HTTP/1.1 answers carry no name of
// their request, so on a reused connection a backend server that answers twice, or
// late, would have its answer taken for the next request's. Besides, the
// transport sends some requests again when a reused connection closes. The leg
// counts the bytes that leave, so that ErrNotSent is certain, also when the
// context ends while the request is about to be written.
//
// An answer counts as whole only if its framing says so: a Content-Length that
// was reached, a last chunk, or a status without a body. An answer that ends with
// the connection looks the same when the backend server dies half way, and is an
// ErrUnframed.
//
// # Usage
//
//	l := leg.New(leg.WithMaxAnswer(16 << 20))
//	answer, err := l.Run(ctx, "127.0.0.1:8001", leg.Request{Method: "GET", Target: "/a?b", Host: "example.org"})
//	switch {
//	case errors.Is(err, leg.ErrNotSent): // has not run and never will
//	case errors.Is(err, leg.ErrUnknown): // may have run
//	}
package leg

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// Default bounds.
const (
	DefaultMaxAnswer = 32 << 20
	dialTimeout      = time.Second
	maxAnswerHeader  = 64 << 10
)

var (
	// ErrNotSent reports that no byte of the request reached the backend server.
	ErrNotSent = errors.New("request was not sent")
	// ErrUnknown reports that the backend server may have run the request.
	ErrUnknown = errors.New("request may have run")
	// ErrTooLarge reports, wrapped in ErrUnknown, an answer over the bound.
	ErrTooLarge = errors.New("answer is too large")
	// ErrUnframed reports, wrapped in ErrUnknown, an answer whose end cannot be told from a cut.
	ErrUnframed = errors.New("answer has neither length nor chunks")
	// ErrUpgrade reports, wrapped in ErrUnknown, an answer that switches protocols.
	ErrUpgrade = errors.New("answer switches protocols")
)

// Request is what a backend server is asked.
type Request struct {
	Method string
	// Target is the path with the query; it starts with a slash.
	Target string
	Host   string
	// Header is filtered by header.ToBackend before it is sent.
	Header http.Header
	Body   []byte
	// NotAfter is when the request may no longer begin to leave; zero for never.
	NotAfter time.Time
}

// Answer is a backend server's whole answer.
type Answer struct {
	Status int
	// Header holds no hop-by-hop and no internal headers.
	Header http.Header
	Body   []byte
	// NotRun tells that the backend server refused the request before any work,
	// by status 503 with header.NotRun. RetryAfter is its advice, zero if it gave none.
	NotRun     bool
	RetryAfter time.Duration
}

// Leg sends requests to the backend servers of a VM. It is safe for concurrent use.
type Leg struct {
	transport *http.Transport
	maxAnswer int64
}

// Option changes how a leg is set up.
type Option func(*Leg)

// WithMaxAnswer bounds the body of an answer in bytes.
func WithMaxAnswer(bytes int64) Option { return func(l *Leg) { l.maxAnswer = bytes } }

// New returns a leg.
func New(options ...Option) *Leg {
	dialer := &net.Dialer{Timeout: dialTimeout}
	l := &Leg{
		maxAnswer: DefaultMaxAnswer,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &sealableConn{Conn: conn}, nil
			},
			DisableKeepAlives:      true,
			MaxResponseHeaderBytes: maxAnswerHeader,
			DisableCompression:     true,
		},
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Run sends the request to the backend server at address, host:port, and returns
// its whole answer. The end of ctx closes the connection; its deadline goes with
// the request as milliseconds left. Errors wrap ErrNotSent or ErrUnknown.
func (l *Leg) Run(ctx context.Context, address string, r Request) (Answer, error) {
	if err := ctx.Err(); err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if !strings.HasPrefix(r.Target, "/") {
		return Answer{}, fmt.Errorf("%w: target %q does not start with a slash", ErrNotSent, r.Target)
	}
	sent := tracker{notAfter: r.NotAfter}
	request, err := newRequest(sent.trace(ctx), address, r)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	response, err := l.transport.RoundTrip(request)
	if err != nil && sent.seal() {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := l.read(request.Method, response)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return answer, nil
}
