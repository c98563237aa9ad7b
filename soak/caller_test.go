package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"berylpass/platform/wire"
)

const (
	callerDeadline = 2 * time.Second
	// callerSlack is how long a caller waits for a response after its deadline.
	callerSlack = time.Second
	// largeBody is the length of a large request body, in bytes.
	largeBody = 64 << 10
)

// caller sends one request after another to one VM, on persistent connections.
type caller struct {
	name   string
	vm     *vm
	oracle *oracle
	keys   *keyring
	random *rand.Rand
	client *http.Client
}

func newCaller(n int, v *vm, o *oracle, keys *keyring, seed uint64) *caller {
	return &caller{
		name: fmt.Sprintf("c%d", n), vm: v, oracle: o, keys: keys, random: rand.New(rand.NewPCG(seed, uint64(n))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: callerDeadline + callerSlack},
	}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		c.send(n)
		pause := time.Duration(10+c.random.IntN(30)) * time.Millisecond
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (c *caller) send(n int) {
	k, mayBeWithdrawn := c.keys.pick(c.random)
	s := callerRequest{oldKey: mayBeWithdrawn, request: fmt.Sprintf("%s-%d", c.name, n), organisation: k.organisation, key: k.secret, vm: c.vm}
	method, path, body := http.MethodGet, "/fields/", []byte(nil)
	if s.unsafe = c.random.IntN(2) == 0; s.unsafe {
		method, path, body = http.MethodPost, "/visits/", []byte(s.request)
		if c.random.IntN(5) == 0 {
			body = bytes.Repeat([]byte{'x'}, largeBody)
		}
	}
	uri := path + s.request
	request, err := http.NewRequest(method, "http://"+c.vm.callers.address()+uri, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	// Without GetBody the transport doesn't send a request with a body again.
	request.GetBody = nil
	request.Host = "app.example"
	request.Header.Set(wire.RequestID, s.request)
	request.Header.Set(wire.Timeout, fmt.Sprint(callerDeadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+k.secret)
	s.sentAt = time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		s.endedAt = time.Now()
		var dial *net.OpError
		refused := errors.As(err, &dial) && dial.Op == "dial"
		s.noResponse = !refused && !strings.Contains(err.Error(), "Timeout")
		c.oracle.recordRequest(s)
		return
	}
	responseBody, readErr := io.ReadAll(response.Body)
	_ = response.Body.Close()
	s.endedAt, s.status = time.Now(), response.StatusCode
	s.fromBackend = response.Header.Get(wire.Stamp) != ""
	switch {
	case readErr != nil:
		s.noResponse, s.status = true, 0
	case response.StatusCode == http.StatusOK && !bytes.Equal(responseBody, expectedResponse(method, uri, s.request, body)):
		s.defect = fmt.Sprintf("unexpected body of %d bytes that starts with %.60q", len(responseBody), responseBody)
	case response.Header.Get(wire.RequestID) != s.request:
		s.defect = fmt.Sprintf("response with status %d has request ID %q", response.StatusCode, response.Header.Get(wire.RequestID))
	}
	c.oracle.recordRequest(s)
}
