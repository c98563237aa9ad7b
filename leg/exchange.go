package leg

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"berylpass/caller/memory/holder"
)

const (
	// maxSkippedAnswers is the number of interim answers and answers to other requests at
	// which the wait for the request's own answer is given up.
	maxSkippedAnswers = 8
	// maxInlineBody is the largest body in bytes that is written before the answer is read;
	// a larger one is written while the answer is read.
	maxInlineBody = 8 << 10
	// bodyWriteGrace is how long to wait for the end of a background body write once the
	// answer has arrived.
	bodyWriteGrace = 5 * time.Millisecond
)

var errTooLate = errors.New("too late to send the request")

// exchange sends r on c and reads its answer. It reports as clean whether c can carry
// another request. The end of ctx closes c.
func (l *Leg) exchange(ctx context.Context, c *conn, r Request) (answer Answer, clean bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer func() { clean = stop() && clean }()
	var left time.Duration
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	head := l.encodeHead(r, left)
	if err := ctx.Err(); err != nil {
		return Answer{}, false, err
	}
	if !r.NotAfter.IsZero() && time.Now().After(r.NotAfter) {
		return Answer{}, false, errTooLate
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			return Answer{}, false, err
		}
	}
	sent, err := send(c, head, r.Body)
	if err != nil {
		return Answer{}, false, err
	}
	answer, keep, err := l.read(c, r)
	if err != nil {
		return Answer{}, false, err
	}
	// If the answer came before the whole body was written, the connection is not reused:
	// the backend server could take the rest of the body for another request.
	return answer, keep && sent() && c.in.Buffered() == 0, nil
}

// send writes the request, a body of more than maxInlineBody bytes in the background. The
// function it returns reports whether the whole request has been written.
func send(c *conn, head, body []byte) (sent func() bool, err error) {
	if len(body) <= maxInlineBody {
		_, err := c.Write(append(head, body...))
		return func() bool { return true }, err
	}
	if _, err := c.Write(head); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(body)
		done <- err
	}()
	return func() bool {
		timer := time.NewTimer(bodyWriteGrace)
		defer timer.Stop()
		select {
		case err := <-done:
			return err == nil
		case <-timer.C:
			return false
		}
	}, nil
}

// encodeHead encodes the request line and the headers, sorted by name.
func (l *Leg) encodeHead(r Request, left time.Duration) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	h := l.dialect.RequestHeader(r, left)
	h.Del("Host")
	h.Del("Content-Length")
	for _, name := range slices.Sorted(maps.Keys(h)) {
		for _, value := range h[name] {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if !l.dialect.AnswersNameRequests() {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// read returns the complete answer to r and reports whether the connection may be kept. It
// skips interim answers and those to other requests.
func (l *Leg) read(c *conn, r Request) (Answer, bool, error) {
	keep := true
	for range maxSkippedAnswers {
		response, err := readHead(c, r.Method)
		if err != nil {
			return Answer{}, false, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return Answer{}, false, ErrUpgrade
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		reading := l.dialect.Read(r, response.StatusCode, response.Header)
		body, err := l.readBody(r, response)
		if err != nil {
			return Answer{}, false, err
		}
		if err := response.Body.Close(); err != nil {
			return Answer{}, false, err
		}
		if reading.OtherRequest {
			keep = false
			continue
		}
		keep = keep && !response.Close
		c.idleTimeout = parseIdleTimeout(response.Header)
		return Answer{
			Status:     response.StatusCode,
			Header:     l.dialect.AnswerHeader(response.Header),
			Body:       body,
			AnswerInfo: reading,
		}, keep, nil
	}
	return Answer{}, false, ErrTooManyAnswers
}

// errNoAnswer is the error for a connection that ended before the first byte of an answer.
var errNoAnswer = errors.New("connection ended before an answer")

// isConnectionLost reports whether err suggests that the backend server had dropped the
// connection, rather than that it cut an answer short.
func isConnectionLost(err error) bool {
	return errors.Is(err, errNoAnswer) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// readHead reads the status line and the headers of one answer, of at most
// maxAnswerHeader bytes.
func readHead(c *conn, method string) (*http.Response, error) {
	c.limit.N = maxAnswerHeader
	if _, err := c.in.Peek(1); err != nil {
		return nil, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	response, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil && c.limit.N <= 0 {
		return nil, ErrTooLarge
	}
	c.limit.N = math.MaxInt64
	return response, err
}

// readBody returns the whole body of an answer of at most l.maxAnswer bytes. Its errors are
// ErrUnframed, ErrTooLarge and those of reading.
func (l *Leg) readBody(r Request, response *http.Response) ([]byte, error) {
	if !hasBody(r.Method, response.StatusCode) {
		return nil, nil
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !l.dialect.AllowsCloseDelimited() {
		return nil, ErrUnframed
	}
	if response.ContentLength > l.maxAnswer {
		return nil, ErrTooLarge
	}
	read := r.ReadBody
	if read == nil {
		read = func(body io.Reader, length, limit int64) ([]byte, error) {
			return holder.ReadAll(context.Background(), body, length, limit)
		}
	}
	body, err := read(response.Body, response.ContentLength, l.maxAnswer)
	if errors.Is(err, io.ErrShortBuffer) {
		return nil, ErrTooLarge
	}
	return body, err
}

// hasBody reports whether an answer with the status to a request with the method has a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// parseIdleTimeout returns how long a connection may be idle after an answer with these
// headers and still be reused: the timeout of the Keep-Alive header less idleMargin.
func parseIdleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.ParseUint(value, 10, 16)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
