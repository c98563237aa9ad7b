package soak

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	servers "berylpass/fleet/backend"
	"berylpass/platform/heartbeat"
	"berylpass/platform/wire"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	// heartbeatTimeout is the time within which a heartbeat must be acknowledged.
	heartbeatTimeout = time.Second
	slots            = 8
)

// backend is an emulated backend server on the VM of a daemon. Its process can be replaced
// by a new one at the same address.
type backend struct {
	vm          *vm
	oracle      *oracle
	link        *proxy
	serviceTime time.Duration

	// failing makes it respond with 500, crashed close connections without a response,
	// and unresponsive never respond.
	failing, crashed, unresponsive atomic.Bool
	// silent stops the regular heartbeats.
	silent  atomic.Bool
	running atomic.Int64

	mu            sync.Mutex
	processNumber int
	incarnation   uint64
	sequence      uint64
	state         servers.State
	// drainAckAt is the time at which the drain of the current process was acknowledged.
	drainAckAt time.Time
}

func newBackend(t *testing.T, v *vm, o *oracle) *backend {
	t.Helper()
	b := &backend{vm: v, oracle: o, serviceTime: 20 * time.Millisecond}
	l, err := net.Listen("tcp", v.ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	b.link = newProxy(t, v.ip+":0", l.Addr().String())
	b.replace()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go b.sendHeartbeats(ctx)
	return b
}

func (b *backend) id() string { return fmt.Sprintf("i-%s-%d", b.vm.id, b.processNumber) }

// replace emulates the start of a new process at the same address, with a new ID and
// incarnation.
func (b *backend) replace() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processNumber++
	b.incarnation, b.sequence, b.state, b.drainAckAt = uint64(time.Now().UnixMilli()), 0, servers.Serving, time.Time{}
}

// drain announces that the process is draining.
func (b *backend) drain() {
	b.mu.Lock()
	b.state = servers.Draining
	b.mu.Unlock()
	b.sendHeartbeat()
}

func (b *backend) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !b.crashed.Load() && !b.silent.Load() {
				go b.sendHeartbeat()
			}
		}
	}
}

func (b *backend) sendHeartbeat() { b.send(b.nextMessage()) }

// message is a heartbeat of one process of a backend server.
type message struct {
	processNumber int
	state         servers.State
	url           string
	body          []byte
}

// nextMessage returns the next heartbeat.
func (b *backend) nextMessage() message {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	announced := servers.New(servers.ID(b.id()), "rounds", "").WithAddress(b.link.address()).
		WithSlots(slots).WithIncarnation(b.incarnation).WithState(b.state)
	body, err := heartbeat.Encode(announced, b.vm.datacentre, b.sequence, 0)
	if err != nil {
		panic(err)
	}
	return message{processNumber: b.processNumber, state: b.state, url: "http://" + b.vm.address(backendsPort) + wire.InstancesPath + b.id(), body: body}
}

// send sends a heartbeat and records the acknowledgement of a drain.
func (b *backend) send(m message) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, m.url, bytes.NewReader(m.body))
	if err != nil {
		return
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if response.StatusCode == http.StatusOK && m.state == servers.Draining && m.processNumber == b.processNumber && b.drainAckAt.IsZero() {
		b.drainAckAt = time.Now()
	}
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	b.mu.Lock()
	id, drainAckAt := b.id(), b.drainAckAt
	b.mu.Unlock()
	w.Header().Set(wire.InstanceID, id)
	requestID := r.Header.Get(wire.RequestID)
	w.Header().Set(wire.RequestID, requestID)
	if expected := r.Header.Get(wire.ExpectInstance); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.running.Add(1) > slots {
		b.running.Add(-1)
		w.Header().Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	b.oracle.recordRun(run{
		request: requestID, organisation: r.Header.Get(wire.Organisation), key: r.Header.Get("Authorization"),
		at: arrived, drainAckAt: drainAckAt, backend: id,
	})
	w.Header().Set(wire.Stamp, "stamp")
	switch {
	case b.unresponsive.Load():
		<-r.Context().Done()
		return
	case b.crashed.Load():
		panic(http.ErrAbortHandler)
	case b.failing.Load():
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	time.Sleep(b.serviceTime + time.Duration(rand.Int64N(int64(b.serviceTime))))
	text := expectedResponse(r.Method, r.RequestURI, requestID, body)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = w.Write(text)
}

// expectedResponse returns the body of the response to a request.
func expectedResponse(method, uri, requestID string, body []byte) []byte {
	sum := sha256.Sum256(body)
	line := fmt.Sprintf("%s %s %s %s\n", method, uri, requestID, hex.EncodeToString(sum[:]))
	return bytes.Repeat([]byte(line), 20)
}
