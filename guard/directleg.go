package guard

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"berylpass/header"
)

// DirectLeg runs requests over HTTP on backend servers of this VM.
type DirectLeg struct{ Transport http.RoundTripper }

// Run implements Leg.
func (l DirectLeg) Run(ctx context.Context, address string, r Request) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Target, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, err
	}
	request.Host = r.Host
	request.Header = header.ToBackend(r.Header)
	response, err := l.Transport.RoundTrip(request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}, err
	}
	return Answer{Status: response.StatusCode, Header: header.FromBackend(response.Header), Body: body}, nil
}
