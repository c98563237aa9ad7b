// Package emulator is a backend server for demonstrations, load and tests. It has
// slots, a service time and a cold start, stops a request that is cancelled, and can
// be given faults while it runs, such as slow, failed or truncated responses.
//
// It is built on net/http, unlike the daemons, so that the two ends of a connection
// are different implementations.
//
// # Usage
//
//	e, err := emulator.New("127.0.0.1:0", emulator.WithSlots(4), emulator.WithServiceTime(20*time.Millisecond))
//	e.SetFault(emulator.Fault{SlowFactor: 5})
//	e.RunCount("request-17")
//	e.Close()
package emulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"berylpass/header"
)

// RequestHeader is the header with the request ID by which runs are counted.
const RequestHeader = "X-Request-Id"

// Fault describes how a backend server misbehaves. The zero value means no fault.
type Fault struct {
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64
	// ErrorShare is the share of requests, from 0 to 1, answered with 500.
	ErrorShare float64
	// NoAnswer makes it accept requests and never respond.
	NoAnswer bool
	// TruncateAnswers makes it close the connection in the middle of each response.
	TruncateAnswers bool
}

// tailFactor multiplies the service time of the requests in the slow tail.
const tailFactor = 3

// Emulator is a running backend server.
type Emulator struct {
	listener        net.Listener
	server          *http.Server
	slots           int
	serviceTime     time.Duration
	coldStart       time.Duration
	clock           func() time.Time
	minResponseSize int
	tailShare       float64

	inUse    atomic.Int64
	peak     atomic.Int64
	total    atomic.Int64
	keysSeen atomic.Int64

	mu      sync.Mutex
	random  *rand.Rand
	fault   Fault
	started time.Time
	secrets []string
	runs    map[string]int
	journal []Run
}

// Run is one execution of a request.
type Run struct {
	// At is the time at which it began.
	At time.Time
	// Request is the value of the request's RequestHeader.
	Request string
}

// Option configures an Emulator.
type Option func(*Emulator)

// WithSlots sets the number of requests that run at once, 4 by default. Further ones
// are shed with status 503.
func WithSlots(n int) Option { return func(e *Emulator) { e.slots = n } }

// WithServiceTime sets the median service time, 10 ms by default.
func WithServiceTime(d time.Duration) Option { return func(e *Emulator) { e.serviceTime = d } }

// WithColdStart sets the time after a start during which requests that run concurrently
// are slowed down: a request that starts as the nth at once, n > 1, takes 5n times as long.
func WithColdStart(d time.Duration) Option { return func(e *Emulator) { e.coldStart = d } }

// WithTailShare sets the share of requests, from 0 to 1, that take three times as long;
// 0.01 by default.
func WithTailShare(share float64) Option { return func(e *Emulator) { e.tailShare = share } }

// WithSecrets sets the callers' keys, which must never reach a backend server. LeakedKeys
// counts those that do.
func WithSecrets(secrets ...string) Option { return func(e *Emulator) { e.secrets = secrets } }

// WithMinAnswerSize sets the minimum length of a response body, in bytes.
func WithMinAnswerSize(bytes int) Option { return func(e *Emulator) { e.minResponseSize = bytes } }

// New listens on the address, host:port, and serves until Close.
func New(address string, options ...Option) (*Emulator, error) {
	e := &Emulator{
		slots:       4,
		serviceTime: 10 * time.Millisecond,
		tailShare:   0.01,
		clock:       time.Now,
		random:      rand.New(rand.NewPCG(1, 2)),
		runs:        map[string]int{},
	}
	for _, option := range options {
		option(e)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen as a backend server: %w", err)
	}
	e.listener = listener
	e.started = e.clock()
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// Address returns the address, host:port, on which it listens.
func (e *Emulator) Address() string { return e.listener.Addr().String() }

// Slots returns the number of requests that run at once.
func (e *Emulator) Slots() int { return e.slots }

// InUse returns the number of slots in use. It may briefly exceed Slots while requests
// are shed.
func (e *Emulator) InUse() int { return int(e.inUse.Load()) }

// Peak returns the largest number of requests that ran at once.
func (e *Emulator) Peak() int { return int(e.peak.Load()) }

// Total returns the number of requests that ran, including those that still run.
func (e *Emulator) Total() int64 { return e.total.Load() }

// LeakedKeys returns the number of header values in which one of the callers' keys was found.
func (e *Emulator) LeakedKeys() int64 { return e.keysSeen.Load() }

// RunCount returns how many times the request with the given RequestHeader ran.
func (e *Emulator) RunCount(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// RunCounts returns how many times each request ran, by RequestHeader.
func (e *Emulator) RunCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.runs))
	for k, v := range e.runs {
		out[k] = v
	}
	return out
}

