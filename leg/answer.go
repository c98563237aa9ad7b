package leg

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"berylpass/header"
)

// read returns the whole answer or says why it cannot be had.
func (l *Leg) read(method string, response *http.Response) (Answer, error) {
	answer := Answer{Status: response.StatusCode, Header: header.FromBackend(response.Header)}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(header.NotRun) != "" {
		answer.NotRun, answer.RetryAfter = true, retryAfter(response.Header)
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return Answer{}, ErrUpgrade
	}
	if !hasBody(method, response.StatusCode) {
		return answer, nil
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return Answer{}, ErrUnframed
	}
	if response.ContentLength > l.maxAnswer {
		return Answer{}, ErrTooLarge
	}
	body, err := l.readBody(response)
	if err != nil {
		return Answer{}, err
	}
	answer.Body = body
	return answer, nil
}

func (l *Leg) readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, l.maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > l.maxAnswer {
		return nil, ErrTooLarge
	}
	return body, nil
}

// hasBody reports whether an answer with the status to the method has a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// retryAfter reads a Retry-After in seconds; other forms count as none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
