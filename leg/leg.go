// Package leg is the HTTP/1.1 client with which a guard sends a request to a backend
// server. It returns the complete answer, or an error that says whether the backend server
// may have run the request.
//
// If the dialect's answers don't name their request, each request has its own
// connection: on a reused one, a second or a late answer of a backend server would be
// taken for the answer to the next request. If they do, connections are kept. A kept
// connection is reused only if nothing has arrived on it in the meantime and it has
// been idle for clearly less than the time for which the backend server keeps it. If
// the backend server drops connections earlier than it says, the first request that is
// lost that way shortens the time. Answers to other requests are skipped, and a
// connection that carried one is closed. No request is ever sent twice. The bytes
// written to each connection are counted, so that ErrNotSent is certain.
//
// An answer is whole only if its framing says so: the Content-Length was reached, the
// last chunk has come, or the status allows no body. If the dialect allows answers that
// end with their connection, an orderly close ends one once the request has been sent
// whole, but a reset doesn't. Bytes that are no answer by package answer end the request as
// unknown.
//
// # Usage
//
//	l := leg.New(leg.WithMaxAnswer(16 << 20))
//	answer, err := l.Run(ctx, "127.0.0.1:8001", leg.Request{Method: "GET", Target: "/a?b", Host: "example.org"})
//	switch {
//	case errors.Is(err, leg.ErrNotSent): // the request has not run and never will
//	case errors.Is(err, leg.ErrUnknown): // the request may have run
//	}
package leg

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"berylpass/answer"
)

const (
	// DefaultMaxAnswer is the largest body of an answer, in bytes, without WithMaxAnswer.
	DefaultMaxAnswer = 32 << 20
	dialTimeout      = time.Second
	// maxAnswerHeader is the largest size in bytes of an answer's status line and headers.
	maxAnswerHeader = 64 << 10
)

var (
	// ErrNotSent reports that no byte of the request reached the backend server.
	ErrNotSent = errors.New("request was not sent")
	// ErrUnknown reports that the backend server may have run the request.
	ErrUnknown = errors.New("request may have run")
	// ErrTooLarge reports, wrapped in ErrUnknown, an answer whose headers or body are too
	// large.
	ErrTooLarge = answer.ErrTooLarge
	// ErrMalformed reports, wrapped in ErrUnknown, bytes that are no answer.
	ErrMalformed = answer.ErrMalformed
	// ErrCut reports, wrapped in ErrUnknown, an answer that ended with its connection before the
	// whole request was sent: the connection may have been reset.
	ErrCut = errors.New("connection ended before the request was sent whole")
	// ErrUnframed reports, wrapped in ErrUnknown, an answer with neither a Content-Length
	// nor chunks: its end can't be distinguished from a lost connection.
	ErrUnframed = errors.New("answer has neither a Content-Length nor chunks")
	// ErrUpgrade reports, wrapped in ErrUnknown, an answer that switches protocols.
	ErrUpgrade = errors.New("answer switches protocols")
	// ErrTooManyAnswers reports, wrapped in ErrUnknown, that too many interim answers or
	// answers to other requests came and none to the request.
	ErrTooManyAnswers = errors.New("too many interim answers or answers to other requests")
)

// Request is a request to a backend server.
type Request struct {
	Method string
	// Target is the path with the query; it starts with a slash.
	Target string
	Host   string
	// Header is filtered by the dialect before it is sent.
	Header http.Header
	Body   []byte
	// NotAfter is the last time at which sending may begin; zero for no limit.
	NotAfter time.Time
	// BeforeSend, if not nil, is called once the connection is established, right before the
	// first byte is written. If it returns an error, the request is not sent.
	BeforeSend func() error
	// Reserve, if not nil, is called with a number of bytes before memory for the answer's body
	// is taken. If it returns an error, the answer is not read.
	Reserve func(bytes int64) error
	// Instance is the ID of the backend server that must run the request, empty for any.
	Instance string
	// Organisation is the organisation whose key came with the request, empty if the request
	// was taken on an open route without a known key.
	Organisation string
	// CallerService is the service of the backend server on the VM at which the request
	// entered the fleet, empty if unknown.
	CallerService string
}

// Answer is a backend server's complete answer.
type Answer struct {
	Status int
	// Header holds neither hop-by-hop nor internal headers.
	Header http.Header
	Body   []byte
	AnswerInfo
}

// Leg sends requests to the backend servers of a VM. It is safe for concurrent use.
type Leg struct {
	dialect   Dialect
	maxAnswer int64
	pool      *pool
}

// Option sets an option of a Leg.
type Option func(*Leg)

// WithMaxAnswer sets the largest body of an answer, in bytes.
func WithMaxAnswer(bytes int64) Option { return func(l *Leg) { l.maxAnswer = bytes } }

// WithDialect replaces berylpass's own dialect.
func WithDialect(d Dialect) Option { return func(l *Leg) { l.dialect = d } }

// New returns a leg with the given options.
func New(options ...Option) *Leg {
	l := &Leg{dialect: defaultDialect{}, maxAnswer: DefaultMaxAnswer, pool: newPool()}
	for _, option := range options {
		option(l)
	}
	return l
}

// Dials returns the number of connections dialled so far, including failed attempts.
func (l *Leg) Dials() int64 { return l.pool.dials.Load() }

// Close closes the connections that are kept.
func (l *Leg) Close() { l.pool.closeAll() }

// Run sends the request to the backend server at address, host:port, and returns
// its complete answer. The end of ctx closes the connection; the dialect gets the time left
// until its deadline. Errors wrap ErrNotSent or ErrUnknown.
func (l *Leg) Run(ctx context.Context, address string, r Request) (Answer, error) {
	if err := ctx.Err(); err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if !strings.HasPrefix(r.Target, "/") {
		return Answer{}, fmt.Errorf("%w: target %q does not start with a slash", ErrNotSent, r.Target)
	}
	c, err := l.connect(ctx, address)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	answer, clean, err := l.exchange(ctx, c, r)
	if err != nil {
		_ = c.Close()
		certainty := ErrUnknown
		if c.written.Load() == c.writtenBefore {
			certainty = ErrNotSent
		}
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		} else if c.reused && isConnectionLost(err) {
			l.pool.recordEarlyDrop(address, c, time.Now())
		}
		return Answer{}, fmt.Errorf("%w: %w", certainty, err)
	}
	if clean && l.dialect.AnswersNameRequests() {
		l.pool.put(address, c, time.Now())
	} else {
		_ = c.Close()
	}
	return answer, nil
}

// connect returns a kept connection to address if the dialect allows it and one is fit, and
// otherwise a new one.
func (l *Leg) connect(ctx context.Context, address string) (*conn, error) {
	if l.dialect.AnswersNameRequests() {
		if c := l.pool.take(address, time.Now()); c != nil {
			return c, nil
		}
	}
	return l.pool.dial(ctx, address)
}
