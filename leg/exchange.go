package leg

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"berylpass/answer"
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
	// closeGrace is how long to wait for the end of a background body write once the end of the
	// connection has ended an answer. A write to a closed connection fails at once, so only a
	// backend server that closes its own direction first and reads on needs the time.
	closeGrace = time.Second
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
	answer, keep, err := l.read(c, r, sent)
	if err != nil {
		return Answer{}, false, err
	}
	// If the answer came before the whole body was written, the connection is not reused:
	// the backend server could take the rest of the body for another request.
	return answer, keep && sent(bodyWriteGrace) && c.in.Buffered() == 0, nil
}

// sentWithin waits for the end of a request's write, for at most the given time. It reports
// whether the whole request has been written.
type sentWithin func(time.Duration) bool

// send writes the request, a body of more than maxInlineBody bytes in the background.
func send(c *conn, head, body []byte) (sentWithin, error) {
	if len(body) <= maxInlineBody {
		_, err := c.Write(append(head, body...))
		return func(time.Duration) bool { return true }, err
	}
	if _, err := c.Write(head); err != nil {
		return nil, err
	}
	whole, done := false, make(chan struct{})
	go func() {
		defer close(done)
		_, err := c.Write(body)
		whole = err == nil
	}()
	return func(patience time.Duration) bool {
		timer := time.NewTimer(patience)
		defer timer.Stop()
		select {
		case <-done:
			return whole
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
func (l *Leg) read(c *conn, r Request, sent sentWithin) (Answer, bool, error) {
	keep := true
	for range maxSkippedAnswers {
		head, err := readHead(c)
		if err != nil {
			return Answer{}, false, err
		}
		if head.Status == http.StatusSwitchingProtocols {
			return Answer{}, false, ErrUpgrade
		}
		if head.Status < http.StatusOK {
			continue
		}
		reading := l.dialect.Read(r, head.Status, head.Header)
		body, err := l.readBody(c, r.Method, head.WithReserve(r.Reserve), sent)
		if err != nil {
			return Answer{}, false, err
		}
		if reading.OtherRequest {
			keep = false
			continue
		}
		keep = keep && !head.Close && head.Ending(r.Method) != answer.ByClose
		c.idleTimeout = parseIdleTimeout(head.Header)
		return Answer{
			Status:     head.Status,
			Header:     l.dialect.AnswerHeader(head.Header),
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

// readHead reads the head of one answer, of at most maxAnswerHeader bytes.
func readHead(c *conn) (answer.Head, error) {
	if _, err := c.in.Peek(1); err != nil {
		return answer.Head{}, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	return answer.ReadHead(c.in, maxAnswerHeader)
}

// readBody returns the whole body of an answer of at most l.maxAnswer bytes. Its errors are
// ErrUnframed, ErrCut and those of answer.Head.
func (l *Leg) readBody(c *conn, method string, head answer.Head, sent sentWithin) ([]byte, error) {
	byClose := head.Ending(method) == answer.ByClose
	if byClose && !l.dialect.AllowsCloseDelimited() {
		return nil, ErrUnframed
	}
	body, err := head.ReadBody(c.in, method, l.maxAnswer)
	if err != nil {
		return nil, err
	}
	// The kernel reports a reset only once. If the write under way got it, the read sees the
	// same end as after an orderly close.
	if byClose && !sent(closeGrace) {
		return nil, ErrCut
	}
	return body, nil
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