// Runs returns all runs of requests that have a RequestHeader, in the order in which
// they began.
func (e *Emulator) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.journal)
}

// SetFault sets the fault from the next request on. The zero Fault ends a fault.
func (e *Emulator) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// RestartColdStart begins a new cold start, as an unannounced restart of the process would.
func (e *Emulator) RestartColdStart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started = e.clock()
}

// Close stops listening and closes all connections.
func (e *Emulator) Close() { _ = e.server.Close() }

// ServeHTTP runs one request, or sheds it if all slots are in use.
func (e *Emulator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.countKeys(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	inUse := e.inUse.Add(1)
	defer e.inUse.Add(-1)
	if int(inUse) > e.slots {
		w.Header().Set(header.NotRun, "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	e.updatePeak(inUse)
	e.recordRun(r)
	fault, serviceTime := e.drawServiceTime(inUse)
	if !waitServiceTime(r, serviceTime, fault.NoAnswer) {
		return
	}
	e.respond(w, r, fault, body)
}

func (e *Emulator) respond(w http.ResponseWriter, r *http.Request, fault Fault, body []byte) {
	if fault.ErrorShare > 0 && e.randomFloat() < fault.ErrorShare {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	text := fmt.Sprintf("%s %s request=%s body=%d\n", r.Method, r.URL.RequestURI(), r.Header.Get(RequestHeader), len(body))
	if pad := e.minResponseSize - len(text); pad > 0 {
		text += strings.Repeat(".", pad)
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	if fault.TruncateAnswers {
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// waitServiceTime waits for the service time, or without end if unresponsive is set. It
// returns false if the request's context ended first.
func waitServiceTime(r *http.Request, serviceTime time.Duration, unresponsive bool) bool {
	if unresponsive {
		<-r.Context().Done()
		return false
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Emulator) updatePeak(inUse int64) {
	for {
		peak := e.peak.Load()
		if inUse <= peak || e.peak.CompareAndSwap(peak, inUse) {
			return
		}
	}
}

func (e *Emulator) recordRun(r *http.Request) {
	e.total.Add(1)
	id := r.Header.Get(RequestHeader)
	if id == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	e.journal = append(e.journal, Run{At: e.clock(), Request: id})
}

// drawServiceTime returns the fault in force and a random service time: uniformly
// distributed with a slow tail, and 5*inUse times as long if more than one request runs
// during the cold start.
func (e *Emulator) drawServiceTime(inUse int64) (Fault, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	spread := 0.75 + 0.5*e.random.Float64()
	if e.random.Float64() < e.tailShare {
		spread *= tailFactor
	}
	serviceTime := time.Duration(float64(e.serviceTime) * spread)
	if e.clock().Sub(e.started) < e.coldStart && inUse > 1 {
		serviceTime *= time.Duration(5 * inUse)
	}
	if e.fault.SlowFactor > 0 {
		serviceTime = time.Duration(float64(serviceTime) * e.fault.SlowFactor)
	}
	return e.fault, serviceTime
}

func (e *Emulator) randomFloat() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64()
}

func (e *Emulator) countKeys(r *http.Request) {
	for _, values := range r.Header {
		for _, v := range values {
			for _, secret := range e.secrets {
				if strings.Contains(v, secret) {
					e.keysSeen.Add(1)
				}
			}
		}
	}
}
