// Package forwarder sends requests from an ingress to the guards of other VMs.
//
// # Usage
//
//	f := forwarder.New(key.ClientTLS(), 16<<20)
//	answer, err := f.Forward(ctx, guard.Data, envelope, request)
//	switch {
//	case errors.Is(err, forwarder.ErrNotSent): // the attempt has not run
//	case err != nil: // the attempt may have run; cancel it at the guard to find out
//	}
package forwarder

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"berylpass/answer"
	"berylpass/caller/memory/holder"
	"berylpass/hop"
	"berylpass/mesh/crossing"
	"berylpass/mesh/link"
)

// Limits of the connections to guards.
const (
	// dialTimeout and handshakeTimeout bound the set-up of a connection: ten round trips to
	// the farthest region.
	dialTimeout            = 700 * time.Millisecond
	idleTimeout            = 90 * time.Second
	maxIdlePerGuard        = 64
	maxResponseHeaderBytes = 256 << 10
	handshakeTimeout       = 700 * time.Millisecond
)

// The number of large bodies that are sent at once is limited: each then arrives sooner than if
// all shared the link, and a request that is not sent by its deadline has certainly not run.
const (
	// minLargeBodyBytes is the size from which a body counts as large: several times the
	// initial window of a connection.
	minLargeBodyBytes = 64 << 10
	// maxLargeBodies is the number of large bodies that are sent at once.
	maxLargeBodies = 8
)

var (
	// ErrNotSent means that no byte of the request left this daemon.
	ErrNotSent = errors.New("request was not sent")
	// ErrAnswerLost means that no complete answer arrived; the attempt may have run.
	ErrAnswerLost = errors.New("answer was lost")
	// ErrMismatch means that the received answer belongs to another attempt.
	ErrMismatch = errors.New("answer belongs to another attempt")
)

// Request is a caller's request, which the guard passes on to the backend server.
type Request struct {
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is the guard's answer. It is the backend server's answer if Report.Ending is hop.Ran.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Report hop.Report
}

// Forwarder sends requests over pooled connections to guards. It is safe for concurrent use.
type Forwarder struct {
	transport      *http.Transport
	maxAnswerBytes int64
	// largeBodies is a semaphore with one entry for each large body that is being sent.
	largeBodies chan struct{}
}

// New returns a forwarder that accepts answers with bodies of up to maxAnswerBytes bytes.
func New(config *tls.Config, maxAnswerBytes int64, options ...Option) *Forwarder {
	dialer := link.New(dialTimeout).Dialer()
	f := &Forwarder{
		maxAnswerBytes: maxAnswerBytes,
		largeBodies:    make(chan struct{}, maxLargeBodies),
		transport: &http.Transport{
			DialContext:            dialer.DialContext,
			TLSClientConfig:        config,
			TLSHandshakeTimeout:    handshakeTimeout,
			MaxIdleConnsPerHost:    maxIdlePerGuard,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			DisableCompression:     true,
		},
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithTraffic returns an Option that counts the bytes on the connections to guards.
func WithTraffic(c *crossing.Counter) Option {
	return func(f *Forwarder) {
		f.transport.DialContext = c.Dial(crossing.Requests, f.transport.DialContext)
	}
}

// Forward sends the request to the guard at address and waits for its answer or the end of
// ctx. It closes the connection if ctx ends first. Its error wraps ErrNotSent or ErrAnswerLost, or is
// ErrMismatch.
func (f *Forwarder) Forward(ctx context.Context, address string, e hop.Envelope, r Request) (Answer, error) {
	release, err := f.acquireLargeBody(ctx, len(r.Body))
	if err != nil {
		return Answer{}, fmt.Errorf("%w: waiting until a large body may be sent: %w", ErrNotSent, err)
	}
	defer release()
	// connected is set before the first byte can leave this daemon.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) { release() },
	})
	request, err := newRequest(ctx, address, e, r)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	response, err := f.transport.RoundTrip(request)
	if err != nil {
		if !connected.Load() {
			return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return Answer{}, fmt.Errorf("%w: %w", ErrAnswerLost, err)
	}
	defer func() { _ = response.Body.Close() }()
	return f.readAnswer(response, e)
}

// acquireLargeBody waits until a body of size bytes may be sent, or returns the error of ctx
// when that ends. The returned function lets the next large body be sent. It may be called
// several times.
func (f *Forwarder) acquireLargeBody(ctx context.Context, size int) (release func(), err error) {
	if size < minLargeBodyBytes {
		return func() {}, nil
	}
	select {
	case f.largeBodies <- struct{}{}:
		return sync.OnceFunc(func() { <-f.largeBodies }), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close closes the idle connections.
func (f *Forwarder) Close() { f.transport.CloseIdleConnections() }

func newRequest(ctx context.Context, address string, e hop.Envelope, r Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "https://"+address, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	request.URL = requestURL(address, r)
	// The transport does not send a request a second time on its own if the body is of a type
	// that it does not know and GetBody is nil.
	request.Body, request.GetBody = io.NopCloser(bytes.NewReader(r.Body)), nil
	request.Host = r.Host
	request.Header = r.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	e.Write(request.Header)
	return request, nil
}

// requestURL returns the URL of a request to a guard. It is opaque, so that the target is sent as the caller
// sent it: a parsed path is encoded anew if it has a character that RFC 3986 doesn't allow there.
func requestURL(address string, r Request) *url.URL {
	u := &url.URL{Scheme: "https", Host: address, Opaque: r.Target}
	if strings.HasPrefix(r.Target, "//") {
		// Two slashes at the start of an opaque part begin an authority, so the target is sent in absolute form.
		u.Opaque = "//" + cmp.Or(r.Host, address) + r.Target
	}
	return u
}

// readAnswer reads the answer to the attempt of the envelope. A guard's answers show where
// they end: without that, the end of a connection that was cut between two TLS records would
// look like the end of the answer.
func (f *Forwarder) readAnswer(response *http.Response, e hop.Envelope) (Answer, error) {
	if err := answer.Check(response); err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrAnswerLost, err)
	}
	if !answer.IsDelimited(response) {
		return Answer{}, fmt.Errorf("%w: answer has neither a Content-Length nor chunks", ErrAnswerLost)
	}
	report, err := hop.ReadReport(response.Header)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrAnswerLost, err)
	}
	if report.Attempt != e.Attempt {
		return Answer{}, ErrMismatch
	}
	length := response.ContentLength
	if response.Body == http.NoBody {
		length = 0
	}
	body, err := holder.ReadAll(response.Request.Context(), response.Body, length, f.maxAnswerBytes)
	if errors.Is(err, io.ErrShortBuffer) {
		return Answer{}, fmt.Errorf("%w: answer exceeds %d bytes", ErrAnswerLost, f.maxAnswerBytes)
	}
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrAnswerLost, err)
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body, Report: report}, nil
}
