package leg

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"berylpass/header"
)

func newRequest(ctx context.Context, address string, r Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Target, nil)
	if err != nil {
		return nil, err
	}
	request.Host = r.Host
	request.Header = outgoing(ctx, r.Header)
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
		request.ContentLength = int64(len(r.Body))
	}
	return request, nil
}

// outgoing returns the headers for the backend server.
func outgoing(ctx context.Context, h http.Header) http.Header {
	out := header.ToBackend(h)
	if _, ok := out["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its own.
		out.Set("User-Agent", "")
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, time.Until(deadline).Milliseconds())
		out.Set(header.TimeoutMS, strconv.FormatInt(left, 10))
	}
	return out
}
