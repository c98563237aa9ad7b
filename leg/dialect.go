package leg

import (
	"net/http"
	"strconv"
	"time"

	"berylpass/header"
)

// AnswerInfo is what the status and the headers of an answer say about how it was made.
type AnswerInfo struct {
	// NotRun reports whether the backend server refused the request before any work.
	NotRun bool
	// OtherInstance reports whether another process than Request.Instance has the address.
	OtherInstance bool
	// OtherRequest reports whether the answer names another request.
	OtherRequest bool
	// RetryAfter is the backend server's Retry-After, zero if it gave none.
	RetryAfter time.Duration
}

// Dialect writes the headers of requests to backend servers and reads those of their
// answers.
type Dialect interface {
	// RequestHeader returns the headers of the request r, which must be answered within left;
	// left is 0 if there is no deadline.
	RequestHeader(r Request, left time.Duration) http.Header
	// Read reads the status and the headers of an answer that arrived after r was sent.
	Read(r Request, status int, h http.Header) AnswerInfo
	// AnswerHeader returns the headers of an answer to forward to the caller.
	AnswerHeader(h http.Header) http.Header
	// AnswersNameRequests reports whether answers name their request, so that connections can be
	// reused.
	AnswersNameRequests() bool
	// AllowsCloseDelimited reports whether the close of the connection may end an answer that has
	// neither a Content-Length nor chunks.
	AllowsCloseDelimited() bool
}

// defaultDialect is berylpass's own dialect.
type defaultDialect struct{}

func (defaultDialect) RequestHeader(r Request, left time.Duration) http.Header {
	out := header.ToBackend(r.Header)
	if left > 0 {
		out.Set(header.TimeoutMS, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	}
	return out
}

func (defaultDialect) Read(_ Request, status int, h http.Header) AnswerInfo {
	if status != http.StatusServiceUnavailable || h.Get(header.NotRun) == "" {
		return AnswerInfo{}
	}
	return AnswerInfo{NotRun: true, RetryAfter: retryAfter(h)}
}

func (defaultDialect) AnswerHeader(h http.Header) http.Header { return header.FromBackend(h) }

func (defaultDialect) AnswersNameRequests() bool { return false }

func (defaultDialect) AllowsCloseDelimited() bool { return false }

// retryAfter returns the Retry-After header in h, or zero if there is none or it isn't a
// whole number of seconds.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
