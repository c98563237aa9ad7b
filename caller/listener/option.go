package listener

import (
	"encoding/json"
	"net/http"
	"time"

	nbtls "github.com/lesismal/llib/std/crypto/tls"

	"berylpass/caller/memory"
	"berylpass/caller/memory/holder"
)

// Refusal returns the headers and the body of the response to a request that was
// refused before it reached the handler. The reason is a short fixed text such as
// "malformed-request".
type Refusal func(status int, reason string) (http.Header, []byte)

type settings struct {
	maxHeader      int
	maxBody        int64
	memory         *holder.Book
	maxConnections int
	headTimeout    time.Duration
	idleTimeout    time.Duration
	shutdownGrace  time.Duration
	tls            *nbtls.Config
	refusal        Refusal
	onPanic        func(value any, stack []byte)
	onEvicted      func()
}

func defaults() settings {
	return settings{
		maxHeader:      DefaultMaxHeader,
		maxBody:        DefaultMaxBody,
		maxConnections: DefaultMaxConnections,
		headTimeout:    DefaultHeadTimeout,
		idleTimeout:    DefaultIdleTimeout,
		shutdownGrace:  DefaultShutdownGrace,
		refusal:        plainRefusal,
		onPanic:        func(any, []byte) {},
		onEvicted:      func() {},
	}
}

// Option configures a Listener.
type Option func(*settings)

// WithMaxHeader sets the maximum length of a request's head, in bytes.
func WithMaxHeader(bytes int) Option { return func(s *settings) { s.maxHeader = bytes } }

// WithMaxBody sets the maximum length of a request's body, in bytes.
func WithMaxBody(bytes int64) Option { return func(s *settings) { s.maxBody = bytes } }

// WithMaxTotalBody sets the maximum memory, in bytes, of all requests that are being read or
// unanswered, and of responses that are queued. A request that would exceed it is refused with
// status 503.
func WithMaxTotalBody(bytes int64) Option {
	return func(s *settings) { s.memory = holder.NewBook(wholeFor(bytes)) }
}

// wholeFor returns parts that a listener with a memory of its own uses as a whole.
func wholeFor(bytes int64) memory.Parts {
	return memory.Parts{Heads: bytes, Exchanges: bytes, Long: bytes}
}

// WithMemory makes the listener share the memory of a book with others.
func WithMemory(book *holder.Book) Option { return func(s *settings) { s.memory = book } }

// WithEvictionHandler sets a function that is called when a connection without a request was
// closed to make room for another. It must not block.
func WithEvictionHandler(onEvicted func()) Option {
	return func(s *settings) { s.onEvicted = onEvicted }
}

// WithMaxConnections sets the maximum number of open connections. A further one takes the place
// of one without a request; if there is none, it is closed as soon as it is accepted.
func WithMaxConnections(n int) Option { return func(s *settings) { s.maxConnections = n } }

// WithIdleTimeout sets how long a connection stays open without a request.
func WithIdleTimeout(d time.Duration) Option { return func(s *settings) { s.idleTimeout = d } }

// WithHeadTimeout sets how long a head may take from its first byte to its end.
func WithHeadTimeout(d time.Duration) Option { return func(s *settings) { s.headTimeout = d } }

// WithShutdownGrace sets how long Shutdown leaves idle connections open.
func WithShutdownGrace(d time.Duration) Option { return func(s *settings) { s.shutdownGrace = d } }

// WithTLS makes the listener serve TLS only. GetCertificate of the configuration is
// called for each connection.
func WithTLS(config *nbtls.Config) Option { return func(s *settings) { s.tls = config } }

// WithRefusal sets the response to refused requests.
func WithRefusal(refusal Refusal) Option { return func(s *settings) { s.refusal = refusal } }

// WithPanicHandler sets a function that is called with the value and the stack of each panic
// of a handler, except http.ErrAbortHandler.
func WithPanicHandler(onPanic func(value any, stack []byte)) Option {
	return func(s *settings) { s.onPanic = onPanic }
}

// plainRefusal is the default Refusal. Its body is a JSON object.
func plainRefusal(_ int, reason string) (http.Header, []byte) {
	body, err := json.Marshal(map[string]string{"outcome": "not-run", "reason": reason})
	if err != nil {
		body = nil
	}
	return http.Header{"Content-Type": {"application/json"}, "Bp-Outcome": {"not-run"}}, body
}
