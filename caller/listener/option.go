package listener

import (
	"encoding/json"
	"net/http"
	"time"

	nbtls "github.com/lesismal/llib/std/crypto/tls"
)

// Refusal returns the headers and the body of an answer to a request that was
// refused before it reached the handler.
type Refusal func(status int, reason string) (http.Header, []byte)

type settings struct {
	maxHeader      int
	maxBody        int64
	maxBodies      int64
	maxConnections int
	idleTimeout    time.Duration
	shutdownGrace  time.Duration
	tls            *nbtls.Config
	refusal        Refusal
	panicked       func(value any, stack []byte)
}

func defaults() settings {
	return settings{
		maxHeader:      DefaultMaxHeader,
		maxBody:        DefaultMaxBody,
		maxBodies:      DefaultMaxBodies,
		maxConnections: DefaultMaxConnections,
		idleTimeout:    DefaultIdleTimeout,
		shutdownGrace:  DefaultShutdownGrace,
		refusal:        plainRefusal,
		panicked:       func(any, []byte) {},
	}
}

// Option changes how a listener is set up.
type Option func(*settings)

// WithMaxHeader bounds the head of a request in bytes.
func WithMaxHeader(bytes int) Option { return func(s *settings) { s.maxHeader = bytes } }

// WithMaxBody bounds the body of a request in bytes.
func WithMaxBody(bytes int64) Option { return func(s *settings) { s.maxBody = bytes } }

// WithMaxBodies bounds the bytes of all bodies together that wait for their answers
// or are being read; a request that finds no room is refused with 503.
func WithMaxBodies(bytes int64) Option { return func(s *settings) { s.maxBodies = bytes } }

// WithMaxConnections bounds the open connections; more are closed at once.
func WithMaxConnections(n int) Option { return func(s *settings) { s.maxConnections = n } }

// WithIdleTimeout sets how long a connection stays open without a request.
func WithIdleTimeout(d time.Duration) Option { return func(s *settings) { s.idleTimeout = d } }

// WithShutdownGrace sets how long Shutdown leaves idle connections open.
func WithShutdownGrace(d time.Duration) Option { return func(s *settings) { s.shutdownGrace = d } }

// WithTLS serves TLS only. GetCertificate of the configuration is asked for each connection.
func WithTLS(config *nbtls.Config) Option { return func(s *settings) { s.tls = config } }

// WithRefusal sets how refused requests are answered.
func WithRefusal(refusal Refusal) Option { return func(s *settings) { s.refusal = refusal } }

// WithPanicked sets what is told of a handler's panic, other than http.ErrAbortHandler.
func WithPanicked(panicked func(value any, stack []byte)) Option {
	return func(s *settings) { s.panicked = panicked }
}

// plainRefusal answers with a JSON object.
func plainRefusal(_ int, reason string) (http.Header, []byte) {
	body, err := json.Marshal(map[string]string{"outcome": "not-run", "reason": reason})
	if err != nil {
		body = nil
	}
	return http.Header{"Content-Type": {"application/json"}, "Bp-Outcome": {"not-run"}}, body
}
